//===- ReplicaReportCodec.h - Reports of slow replicas ----------*- C++ -*-===//
#ifndef SHALLOTSHIFT_PEER_REPLICAREPORTCODEC_H
#define SHALLOTSHIFT_PEER_REPLICAREPORTCODEC_H

#include "shallotshift/base.h"
#include "shallotshift/forward.h"

#include <cstddef>
#include <span>
#include <vector>

namespace shallot {

/// At most MaxReportedReplicas of \p R are encoded, in reportBytes() at most
/// for a host name of up to 24 bytes. Ages beyond a minute become a minute.
std::vector<std::byte> encodeReplicaReport(const ReplicaObservationReport &R);

/// Fails with PeerBadMessage, also for more than MaxReportedReplicas replicas,
/// names that are not allowed, a slowness below 1, no late answer, and a first
/// late answer after the last.
Result<ReplicaObservationReport>
decodeReplicaReport(std::span<const std::byte> Datagram);

} // namespace shallot

#endif // SHALLOTSHIFT_PEER_REPLICAREPORTCODEC_H
