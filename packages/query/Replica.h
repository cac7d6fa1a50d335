//===- Replica.h - Observations of one upstream -----------------*- C++ -*-===//
//
// The entry type of ReplicaTable and the thresholds applied to observations.
// Internal to package query.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_REPLICA_H
#define SHALLOTSHIFT_QUERY_REPLICA_H

#include "query/ReplicaTable.h"
#include "shallotshift/limits.h"

namespace shallot {

/// Weight of one reply in the moving average of latency.
inline constexpr double LatencyGain = 0.1;
/// A sample is capped at this multiple of the moving average.
inline constexpr int SampleCap = 3;
/// Half-life of the excess latency over the fastest upstream of the service
/// while no replies arrive, so that an upstream that was slow is tried again.
inline constexpr Duration LatencyHalfLife = Seconds(2);
/// Assumed latency while none has been measured for the service.
inline constexpr Duration DefaultLatency = Millis(1);

/// Consecutive failures before an upstream is ejected. One or two are expected
/// when an intermediary restarts; three are not.
inline constexpr unsigned FailuresBeforeEject = 3;
/// Duration of the first ejection; it doubles with each consecutive one.
inline constexpr Duration EjectTime = Seconds(1);
inline constexpr unsigned MaxEjectDoublings = 5; ///< 32 s to 48 s.
/// Replies, including refusals by the upstream itself, that reset the count of
/// consecutive ejections.
inline constexpr unsigned RepliesToResetEjections = 10;

/// Consecutive silent requests that trigger an action. A request is silent if
/// it is unusually late and the upstream has sent nothing since it was sent.
/// About 1 in 20 replies of a healthy upstream is late, so three in a row have
/// a probability of 1 in 8,000, and a false positive costs one new connection.
inline constexpr unsigned SilentBeforeAction = 3;

/// Below this weight an upstream that sheds load is not used even as a last
/// resort. Three consecutive refusals reach it; refusals within
/// ShedSignalInterval count once.
inline constexpr double LastResortWeight = 0.2;
/// How long an upstream's draining report remains valid; after that it is tried
/// again. Longer than a restart, so that a draining upstream receives no
/// request before it has exited.
inline constexpr Duration DrainingValidity = Seconds(60);
/// How long the absence of a snapshot at an upstream remains valid; after that
/// the upstream may have loaded it.
inline constexpr Duration NotHeldValidity = Seconds(1);
/// This daemon's zone is preferred unless its expected time exceeds the other
/// by this factor.
inline constexpr double ZoneTolerance = 1.2;
/// Expected times that differ by less than this share are treated as equal.
inline constexpr double TieShare = 0.02;

/// The component to which a result is attributed.
enum class FaultClass : std::uint8_t {
  None,     ///< The upstream answered, or lacks the version.
  Shed,     ///< The upstream refused because of load.
  Draining, ///< The upstream is draining.
  Replica,  ///< The upstream failed.
  /// Attributed to a slot holder, a peer, a silent connection or this daemon.
  NotReplica,
};

FaultClass faultClassOf(ResultCode Code);

/// True if the refusal occurred before the request reached an upstream: at a
/// slot holder, at a peer or in this daemon.
bool refusedBeforeUpstream(ResultCode Code);

struct ReplicaTable::Replica {
  unsigned Outstanding = 0;
  Duration Latency{0}; ///< Moving average; 0: not known.
  Instant LatencyAt;
  /// No reply has arrived since then while requests are outstanding.
  Instant UnansweredSince;
  Instant LastContact;

  unsigned FailuresInRow = 0;
  unsigned SilentInRow = 0;
  std::optional<Instant> ReplacedAt; ///< Connections closed, no reply since.
  Instant EjectedUntil;
  unsigned EjectionsInRow = 0;
  /// Replies and refusals by the upstream since the last ejection.
  unsigned GoodReplies = 0;

  SlowStart Shed;   ///< After a refusal because of load.
  SlowStart Warmup; ///< After a cold start or an ejection.

  bool Draining = false; ///< Reported by the upstream.
  Instant DrainingAt;
  bool Leaving = false; ///< Reported by the platform's host list.
  double ReportedLoad = 0;

  std::vector<Snapshot> Servable; ///< Newest first.
  Instant ServableAt;

  std::uint64_t Sent = 0;
  std::uint64_t Failures = 0;
  std::uint64_t Ejections = 0;

  void recordContact(Instant Now);
  void markDraining(Instant Now);
  bool isLeaving(Instant Now) const;
  std::optional<bool> holds(const Snapshot &S, Instant Now) const;
  /// The moving average, decayed towards \p Best since the last sample.
  Duration latencyAt(Instant Now, Duration Best) const;
  /// Time since the last reply while requests are outstanding, else 0.
  Duration unansweredFor(Instant Now) const;
};

/// A candidate in one call of pick().
struct ReplicaTable::Candidate {
  const Upstream *Target = nullptr;
  const Replica *Seen = nullptr; ///< Null if it has no entry yet.
  Duration Expected{0};
  bool IsNear = false;

  bool hasLatency() const { return Seen && Seen->Latency > Duration{0}; }
  bool ejected(Instant Now) const { return Seen && Seen->EjectedUntil > Now; }
  double reportedLoad() const { return Seen ? Seen->ReportedLoad : 0; }
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_REPLICA_H
