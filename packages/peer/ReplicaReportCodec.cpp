//===- ReplicaReportCodec.cpp ---------------------------------------------===//
#include "peer/ReplicaReportCodec.h"

#include "peer/DatagramReading.h"
#include "peer/generated/ReplicaReport.capnp.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

using internal::readName;
using internal::textOf;

std::uint16_t ageMillis(Duration Age) {
  return static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(toMillis(Age), 0, 60000));
}

std::uint8_t small(unsigned Count) {
  return static_cast<std::uint8_t>(std::min(Count, 255U));
}

void put(const ReplicaObservation &O, wire::ReplicaObservation::Builder To) {
  To.setKey(O.Key);
  To.setSlownessHundredths(static_cast<std::uint16_t>(
      std::lround(std::clamp(O.Slowness, 1.0, 600.0) * 100)));
  To.setAgeMillis(ageMillis(O.Age));
  To.setFirstAgeMillis(ageMillis(O.FirstAge));
  To.setWaiting(small(O.Waiting));
  To.setLate(small(O.Late));
}

ReplicaObservation take(wire::ReplicaObservation::Reader From) {
  ReplicaObservation O;
  O.Key = From.getKey();
  O.Slowness = From.getSlownessHundredths() / 100.0;
  O.Waiting = From.getWaiting();
  O.Late = From.getLate();
  O.Age = Millis(From.getAgeMillis());
  O.FirstAge = Millis(From.getFirstAgeMillis());
  KJ_REQUIRE(O.Slowness >= 1, "a slowness below 1");
  KJ_REQUIRE(O.Late > 0, "no late answer");
  KJ_REQUIRE(O.FirstAge >= O.Age, "first late answer after the last");
  return O;
}

ReplicaObservationReport takeReport(wire::ReplicaReport::Reader From) {
  KJ_REQUIRE(From.getReplicas().size() <= MaxReportedReplicas,
             "too many replicas");
  ReplicaObservationReport R;
  R.From = {HostId(readName(From.getHost())), From.getIncarnation()};
  R.Sequence = From.getSequence();
  for (wire::ReplicaObservation::Reader O : From.getReplicas())
    R.Replicas.push_back(take(O));
  return R;
}

} // namespace

std::vector<std::byte> encodeReplicaReport(const ReplicaObservationReport &R) {
  capnp::MallocMessageBuilder Message;
  auto To = Message.initRoot<wire::ReplicaReport>();
  To.setHost(textOf(R.From.Host.str()));
  To.setIncarnation(R.From.Incarnation);
  To.setSequence(R.Sequence);
  std::size_t Count = std::min(R.Replicas.size(), MaxReportedReplicas);
  auto List = To.initReplicas(static_cast<unsigned>(Count));
  for (unsigned I = 0; I < Count; ++I)
    put(R.Replicas[I], List[I]);
  return internal::datagramOf(Message);
}

Result<ReplicaObservationReport>
decodeReplicaReport(std::span<const std::byte> Datagram) {
  return internal::readDatagram<wire::ReplicaReport>(Datagram, &takeReport);
}

} // namespace shallot
