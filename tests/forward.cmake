shallot_test(forward_correctness PACKAGES forward LABELS correctness
  SOURCES correctness/ClaimsAreOfOrganisations.cpp
          correctness/RecordsAreMerged.cpp
          correctness/RttIsObserved.cpp
          correctness/RoutesMatchLongestPrefix.cpp)
shallot_test(forward_failure PACKAGES forward LABELS failure
  SOURCES failure/ActionsAreForwardedOnce.cpp failure/ConnectionsFollowNeed.cpp
          failure/CrashingRequestsAreSentOnce.cpp
          failure/DeadReplicasAreEjected.cpp failure/HedgesDecideAnswers.cpp failure/OrganisationsShareCapacity.cpp
          failure/OverloadIsTurnedAway.cpp failure/PartsAreMissing.cpp
          failure/ReplicasStartAgain.cpp
          failure/RegionsBindEverySend.cpp
          failure/RetryBudgetHoldsInEveryWindow.cpp
          failure/SlowReplicasAreToldOf.cpp
          failure/StopEndsRuns.cpp
          failure/VanishedReplicasStandIn.cpp)
shallot_test(forward_error PACKAGES forward LABELS error
  SOURCES error/ServingConfigIsChecked.cpp)
shallot_test(forward_performance PACKAGES forward LABELS performance
  SOURCES ForwardWorld.cpp performance/ForwardUnderTrouble.cpp)
shallot_test(forward_sharing PACKAGES forward LABELS performance
  SOURCES ForwardWorld.cpp performance/SharedEvidenceReplay.cpp)
