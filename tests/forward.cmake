shallot_test(forward_correctness PACKAGES forward LABELS correctness
  SOURCES TestMain.cpp correctness/RecordsAreMerged.cpp
          correctness/TripsAreObserved.cpp
          correctness/RoutesMatchLongestPrefix.cpp)
shallot_test(forward_failure PACKAGES forward LABELS failure
  SOURCES TestMain.cpp failure/ActionsAreForwardedOnce.cpp failure/ConnectionsFollowNeed.cpp
          failure/CrashingRequestsAreSentOnce.cpp
          failure/DeadReplicasRest.cpp failure/OverloadIsTurnedAway.cpp failure/PartsAreMissing.cpp
          failure/ReplicasStartAgain.cpp
          failure/RetryBudgetHoldsInEveryWindow.cpp
          failure/VanishedReplicasStandIn.cpp)
shallot_test(forward_error PACKAGES forward LABELS error
  SOURCES TestMain.cpp error/ServingConfigIsChecked.cpp)
shallot_test(forward_performance PACKAGES forward LABELS performance
  SOURCES TestMain.cpp ForwardWorld.cpp performance/ForwardUnderTrouble.cpp)
