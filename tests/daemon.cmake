shallot_test(daemon_tests PACKAGES daemon LABELS daemon
  SOURCES correctness/HolderIsChosenByItsQueue.cpp
          correctness/MetricsPageIsWhole.cpp
          error/CallersRequestsAreChecked.cpp error/SettingsAreChecked.cpp
          failure/RepliesAreMatchedByAttempt.cpp)
target_compile_definitions(daemon_tests
  PRIVATE SHALLOT_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
