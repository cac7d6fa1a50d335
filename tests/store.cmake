shallot_test(store_failure PACKAGES store LABELS failure
  SOURCES failure/ChangeSurvivesLostReplies.cpp
          failure/ChangesRace.cpp failure/ChangeMeetsOutage.cpp
          failure/KindWatchMissesNothing.cpp failure/StoreCallsFail.cpp)
shallot_test(restored_store_failure PACKAGES store LABELS failure
  SOURCES failure/RestoredStoreIsFollowed.cpp
          failure/RestoredStateStaysInForce.cpp)
shallot_test(store_correctness PACKAGES store LABELS correctness
  SOURCES correctness/BackoffIsSpread.cpp
          correctness/KindCachePassesOn.cpp)
shallot_test(store_error PACKAGES store LABELS error
  SOURCES error/HostListsAreRead.cpp)

# Bytes are exact, so the full size judges in CI.
shallot_bench(bench_config_change PACKAGES model TEST bench_config_change
  SOURCES performance/BenchConfigChange.cpp)
