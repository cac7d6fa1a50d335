shallot_test(query_correctness PACKAGES query LABELS correctness
  SOURCES correctness/RecentRequestsAreTraced.cpp
          correctness/SnapshotsNeverMix.cpp
          correctness/UpstreamsAreChosenByObservation.cpp)
shallot_test(query_properties PACKAGES query LABELS correctness
  SOURCES correctness/QueryHoldsInAnyOrder.cpp)
shallot_test(query_failure PACKAGES query LABELS failure
  SOURCES failure/CoverageIsRefusedAtOnce.cpp
          failure/CrashingSearchesAreSentOnce.cpp
          failure/SilentUpstreams.cpp failure/NoHolderCostsNoRetry.cpp)
shallot_test(query_performance PACKAGES query LABELS performance
  SOURCES performance/QueryTailIsBounded.cpp)
shallot_bench(bench_query PACKAGES query SOURCES performance/BenchQuery.cpp)
