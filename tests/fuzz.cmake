# Every decoder of bytes from outside under seeded, almost good input. CTest
# plays fixed seeds; tools/fuzz.sh plays long runs under the sanitizers.
add_executable(shallot_fuzz fuzz/FuzzMain.cpp fuzz/DocumentTargets.cpp
  fuzz/MessageTargets.cpp fuzz/Mutation.cpp)
target_link_libraries(shallot_fuzz PRIVATE shallot_platform shallot_daemon)
target_include_directories(shallot_fuzz PRIVATE ${CMAKE_SOURCE_DIR}/tests)
add_test(NAME fuzz_short
  COMMAND shallot_fuzz --seed 1 --runs 3000
          --corpus ${CMAKE_SOURCE_DIR}/tests/fuzz/corpus)
set_tests_properties(fuzz_short PROPERTIES LABELS error
                     TIMEOUT ${SHALLOT_TEST_SECONDS})
