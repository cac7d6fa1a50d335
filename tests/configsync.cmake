shallot_test(configsync_correctness PACKAGES fleet LABELS correctness
  LIBRARIES rapidcheck
  SOURCES correctness/ConfigNeverReverts.cpp)
shallot_test(configsync_failure PACKAGES fleet LABELS failure
  SOURCES failure/ConfigComesSlowly.cpp
          failure/ConfigSourcesFail.cpp)
# The small sizes judge in CI; all sizes run by tools/bench.sh config_spread.
shallot_bench(bench_config_spread PACKAGES fleet
  SOURCES performance/BenchConfigSpread.cpp
  TEST bench_config_spread_small ARGUMENTS 6 48)
