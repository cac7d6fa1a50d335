//===- ReplicaObservation.h - What daemons tell of replicas -----*- C++ -*-===//
//
// What a daemon has observed of a replica that is slower than its service
// usually is. Daemons of a large fleet each see few answers of a replica, so
// they tell each other of replicas that deviate. Replicas that do not deviate
// are not told of. A daemon tells only what it has observed itself.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_REPLICAOBSERVATION_H
#define SHALLOTSHIFT_FORWARD_REPLICAOBSERVATION_H

#include "shallotshift/base.h"

#include <algorithm>
#include <vector>

namespace shallot {

/// Identifies one incarnation of a replica in reports: a hash of its id and
/// start time, in fewer bytes than these. Another incarnation has another key,
/// so what was observed of it finds no replica.
using ReplicaKey = std::uint64_t;

ReplicaKey replicaKey(const UpstreamId &Id, std::uint64_t StartedUnixMs);

struct ReplicaObservation {
  ReplicaKey Key = 0;
  double Slowness = 1;  ///< Latency of the late answers relative to the usual.
  unsigned Waiting = 0; ///< Requests that the replica said were waiting.
  unsigned Late = 0;    ///< Late answers in a row; at least 1.
  /// Since the last and the first of these answers, when it is sent.
  Duration Age{};
  Duration FirstAge{};

  friend bool operator==(const ReplicaObservation &,
                         const ReplicaObservation &) = default;
};

/// The most replicas of a report: one datagram of at most 240 bytes.
inline constexpr std::size_t MaxReportedReplicas = 9;

/// A daemon's message about replicas that deviate, the largest deviations
/// first. Outdated ones are dropped by Sequence.
struct ReplicaObservationReport {
  DaemonId From;
  std::uint64_t Sequence = 0;
  std::vector<ReplicaObservation> Replicas;

  friend bool operator==(const ReplicaObservationReport &,
                         const ReplicaObservationReport &) = default;
};

/// How often a daemon reports: often enough that a report arrives well within
/// the half-life of what it says.
inline constexpr Duration ReportPeriod = Millis(250);
/// Upper bound of the size of a report of \p Replicas replicas as a datagram.
constexpr std::size_t reportBytes(std::size_t Replicas) {
  return 96 + 16 * Replicas;
}
/// Bytes that a daemon sends in reports in each period, at most.
inline constexpr std::size_t MaxReportBytes = reportBytes(MaxReportedReplicas);
/// The number of daemons that a report of \p Replicas replicas is sent to:
/// shorter ones go to more. 0 if there is nothing to tell.
constexpr std::size_t reportFanOut(std::size_t Replicas) {
  if (Replicas == 0)
    return 0;
  return std::max<std::size_t>(1, MaxReportBytes / reportBytes(Replicas));
}

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_REPLICAOBSERVATION_H
