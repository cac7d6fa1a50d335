//===- QueryRun.h - One search, from fan-out to answer ----------*- C++ -*-===//
//
// A state machine without I/O: its owner reports events and executes the
// commands that are returned.
//
//   auto Run = QueryRun::make(Spec, Context);
//   execute(Run.value().start(Now));
//   ... execute(Run.value().onReply(Key, Reply, Now));
//
// Invariants, for any order of events:
// - exactly one Finish is emitted, and no command follows it;
// - every record comes from one snapshot; a reply from a snapshot other than
//   the pin is not used;
// - a reply to an attempt that is not open in this run is ignored;
// - a search that can no longer succeed fails immediately, not at its deadline;
// - after an upstream crashes while running the search, and until an attempt
//   succeeds, a request is sent only when no other is open; after
//   CrashThreshold crashes the search is abandoned (package quarantine).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_QUERYRUN_H
#define SHALLOTSHIFT_QUERY_QUERYRUN_H

#include "query/LatencyModel.h"
#include "query/QueryAnswer.h"
#include "query/ReplicaTable.h"
#include "query/TraceRing.h"
#include "shallotshift/limits.h"
#include "shallotshift/quarantine.h"

#include <memory>
#include <variant>
#include <vector>

namespace shallot {

/// Identifies one attempt across the fleet; equal to SubRequest::AttemptId.
using AttemptKey = Name<struct AttemptTag>;

inline constexpr std::size_t MaxServicesPerQuery = 512;
/// Limit on first attempts, hedges and retries together, per service and pin.
inline constexpr unsigned MaxAttemptsPerService = 4;

/// Restarted queries as a share of all, in percent. A restart sends to all
/// services again; during a roll-out some queries need one, but not most.
inline constexpr double RestartBudgetPercent = 10;

/// How to treat stragglers. Baseline is the reference for measurements: a
/// random replica, no hedges or retries, and waiting until the deadline.
enum class Strategy : std::uint8_t { Full, Baseline };

/// Parts of the strategy; the benchmark enables them one by one.
struct StrategyParts {
  PickRules Pick;
  bool Hedge = true;
  bool Retry = true;

  static StrategyParts of(Strategy S);
  friend bool operator==(const StrategyParts &,
                         const StrategyParts &) = default;
};

struct QuerySpec {
  RequestId Id;
  Tenant Owner;
  CallerClass Class;
  ConfigPtr Conf; ///< Held until the end: one configuration per query.
  std::vector<ServiceName> Services;
  ClassPolicy Policy;
  Instant Deadline;
  std::string Body;
  std::string TraceParent;
  StrategyParts Parts;
  SendRestriction Restriction = SendRestriction::None;
  unsigned CrashedBefore = 0; ///< Upstreams crashed by earlier attempts at it.
};

/// State shared by all runs of a daemon. All references must outlive the runs;
/// Traces may be null.
struct QueryContext {
  ReplicaTable &Replicas;
  LatencyModel &Latency;
  BudgetTable &Budgets; ///< Hedges and retries by tenant and class.
  Budget &Restarts;     ///< Created with RestartBudgetPercent.
  Random &Rng;
  TraceRing *Traces = nullptr;
  AvailabilityZone Zone; ///< Of this daemon.
};

/// Send the request, directly or through a daemon that holds a slot, and report
/// the reply or failure with onReply(Key, ...).
struct SendSub {
  AttemptKey Key;
  SubRequest Request;
  bool Hedge = false;
  bool Retry = false;
};
/// Cancel the attempt: abort the transfer and notify the upstream.
struct CancelSub {
  AttemptKey Key;
  UpstreamId Target;
};
/// Call onWake() at this time. Replaces the previous WakeAt.
struct WakeAt {
  Instant At;
};
/// Close the idle connections to this upstream: requests on its connections got
/// no reply.
struct ReplaceConnection {
  UpstreamId Target;
};
/// The answer. Always the last command of a run.
struct Finish {
  QueryAnswer Answer;
};

using QueryCommand =
    std::variant<SendSub, CancelSub, WakeAt, ReplaceConnection, Finish>;
using QueryCommands = std::vector<QueryCommand>;

class QueryRun {
public:
  /// Fails with MissingField (no service), TooManyServices, UnknownService or
  /// AlreadyExists (a service twice).
  static Result<QueryRun> make(QuerySpec Spec, QueryContext Context);
  QueryRun(QueryRun &&) noexcept;
  QueryRun &operator=(QueryRun &&) noexcept;
  ~QueryRun();

  /// Must be called exactly once, before any other event.
  QueryCommands start(Instant Now);
  /// Reports the end of an attempt. Unknown, cancelled and finished attempts
  /// are ignored.
  QueryCommands onReply(const AttemptKey &Key, const SubReply &Reply,
                        Instant Now);
  QueryCommands onWake(Instant Now);
  /// The caller closed its connection; cancels all open attempts.
  QueryCommands onCallerGone(Instant Now);

  bool finished() const;
  const QuerySpec &spec() const;

private:
  struct Impl;
  explicit QueryRun(std::unique_ptr<Impl> I);
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_QUERYRUN_H
