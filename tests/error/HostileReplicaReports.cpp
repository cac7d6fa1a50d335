// Guards against damaged and oversized reports of slow replicas.
#include "shallotshift/fleet.h"
#include "shallotshift/peer.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

ReplicaObservationReport fullReport(std::size_t NameBytes,
                                    std::size_t Replicas) {
  ReplicaObservationReport R;
  R.From = {HostId(std::string(NameBytes, 'h')), 7};
  R.Sequence = 42;
  for (std::size_t I = 0; I < Replicas; ++I)
    R.Replicas.push_back({replicaKey(UpstreamId("r" + std::to_string(I)), 3),
                          8.25, 2, 3, Millis(120), Millis(900)});
  return R;
}

bool refused(const ReplicaObservationReport &R) {
  auto Read =
      attempt([&] { return decodeReplicaReport(encodeReplicaReport(R)); });
  return !Read && Read.error().Code == ResultCode::PeerBadMessage;
}

} // namespace

TEST_CASE("a report of slow replicas survives encoding and keeps its size") {
  for (std::size_t NameBytes : {std::size_t(1), std::size_t(24), MaxNameBytes})
    for (std::size_t Count : {std::size_t(0), MaxReportedReplicas}) {
      ReplicaObservationReport R = fullReport(NameBytes, Count);
      std::vector<std::byte> Bytes = encodeReplicaReport(R);
      CHECK(Bytes.size() <= MaxGossipBytes);
      if (NameBytes <= 24)
        CHECK(Bytes.size() <= reportBytes(Count));
      auto Read = attempt([&] { return decodeReplicaReport(Bytes); });
      REQUIRE(Read);
      CHECK(*Read == R);
    }
  ReplicaObservationReport TooMany = fullReport(1, MaxReportedReplicas + 1);
  auto Read = attempt(
      [&] { return decodeReplicaReport(encodeReplicaReport(TooMany)); });
  REQUIRE(Read);
  CHECK(Read->Replicas.size() == MaxReportedReplicas);
}

TEST_CASE("damaged reports of slow replicas are refused") {
  std::vector<std::byte> Bytes = encodeReplicaReport(fullReport(9, 3));
  for (std::size_t Size = 0; Size < Bytes.size(); Size += 8)
    CHECK_FALSE(attempt(
        [&] { return decodeReplicaReport(std::span(Bytes).first(Size)); }));
  ReplicaObservationReport NeverLate = fullReport(9, 1);
  NeverLate.Replicas[0].Late = 0;
  CHECK(refused(NeverLate));
  ReplicaObservationReport Backwards = fullReport(9, 1);
  Backwards.Replicas[0].FirstAge = Millis(1);
  CHECK(refused(Backwards));
  ReplicaObservationReport BadName = fullReport(9, 1);
  BadName.From.Host = HostId("a b");
  CHECK(refused(BadName));
}

// Guards against a datagram that crashes or hangs its reader.
TEST_CASE("random changes of a report are read or refused") {
  Random Rng(17);
  std::vector<std::byte> Whole = encodeReplicaReport(fullReport(9, 5));
  for (unsigned Round = 0; Round < 20000; ++Round) {
    std::vector<std::byte> Bytes = Whole;
    for (std::uint64_t I = 0; I <= below(Rng, 8); ++I)
      Bytes[below(Rng, Bytes.size())] = std::byte(Rng() & 255);
    auto Read = attempt([&] { return decodeReplicaReport(Bytes); });
    if (!Read) {
      CHECK(Read.error().Code == ResultCode::PeerBadMessage);
      continue;
    }
    CHECK(Read->Replicas.size() <= MaxReportedReplicas);
    for (const ReplicaObservation &O : Read->Replicas)
      CHECK((O.Slowness >= 1 && O.Late > 0 && O.FirstAge >= O.Age));
  }
}
