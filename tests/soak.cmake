# Real daemons under random troubles (tools/soak.py), in its own addresses: two
# seeds that are always the same, and every seed that ever failed. Promises with
# a time bound are judged only where the machine itself was in time.
add_test(NAME soak_seeds
  COMMAND ${CMAKE_SOURCE_DIR}/tools/soak.py ${CMAKE_BINARY_DIR}
          --seed 20261 --seed 20262 --regressions --seconds 20
          --keep ${CMAKE_BINARY_DIR}/soak-findings)
set_tests_properties(soak_seeds PROPERTIES LABELS failure TIMEOUT 600
  ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)

add_test(NAME soak_sees_broken_promises
  COMMAND python3
          ${CMAKE_CURRENT_LIST_DIR}/correctness/soak_sees_broken_promises.py)
set_tests_properties(soak_sees_broken_promises PROPERTIES LABELS correctness
  ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)

# Real daemons and a request that ends every replica that begins it.
foreach(SCENARIO repeated restarted store_away innocents troubles)
  add_test(NAME ending_request_${SCENARIO}
    COMMAND python3
            ${CMAKE_CURRENT_LIST_DIR}/failure/requests_that_end_replicas.py
            ${CMAKE_BINARY_DIR} ${SCENARIO})
  set_tests_properties(ending_request_${SCENARIO} PROPERTIES LABELS failure
    TIMEOUT 120 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)
endforeach()

# The same in the product's own interface.
add_test(NAME ending_search_own_interface
  COMMAND python3
          ${CMAKE_CURRENT_LIST_DIR}/failure/searches_that_end_upstreams.py
          ${CMAKE_BINARY_DIR})
set_tests_properties(ending_search_own_interface PROPERTIES LABELS failure
  TIMEOUT 120 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)
foreach(SCENARIO restarted store_away)
  add_test(NAME ending_search_${SCENARIO}
    COMMAND python3
            ${CMAKE_CURRENT_LIST_DIR}/failure/searches_that_end_upstreams.py
            ${CMAKE_BINARY_DIR} ${SCENARIO})
  set_tests_properties(ending_search_${SCENARIO} PROPERTIES LABELS failure
    TIMEOUT 120 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)
endforeach()

# Real daemons and a store that comes back from a copy.
add_test(NAME restored_store_daemons
  COMMAND python3 ${CMAKE_CURRENT_LIST_DIR}/failure/restored_store.py
          ${CMAKE_BINARY_DIR})
set_tests_properties(restored_store_daemons PROPERTIES LABELS failure
  TIMEOUT 120 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)

# Real daemons, and replicas, a store and callers that send without end.
add_test(NAME messages_without_end
  COMMAND python3
          ${CMAKE_CURRENT_LIST_DIR}/failure/messages_without_end.py
          ${CMAKE_BINARY_DIR})
set_tests_properties(messages_without_end PROPERTIES LABELS failure
  TIMEOUT 180 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)

# Real daemons, and replicas and a store whose answers are no HTTP.
add_test(NAME broken_answers
  COMMAND python3 ${CMAKE_CURRENT_LIST_DIR}/failure/broken_answers.py
          ${CMAKE_BINARY_DIR})
set_tests_properties(broken_answers PROPERTIES LABELS failure
  TIMEOUT 180 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)

# Real daemons that are stopped, and requests at any moment of the stop.
add_test(NAME late_in_a_stop
  COMMAND python3 ${CMAKE_CURRENT_LIST_DIR}/failure/late_in_a_stop.py
          ${CMAKE_BINARY_DIR})
set_tests_properties(late_in_a_stop PROPERTIES LABELS failure
  TIMEOUT 120 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)

# Real daemons among signals, held addresses, late settings and lost outputs.
foreach(SCENARIO signals starts outputs own fleet)
  add_test(NAME daemons_end_as_told_${SCENARIO}
    COMMAND python3 ${CMAKE_CURRENT_LIST_DIR}/failure/daemons_end_as_told.py
            ${CMAKE_BINARY_DIR} ${SCENARIO})
  set_tests_properties(daemons_end_as_told_${SCENARIO} PROPERTIES LABELS failure
    TIMEOUT 180 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)
endforeach()

# Real daemons and odd entries of other writers in the store.
add_test(NAME entries_of_other_writers
  COMMAND python3
          ${CMAKE_CURRENT_LIST_DIR}/failure/entries_of_other_writers.py
          ${CMAKE_BINARY_DIR})
set_tests_properties(entries_of_other_writers PROPERTIES LABELS failure
  TIMEOUT 180 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)

# The directory of real daemons that are stopped.
add_test(NAME directory_until_the_end
  COMMAND python3
          ${CMAKE_CURRENT_LIST_DIR}/failure/directory_until_the_end.py
          ${CMAKE_BINARY_DIR})
set_tests_properties(directory_until_the_end PROPERTIES LABELS failure
  TIMEOUT 120 ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)
