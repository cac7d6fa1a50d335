shallot_test(action_correctness PACKAGES action LABELS correctness
  SOURCES correctness/ActionWorld.cpp
          correctness/ActionsRunAtMostOnce.cpp
          correctness/ClaimsAreReadBack.cpp
          correctness/DuplicatesShareOneRun.cpp)
shallot_test(action_failure PACKAGES action LABELS failure
  SOURCES failure/ClaimReplyLost.cpp failure/MinterLost.cpp
          failure/UpstreamReplyLost.cpp)
shallot_test(action_error PACKAGES action LABELS error
  SOURCES error/ActionKeysAreChecked.cpp)

shallot_bench(bench_action PACKAGES action TEST bench_action
  SOURCES performance/BenchAction.cpp)
