//===- Replica.h - One replica and what we saw of it ------------*- C++ -*-===//
//
// A replica is judged by this daemon's own sends: how many are open, how long
// answers take compared with what that work usually takes, what failed, and the
// load that it reports. From these a replica predicts how long
// a send would take now; the smallest prediction is chosen (ReplicaRegistry).
//
// Three troubles look alike at first and must not be answered alike:
//
//   - a pause of 150 to 250 ms (a collection, a compaction): several sends stay
//     open and nothing answers. Sends that have not begun go elsewhere until
//     anything answers; then it is as good as before.
//   - slowness of seconds: answers come, late. The prediction grows with them,
//     fast when several in a row are late, and falls back by itself in a few
//     seconds, so that it is tried again.
//   - a dead replica: connections fail or sends are lost in a row. It rests,
//     for longer each time, until a connection opened for that purpose works;
//     no caller pays for the try.
//
// A quick failure must not look like a quick replica: failures never shorten a
// prediction, they lengthen it.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_REPLICA_H
#define SHALLOTSHIFT_FORWARD_REPLICA_H

#include "forward/ConnectionAllowance.h"
#include "forward/RttEstimate.h"

#include <memory>
#include <optional>
#include <vector>

namespace shallot {

/// A replica as it registered itself.
struct ReplicaEntry {
  UpstreamId Id;
  ServiceName Service;
  Endpoint At;
  AvailabilityZone Zone;
  Region Reg;
  unsigned Slots = 1;
  bool Leaving = false;  ///< It takes no new work.
  Duration WarmupLeft{}; ///< It answers slowly for this long after its start.
  /// When this incarnation started, in milliseconds of Unix time; 0: not known.
  /// Only ever compared with another such time of the same id.
  std::uint64_t StartedUnixMs = 0;

  friend bool operator==(const ReplicaEntry &, const ReplicaEntry &) = default;
};

/// How far a replica is from this daemon.
enum class Distance : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// How one send ended.
enum class SendStatus : std::uint8_t {
  Answered,  ///< A whole reply to this request.
  Rejected,  ///< The replica said that it did not run it.
  NotSent,   ///< No connection: nothing left this process.
  Lost,      ///< It was sent and no usable reply came; it may have run.
  Abandoned, ///< We stopped waiting.
};

/// The load that a replica reports with a reply.
struct ReportedLoad {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 1;

  friend bool operator==(const ReportedLoad &, const ReportedLoad &) = default;
};

class Replica {
public:
  /// \p RestartedAt: when it became known that this incarnation followed
  /// another one of the same id, if one did.
  /// \p Rtt is shared by the replicas of its availability zone.
  Replica(ReplicaEntry Entry, Distance Far, std::shared_ptr<RttEstimate> Rtt,
          Instant Now, Instant RestartedAt = Instant::min());

  const ReplicaEntry &entry() const { return Entry; }
  Distance distance() const { return Far; }
  /// Connections that were opened before this lead to a process that is gone:
  /// whatever is sent on one is lost, and nobody knows whether it ran.
  Instant connectionsValidFrom() const { return RestartedAt; }
  /// The same incarnation registered anew, with another state.
  void update(ReplicaEntry Entry, Instant Now);

  /// It started a short while ago, by what it registered.
  bool cold(Instant Now) const { return Now < WarmAt; }
  Instant warmAt() const { return WarmAt; }
  /// Whether a send may start to a cold replica that gets \p PerSecond from
  /// this daemon.
  bool warmupAdmits(double PerSecond, Instant Now);

  void sendStarted(Instant Now);
  /// \p Work is what such a request usually takes in a replica.
  void sendEnded(Instant Started, SendStatus How, Duration Work, Instant Now);
  void loadReported(const ReportedLoad &L, Instant Now);

  /// How long a send begun now would take, with what it would cost besides.
  Duration predicted(Duration Work, Instant Now) const;
  /// The same without the costs: how long its answer would take, if it is not
  /// stuck and does not fail.
  Duration expected(Duration Work, Instant Now) const;
  /// The RTT without any work.
  Duration roundTrip() const { return Rtt->value(); }
  RttEstimate &rtt() { return *Rtt; }
  std::size_t openSends() const { return Open.size(); }
  /// The most waiting requests that it ever reported: the length of its queue,
  /// once that was full.
  unsigned longestQueue() const { return LongestQueue; }
  /// It reported lately that requests wait: more connections do not help, and a
  /// replica with a long queue takes fewer.
  bool reportedBusy(Instant Now) const;
  /// Connections beyond this daemon's share.
  ConnectionAllowance &allowance() { return Allowance; }
  const ConnectionAllowance &allowance() const { return Allowance; }
  /// Sends wait there and nothing came back for longer than they should take.
  bool stalled(Duration Work, Instant Now) const;

  /// It gets no callers' requests until a trial connection worked.
  bool ejected() const { return Resting; }
  /// A trial connection should be opened now; answers true once for each rest.
  bool takeProbe(Instant Now);
  void probeEnded(bool Worked, Instant Now);
  /// Answers against the usual time; 1 is as usual.
  double slowness(Instant Now) const;

private:
  void noteAnswer(Instant Started, Duration Work, Instant Now);
  void rest(Instant Now);
  double failureRate(Instant Now) const;
  void noteFailure(double Outcome, Instant Now);

  ReplicaEntry Entry;
  Distance Far;
  std::shared_ptr<RttEstimate> Rtt;
  Instant RestartedAt;
  Instant WarmAt;
  std::optional<TokenBucket> Warmup; ///< Sends while it is taken for cold.
  std::vector<Instant> Open;         ///< When each open send began.
  Instant LastAnswer;
  double SlownessSeen = 1; ///< Answers against the usual time.
  Instant SlownessAt;
  double FailureSeen = 0; ///< Part of the sends that failed lately.
  Instant FailureAt;
  unsigned LateInARow = 0; ///< Answers, without one in time between them.
  unsigned LostInARow = 0;
  std::optional<ReportedLoad> Load;
  Instant LoadAt;
  unsigned LongestQueue = 0;
  ConnectionAllowance Allowance;
  bool Resting = false;
  bool TrialRuns = false;
  Instant TrialAt;
  Duration RestTime{};
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_REPLICA_H
