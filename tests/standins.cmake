shallot_test(standins_correctness LIBRARIES standin_core LABELS correctness
  SOURCES correctness/PlatformStandinKeepsVersions.cpp
          correctness/RecordsShowMixedVersions.cpp
          correctness/AnswerCheckFindsLies.cpp
          correctness/KindStandinKeepsRevisions.cpp)
shallot_test(standins_failure LIBRARIES standin_core LABELS failure
  SOURCES failure/PlatformStandinLosesReplies.cpp
          failure/UpstreamStandinMisbehaves.cpp)

# The committed examples are what their generator writes, and both binaries
# accept them.
add_test(NAME examples_generated
  COMMAND python3 ${CMAKE_SOURCE_DIR}/examples/make-examples.py --check)
foreach(FOLDER khan-uul banlangd vloerkaart both)
  set(EXAMPLES ${CMAKE_SOURCE_DIR}/examples/${FOLDER})
  add_test(NAME examples_settings_${FOLDER}
    COMMAND shallotshiftd --check ${EXAMPLES}/entry-1.json)
  add_test(NAME examples_presets_${FOLDER}
    COMMAND shallotctl check -f ${EXAMPLES}/presets.json)
endforeach()
foreach(FIRM khan-uul banlangd vloerkaart)
  add_test(NAME examples_services_${FIRM} COMMAND shallotctl check -f
    ${CMAKE_SOURCE_DIR}/examples/${FIRM}/services.json)
endforeach()

# Whole sessions with real processes, compared with committed transcripts. They
# use the same addresses, so one runs at a time.
foreach(SESSION khan-uul banlangd deployment)
  add_test(NAME golden_${SESSION}
    COMMAND python3 ${CMAKE_CURRENT_LIST_DIR}/golden/run_session.py
            --build ${CMAKE_BINARY_DIR} --session ${SESSION})
  set_tests_properties(golden_${SESSION} PROPERTIES
    LABELS golden TIMEOUT 300 RESOURCE_LOCK golden_addresses
    ENVIRONMENT PYTHONDONTWRITEBYTECODE=1)
endforeach()
