//===- ReplicaTable.h - Observed state of each upstream ---------*- C++ -*-===//
//
// Health and load reports can be stale or wrong, so an upstream is selected by
// this daemon's own observations: outstanding requests, recent latency and
// unanswered requests. Reports only break ties. All observations decay or
// expire, so that a recovered upstream is used again without a report.
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

/// Enabled selection criteria. All are enabled by default; the benchmark
/// enables them one by one.
struct PickRules {
  bool ByLoad = true; ///< By outstanding x recent latency, else at random.
  bool ByZone = true; ///< Prefer this daemon's availability zone.
  bool Eject = true;  ///< Exclude outliers temporarily.

  friend bool operator==(const PickRules &, const PickRules &) = default;
};

/// Constraints on the upstream to select.
struct PickConstraints {
  std::optional<Snapshot> Pin;
  /// Upstreams already tried for this sub-request.
  std::span<const UpstreamId> Exclude;
  AvailabilityZone Near;
  unsigned EjectMaxPercent = 34;
  PickRules Rules;
};

enum class PickReason : std::uint8_t {
  Only,        ///< No other candidate.
  LessLoaded,  ///< Lower outstanding x latency of two candidates.
  Near,        ///< In this daemon's zone, within ZoneTolerance.
  NearIsWorse, ///< In another zone; this zone exceeds ZoneTolerance.
  Tie,         ///< Equal expected time; decided by reported load.
  Drawn,       ///< Selected at random.
};
std::string_view nameOf(PickReason R);

/// The selected upstream and the basis of the decision.
struct Pick {
  const Upstream *Target = nullptr; ///< Points into the configuration.
  PickReason Why = PickReason::Only;
  Duration Expected{0};   ///< Expected time: outstanding x latency.
  UpstreamId Alternative; ///< The rejected alternative, if any.
  Duration AlternativeExpected{0};
};

/// The response to an upstream that does not answer.
enum class SilenceAction : std::uint8_t {
  Wait,              ///< Not enough evidence yet.
  ReplaceConnection, ///< Close its connections without ejecting it.
  EjectReplica,      ///< Silent on new connections too.
};

/// State of one upstream as reported to operators.
struct ReplicaStatus {
  UpstreamId Id;
  unsigned Outstanding = 0;
  Duration Latency{0};
  double Weight = 1; ///< Below 1 while it recovers.
  bool Ejected = false;
  bool Shedding = false; ///< Shed load; not used even as a last resort.
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

  /// Selects the upstream of \p Svc to send to by power of two choices, or
  /// returns nothing if none is usable.
  std::optional<Pick> pick(const Service &Svc,
                           const PickConstraints &Constraints, Instant Now);

  // Events. Each onSent is followed by exactly one onReply or onCancelled of
  // the same upstream.
  void onSent(const UpstreamId &Id, Instant Now);
  void onReply(const UpstreamId &Id, Instant SentAt, const SubReply &Reply,
               Instant Now);
  void onCancelled(const UpstreamId &Id, Instant SentAt, Instant Now);
  /// An attempt sent at \p SentAt is unusually late, or another attempt
  /// answered after the hedge delay of this one.
  SilenceAction onSilent(const UpstreamId &Id, Instant SentAt, Instant Now);

  /// The upstream's own report from GET /load.
  void onReport(const UpstreamId &Id, double Load, bool Draining, Instant Now);
  /// The platform's host list marks it as leaving, or no longer does.
  void onLeaving(const UpstreamId &Id, bool Leaving);

  /// Whether \p Id holds \p S; nothing if that is unknown, or if the report
  /// that lacks \p S is older than NotHeldValidity.
  std::optional<bool> holds(const UpstreamId &Id, const Snapshot &S,
                            Instant Now) const;
  /// The snapshots that \p Id reported as servable; empty if unknown.
  std::span<const Snapshot> servable(const UpstreamId &Id) const;
  /// True if at least one upstream of \p Svc accepts work and all that do are
  /// known not to hold \p Pin.
  bool pinGone(const Service &Svc, const Snapshot &Pin, Instant Now) const;
  /// Whether \p U may receive new requests; ejection is not considered.
  bool acceptsWork(const Upstream &U, Instant Now) const;
  /// Removes upstreams that are not in \p C, except those with outstanding
  /// requests.
  void retain(const Config &C);
  std::optional<ReplicaStatus> status(const UpstreamId &Id, Instant Now) const;
  std::vector<ReplicaStatus> all(Instant Now) const;

private:
  struct Replica;
  struct Candidate;
  Replica &at(const UpstreamId &Id);
  const Replica *find(const UpstreamId &Id) const;
  void collect(const Service &Svc, const PickConstraints &Constraints,
               Instant Now);
  void dropEjected(const Service &Svc, unsigned MaxPercent, Instant Now);
  void dropRecovering(Instant Now);
  void estimate(Instant Now);
  Pick choose(const PickConstraints &Constraints);
  const Candidate &betterOfTwo(std::size_t First, std::size_t Count,
                               Pick &Evidence);
  const Candidate &chooseByZone(std::size_t NearCount, Pick &Evidence);
  void eject(Replica &R, Instant Now);
  void onFailure(Replica &R, Instant Now);
  void learnSnapshots(Replica &R, const SubReply &Reply, Instant Now);
  void sample(Replica &R, Duration Took, Instant Now);
  ReplicaStatus statusOf(const UpstreamId &Id, const Replica &R,
                         Instant Now) const;

  Random &Rng;
  std::unordered_map<UpstreamId, Replica> Replicas;
  std::vector<Candidate> Scratch; ///< Reused by pick() to avoid allocations.
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_REPLICATABLE_H
