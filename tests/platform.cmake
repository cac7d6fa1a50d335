# The adapter and whole daemons in the deployment's wire form.
shallot_test(platform_correctness PACKAGES platform LIBRARIES standin_core
  LABELS correctness
  SOURCES FrontFixture.cpp correctness/FrontServesADeployment.cpp
          correctness/WireObjectsAreRead.cpp)
shallot_test(platform_failure PACKAGES platform LIBRARIES standin_core
  LABELS failure
  SOURCES FrontFixture.cpp failure/ForeignEntriesNameNoReplica.cpp
          failure/PeersAreToldWhatIsStale.cpp
          failure/RoutesChangeUnderWaitingRequests.cpp
          failure/StoppingDaemonRefuses.cpp
          failure/TextThatIsNotUtf8.cpp)
shallot_test(silent_store_failure PACKAGES platform LIBRARIES standin_core
  LABELS failure
  SOURCES FrontFixture.cpp failure/StoreConnectionsFallSilent.cpp)
shallot_test(store_throttles_failure PACKAGES platform LIBRARIES standin_core
  LABELS failure
  SOURCES FrontFixture.cpp failure/StoreThrottlesSomeHosts.cpp)
shallot_test(restored_daemon_failure PACKAGES platform LIBRARIES standin_core
  LABELS failure
  SOURCES FrontFixture.cpp failure/RestoredStoreTakesNothingBack.cpp)
shallot_test(feed_failure PACKAGES platform LIBRARIES standin_core
  LABELS failure
  SOURCES FrontFixture.cpp SlowLink.cpp SlowPeers.cpp
          failure/LargeChangeOnASlowLink.cpp
          failure/ManyPeersOfASmallHost.cpp
          failure/MoreChangesThanAReplyHolds.cpp
          failure/OutageOrLostSource.cpp
          failure/PeerConnectionsFallSilent.cpp)
shallot_test(places_failure PACKAGES platform LIBRARIES standin_core
  LABELS failure
  SOURCES FrontFixture.cpp
          failure/ColdReplicasAreSpared.cpp
          failure/EvacuatedZonesGetNothing.cpp
          failure/MissedLeaving.cpp
          failure/RequestsStayInAllowedRegions.cpp)
shallot_test(fleet_change_failure PACKAGES platform LIBRARIES standin_core
  LABELS failure
  SOURCES FrontFixture.cpp failure/FleetChangesAreGathered.cpp)
shallot_test(organisations_failure PACKAGES platform LIBRARIES standin_core
  LABELS failure
  SOURCES FrontFixture.cpp failure/KeysStayWithTheDaemon.cpp)
add_test(NAME wire_names_stay_in_platform
  COMMAND ${CMAKE_COMMAND} -DROOT=${CMAKE_SOURCE_DIR}
          -P ${CMAKE_SOURCE_DIR}/cmake/CheckWireNames.cmake)
set_tests_properties(wire_names_stay_in_platform PROPERTIES LABELS correctness)
