shallot_test(fleet_correctness PACKAGES fleet LABELS correctness
  SOURCES correctness/MembersConverge.cpp
          correctness/EntryHostsFollowLoad.cpp
          correctness/EntryAddressesAreSpread.cpp
          correctness/DaemonStartsWhenItCanAnswer.cpp)
shallot_test(fleet_failure PACKAGES fleet LABELS failure
  SOURCES failure/LargeFleetStartsTogether.cpp
          failure/SeedsStartLate.cpp failure/BusyMachineAccusesNobody.cpp
          failure/FailedMemberIsNoticed.cpp failure/PartsOfAFleetMeet.cpp
          failure/ViewsUnderRandomTroubles.cpp failure/PausedDaemonWaits.cpp
          failure/SplitRegionsMeetAgain.cpp failure/HostListLags.cpp
          failure/RestartReplacesOldSelf.cpp failure/PlannedStopCutsNobody.cpp
          failure/StopAcceptsWhatFits.cpp)
shallot_test(fleet_error PACKAGES fleet LABELS error
  SOURCES error/GossipIsChecked.cpp)

# CI checks the bounds of the small sizes. All sizes run in simulated time.
shallot_bench(bench_membership PACKAGES fleet
  SOURCES performance/BenchMembership.cpp
  TEST bench_membership_small ARGUMENTS 6 48)

shallot_test(fleet_gossip_size PACKAGES fleet peer LABELS correctness
  SOURCES correctness/GossipFitsItsEstimate.cpp)
