# The scripts that the documents name do what they say: a bench that is there is
# found each time, and one that is not, never.
add_test(NAME bench_names_are_found
  COMMAND bash ${CMAKE_CURRENT_LIST_DIR}/correctness/bench_names_are_found.sh)
set_tests_properties(bench_names_are_found PROPERTIES LABELS correctness
                                                      TIMEOUT 60)
