shallot_test(peer_correctness PACKAGES peer LABELS correctness
  SOURCES correctness/PeersAnswerEachOther.cpp)
shallot_test(peer_failure PACKAGES peer LABELS failure
  SOURCES failure/PeerBoundsHold.cpp
          failure/PeerConnectionGoesSilent.cpp failure/PeerIsLost.cpp)
shallot_test(peer_error PACKAGES peer LABELS error
  SOURCES error/HostileGossipIsDropped.cpp
          error/HostileQuotaMessages.cpp
          error/HostileReplicaReports.cpp
          error/PackedDatagramsAreBounded.cpp)
shallot_bench(bench_peer PACKAGES peer TEST bench_peer
  SOURCES performance/BenchPeer.cpp)
