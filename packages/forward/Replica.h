//===- Replica.h - Observed state of one replica ----------------*- C++ -*-===//
//
// Predicts how long a send to a replica would take. The prediction is based on
// this daemon's own sends: the number that are open, the latency of answers
// relative to the usual service time, failures, and the load that the replica
// reports. ReplicaRegistry selects the replica with the smallest prediction.
//
// Three failure modes look alike at first and are treated differently:
//
//   - A pause of 150 to 250 ms (garbage collection, compaction): several sends
//     stay open without an answer. New sends go elsewhere until the replica
//     answers; then its prediction is as before.
//   - Slowness for seconds: answers arrive late. The prediction grows with each
//     of them, faster after several in a row, and decays within a few seconds,
//     so that the replica is tried again.
//   - A dead replica: connections fail or several sends in a row are lost. It
//     is ejected, for longer each time, until a probe connection succeeds. No
//     caller's request is used as a probe.
//
// Failures always lengthen a prediction, so that a replica that fails quickly
// does not look fast.
//
// What other daemons report of a replica is added by ReplicaRegistry
// (ReplicaSharing.h), not here.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_REPLICA_H
#define SHALLOTSHIFT_FORWARD_REPLICA_H

#include "forward/AnswerEvidence.h"
#include "forward/ConnectionAllowance.h"
#include "forward/RttEstimate.h"

#include <memory>
#include <optional>
#include <unordered_set>
#include <vector>

namespace shallot {

/// The registration of a replica.
struct ReplicaEntry {
  UpstreamId Id;
  ServiceName Service;
  Endpoint At;
  AvailabilityZone Zone;
  Region Reg;
  unsigned Slots = 1;
  bool Leaving = false; ///< It accepts no new requests.
  /// Remaining time for which it is cold and answers slowly.
  Duration WarmupLeft{};
  /// Start time of this incarnation in milliseconds of Unix time; 0 if unknown.
  /// Compared only with start times of the same id.
  std::uint64_t StartedUnixMs = 0;

  friend bool operator==(const ReplicaEntry &, const ReplicaEntry &) = default;
};

/// Distance class of a replica, seen from this daemon.
enum class Distance : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// How a send ended.
enum class SendStatus : std::uint8_t {
  Answered,  ///< A complete reply to this request.
  Rejected,  ///< The replica reported that it did not run it.
  NotSent,   ///< No connection: nothing was sent.
  Lost,      ///< Sent, but no usable reply arrived; it may have run.
  Abandoned, ///< This daemon stopped waiting.
};

/// The load that a replica reports with its replies.
struct ReportedLoad {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 1;

  friend bool operator==(const ReportedLoad &, const ReportedLoad &) = default;
};

/// Ids of replicas that were ejected. One that has recovered since is still
/// listed until it is looked at.
using EjectedReplicas = std::unordered_set<UpstreamId>;

class Replica {
public:
  /// \p RestartedAt is the time at which a restart of this id was detected, if
  /// there was one. \p Rtt is shared by the replicas of an availability zone.
  Replica(ReplicaEntry Entry, Distance Dist, std::shared_ptr<RttEstimate> Rtt,
          Instant Now, Instant RestartedAt = Instant::min(),
          std::shared_ptr<EjectedReplicas> Ejections = nullptr);

  const ReplicaEntry &entry() const { return Entry; }
  /// Of this incarnation, in reports.
  ReplicaKey key() const { return Key; }
  Distance distance() const { return Dist; }
  /// Connections opened before this time lead to a process that has ended: a
  /// request sent on one is lost, and may or may not have run.
  Instant connectionsValidFrom() const { return RestartedAt; }
  /// Applies a new registration of the same incarnation.
  void update(ReplicaEntry Entry, Instant Now);

  /// It is in the warm-up period that it registered.
  bool cold(Instant Now) const { return Now < WarmAt; }
  Instant warmAt() const { return WarmAt; }
  /// Whether a send to a cold replica is within the rate of \p PerSecond from
  /// this daemon.
  bool warmupAdmits(double PerSecond, Instant Now);

  void sendStarted(Instant Now);
  /// \p ServiceTime is the usual service time of such a request.
  void sendEnded(Instant Started, SendStatus How, Duration ServiceTime,
                 Instant Now);
  void loadReported(const ReportedLoad &L, Instant Now);

  /// Predicted duration of a send started now, plus the costs of distance, of
  /// likely failures and of a stall.
  Duration predicted(Duration ServiceTime, Instant Now) const;
  /// Predicted duration of a send without these costs, if the replica is not
  /// stalled and does not fail.
  Duration expected(Duration ServiceTime, Instant Now) const;
  /// The RTT, without service time.
  Duration roundTrip() const { return Rtt->value(); }
  RttEstimate &rtt() { return *Rtt; }
  std::size_t openSends() const { return Open.size(); }
  /// The largest number of waiting requests that it reported. Once its queue
  /// has been full, this is the queue limit.
  unsigned longestQueue() const { return LongestQueue; }
  /// It recently reported waiting requests. More connections would not help: a
  /// replica with a long queue accepts fewer.
  bool reportedBusy(Instant Now) const;
  /// Requests that were waiting according to its last report.
  unsigned reportedWaiting() const { return Load ? Load->Waiting : 0; }
  /// Late answers, for reports to other daemons. Changes no prediction.
  const AnswerEvidence &evidence() const { return Evidence; }
  /// Connections beyond this daemon's share.
  ConnectionAllowance &allowance() { return Allowance; }
  const ConnectionAllowance &allowance() const { return Allowance; }
  /// Sends are open and nothing has arrived for longer than they should take.
  bool stalled(Duration ServiceTime, Instant Now) const;

  /// No callers' requests are sent to it until a probe connection succeeds.
  bool ejected() const { return Ejected; }
  /// Returns true once per ejection, when a probe connection should be opened.
  bool takeProbe(Instant Now);
  void probeEnded(bool Worked, Instant Now);
  /// Answer latency relative to the usual; 1 is usual.
  double slowness(Instant Now) const;

private:
  void recordAnswer(Instant Started, Duration ServiceTime, Instant Now);
  void eject(Instant Now);
  double failureRate(Instant Now) const;
  void recordFailure(double Outcome, Instant Now);

  ReplicaEntry Entry;
  ReplicaKey Key;
  Distance Dist;
  std::shared_ptr<RttEstimate> Rtt;
  Instant RestartedAt;
  Instant WarmAt;
  /// Limits sends while it is treated as cold.
  std::optional<TokenBucket> Warmup;
  std::vector<Instant> Open; ///< Start time of each open send.
  Instant LastAnswer;
  /// Answer latency relative to the usual, at SlownessAt.
  double LastSlowness = 1;
  Instant SlownessAt;
  /// Fraction of recent sends that failed, at FailureAt.
  double LastFailureRate = 0;
  Instant FailureAt;
  unsigned LateInARow = 0; ///< Consecutive late answers.
  AnswerEvidence Evidence;
  unsigned LostInARow = 0;
  std::optional<ReportedLoad> Load;
  Instant LoadAt;
  unsigned LongestQueue = 0;
  ConnectionAllowance Allowance;
  std::shared_ptr<EjectedReplicas> Ejections; ///< Lists it when it is ejected.
  bool Ejected = false;
  bool ProbeRunning = false;
  Instant ProbeAt;
  Duration EjectionTime{};
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_REPLICA_H
