shallot_test(net_correctness PACKAGES net LABELS correctness
  SOURCES correctness/NetRoundTrip.cpp)
shallot_test(net_failure PACKAGES net LABELS failure
  SOURCES SlowLink.cpp failure/BrokenRepliesToClients.cpp
          failure/HeadsCutShort.cpp
          failure/NetActionIsSentOnce.cpp
          failure/NetCallersDoNotHoldUpOthers.cpp
          failure/NetLargeRepliesAreWaitedFor.cpp
          failure/NetNotRunIsProven.cpp
          failure/NetSecondStopSignal.cpp failure/NetSilentConnection.cpp
          failure/StartsAreTriedAgain.cpp)
shallot_test(net_error PACKAGES net LABELS error
  SOURCES error/NetBadRequests.cpp)
shallot_bench(bench_net PACKAGES net SOURCES performance/BenchNet.cpp)
target_link_libraries(bench_net PRIVATE CURL::libcurl)
