shallot_test(front_correctness PACKAGES front LABELS correctness
  SOURCES correctness/EntryAddressesForCallers.cpp
          correctness/FeedMessagesRoundTrip.cpp)
shallot_test(front_failure PACKAGES front LABELS failure
  SOURCES failure/FeedSourcesFailOver.cpp
          failure/CatchUpWaitsForArrivingData.cpp
          failure/FeedFindsReader.cpp FeedFleet.cpp
          failure/StoreTrialsAreRare.cpp
          failure/ColdReplicasInAFleet.cpp
          failure/DeadHostsAreNotNamed.cpp
          failure/FarMembersAreProbedSeldom.cpp
          failure/FaultsCostOneRequest.cpp
          failure/RelayedRepliesDoNotLoop.cpp
          failure/ReplicaReportsReachPeers.cpp
          failure/RestoredStoreReachesPeers.cpp)
shallot_test(front_feed_scale PACKAGES front LABELS failure
  SOURCES failure/FeedCallsAreBounded.cpp FeedFleet.cpp)
shallot_bench(bench_fleet_scale PACKAGES front forward TEST bench_fleet_scale
  SOURCES performance/BenchFleetScale.cpp)
shallot_test(front_error PACKAGES front LABELS error
  SOURCES error/FrontSettingsAreChecked.cpp)
