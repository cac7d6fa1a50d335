//===- ReplicaObservation.h - What daemons tell of replicas -----*- C++ -*-===//
//
// What a daemon has observed of a replica that is slower or busier than its
// service usually is. Daemons of a large fleet each see few answers of a
// replica, so they tell each other of replicas that deviate. Replicas that do
// not deviate are not told of.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_REPLICAOBSERVATION_H
#define SHALLOTSHIFT_FORWARD_REPLICAOBSERVATION_H

#include "shallotshift/base.h"

#include <vector>

namespace shallot {

struct ReplicaObservation {
  UpstreamId Id;
  /// Start of the incarnation that was observed, in Unix milliseconds.
  std::uint64_t StartedUnixMs = 0;
  double Slowness = 1; ///< Latency relative to the usual; 1 is usual.
  unsigned Running = 0;
  unsigned Waiting = 0;
  /// Answers that the observation rests on, with recent ones counting most.
  double Answers = 0;
  Duration Age{}; ///< Since the last of these answers, when it is sent.

  friend bool operator==(const ReplicaObservation &,
                         const ReplicaObservation &) = default;
};

/// A daemon's message about replicas that deviate, the largest deviations
/// first. Replaces the one before; outdated ones are dropped by Sequence.
struct ReplicaObservationReport {
  DaemonId From;
  std::uint64_t Sequence = 0;
  std::vector<ReplicaObservation> Replicas;

  friend bool operator==(const ReplicaObservationReport &,
                         const ReplicaObservationReport &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_REPLICAOBSERVATION_H
