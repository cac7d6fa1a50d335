//===- ReplicaTable.h - What we saw of each upstream ------------*- C++ -*-===//
//
// Health and load reports lag or mislead, so the choice of an upstream rests on
// this daemon's own observations: how many of our requests are outstanding
// there, how long it took lately, whether it has gone quiet. Reports only break
// ties. Everything decays or expires, so that an upstream which recovered is
// found out without anybody saying so.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_REPLICATABLE_H
#define SHALLOTSHIFT_QUERY_REPLICATABLE_H

#include "shallotshift/model.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace shallot {

/// Which parts of the choice are in use. The default is all of them; a bench
/// switches them on one by one.
struct PickRules {
  bool ByLoad = true; ///< Outstanding x recent latency; else a random one.
  bool ByZone = true; ///< Prefer our own availability zone.
  bool Eject = true;  ///< Leave out outliers for a while.

  friend bool operator==(const PickRules &, const PickRules &) = default;
};

/// What the chosen upstream has to satisfy.
struct PickWish {
  std::optional<Snapshot> Pin;
  /// Upstreams that were tried for this sub-request already.
  std::span<const UpstreamId> Exclude;
  AvailabilityZone Near;
  unsigned EjectMaxPercent = 34;
  PickRules Rules;
};

enum class PickReason : std::uint8_t {
  Only,        ///< No other could be used.
  LessLoaded,  ///< Lower outstanding x latency of two.
  Near,        ///< In our zone, and not clearly worse.
  NearIsWorse, ///< In another zone, because ours is clearly worse.
  Tie,         ///< Equal but for the load that it reports.
  Drawn,       ///< At random.
};
std::string_view nameOf(PickReason R);

/// The chosen upstream and the evidence.
struct Pick {
  const Upstream *Target = nullptr; ///< Points into the configuration.
  PickReason Why = PickReason::Only;
  Duration Expected{0}; ///< Its outstanding x latency, as time.
  UpstreamId Over;      ///< The one it was compared with, if any.
  Duration OverExpected{0};
};

/// What a silent upstream calls for.
enum class SilenceVerdict : std::uint8_t {
  Wait,              ///< Not enough evidence.
  ReplaceConnection, ///< Close connections to it; the replica is not blamed.
  BlameReplica,      ///< Silent on new connections too: ejected.
};

/// What an operator is shown of one upstream.
struct ReplicaStatus {
  UpstreamId Id;
  unsigned Outstanding = 0;
  Duration Latency{0};
  double Weight = 1; ///< Below 1 while it recovers.
  bool Ejected = false;
  bool Resting = false; ///< It shed work; not even a last resort just now.
  bool Draining = false;
  double ReportedLoad = 0;
  std::vector<Snapshot> Servable;
  std::uint64_t Sent = 0;
  std::uint64_t Failures = 0;
  std::uint64_t Ejections = 0;
};

class ReplicaTable {
public:
  static constexpr std::size_t MaxReplicas = 16384;
  static constexpr std::size_t MaxServableKept = 8;

  explicit ReplicaTable(Random &Rng);
  ~ReplicaTable();
  ReplicaTable(const ReplicaTable &) = delete;
  ReplicaTable &operator=(const ReplicaTable &) = delete;

  /// The upstream of \p Svc to ask next, or nothing when none may be used.
  /// Power of two choices over what is usable.
  std::optional<Pick> pick(const Service &Svc, const PickWish &Wish,
                           Instant Now);

  // What happened. Each onSent is followed by exactly one onReply or
  // onCancelled of the same upstream.
  void onSent(const UpstreamId &Id, Instant Now);
  void onReply(const UpstreamId &Id, Instant SentAt, const SubReply &Reply,
               Instant Now);
  void onCancelled(const UpstreamId &Id, Instant SentAt, Instant Now);
  /// An attempt sent at \p SentAt has had no reply for unusually long, or was
  /// overtaken by a hedge.
  SilenceVerdict onSilent(const UpstreamId &Id, Instant SentAt, Instant Now);

  /// The upstream's own word through GET /load.
  void onReport(const UpstreamId &Id, double Load, bool Draining, Instant Now);
  /// The platform's host list says that it is leaving, or no longer so.
  void onLeaving(const UpstreamId &Id, bool Leaving);

  /// Whether \p Id is known to hold \p S: nothing when it is not known or what
  /// was learned is old.
  std::optional<bool> holds(const UpstreamId &Id, const Snapshot &S,
                            Instant Now) const;
  /// The snapshots that \p Id said it holds; empty when nothing is known.
  std::span<const Snapshot> servable(const UpstreamId &Id) const;
  /// True when some upstream of \p Svc may get work and all that may are known
  /// not to hold \p Pin.
  bool pinGone(const Service &Svc, const Snapshot &Pin, Instant Now) const;
  /// May get new work, leaving ejection aside.
  bool acceptsWork(const Upstream &U, Instant Now) const;
  /// Forgets upstreams that \p C does not have.
  void retain(const Config &C);
  std::optional<ReplicaStatus> status(const UpstreamId &Id, Instant Now) const;
  std::vector<ReplicaStatus> all(Instant Now) const;

private:
  struct Replica;
  struct Candidate;
  Replica &at(const UpstreamId &Id);
  const Replica *find(const UpstreamId &Id) const;
  void collect(const Service &Svc, const PickWish &Wish, Instant Now);
  void dropEjected(const Service &Svc, unsigned MaxPercent, Instant Now);
  void dropRecovering(Instant Now);
  void estimate(Instant Now);
  Pick choose(const PickWish &Wish);
  const Candidate &betterOfTwo(std::size_t First, std::size_t Count,
                               Pick &Evidence);
  const Candidate &nearOrFar(std::size_t NearCount, Pick &Evidence);
  void eject(Replica &R, Instant Now);
  void onFailure(Replica &R, Instant Now);
  void learnSnapshots(Replica &R, const SubReply &Reply, Instant Now);
  void sample(Replica &R, Duration Took, Instant Now);
  ReplicaStatus statusOf(const UpstreamId &Id, const Replica &R,
                         Instant Now) const;

  Random &Rng;
  std::unordered_map<UpstreamId, Replica> Replicas;
  std::vector<Candidate> Scratch; ///< Of one pick; kept to save allocations.
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_REPLICATABLE_H
