//===- QueryRun.h - One search, from fan-out to answer ----------*- C++ -*-===//
//
// A state machine without I/O: its owner reports what happened and carries out
// the commands that come back.
//
//   auto Run = QueryRun::make(Spec, Tools);
//   carryOut(Run.value().start(Now));
//   ... carryOut(Run.value().onReply(Key, Reply, Now));
//
// Rules that the machine keeps whatever the order of events:
// - exactly one Finish, after which nothing follows;
// - every record comes from one snapshot; a reply whose snapshot differs from
//   the pin is not used;
// - a reply for an attempt that is not open here is ignored;
// - a request that cannot be answered is answered at once, not at its deadline;
// - from the first upstream that crashes under a search on, and until a run of
//   it ends well, the search is at one upstream at a time; after EnoughCrashes
//   it is given up (package quarantine).
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

/// Names one attempt in the whole fleet; equal to its SubRequest::AttemptId.
using AttemptKey = Name<struct AttemptTag>;

inline constexpr std::size_t MaxServicesPerQuery = 512;
/// Attempts at one service for one pin: first, hedges and retries together.
inline constexpr unsigned MaxAttemptsPerService = 4;

/// Restarted queries as a share of all, in percent. A restart asks all services
/// again; a roll-out makes some queries need one, never most.
inline constexpr double RestartBudgetPercent = 10;

/// How to treat stragglers. Baseline is what today's measurements are compared
/// with: a random replica, no hedges or retries, wait to the deadline.
enum class Strategy : std::uint8_t { Full, Baseline };

/// Parts of the strategy, for a bench that adds them one by one.
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
  ConfigPtr Conf; ///< Kept to the end: one configuration for one query.
  std::vector<ServiceName> Services;
  ClassPolicy Policy;
  Instant Deadline;
  std::string Body;
  std::string TraceParent;
  StrategyParts Parts;
  Caution Care = Caution::None;
  unsigned CrashedBefore = 0; ///< Upstreams, in earlier attempts at it.
};

/// What all runs of a daemon share. All must outlive the runs; Traces may be
/// null.
struct QueryContext {
  ReplicaTable &Replicas;
  LatencyModel &Latency;
  BudgetTable &Budgets; ///< Hedges and retries, by tenant and class.
  Budget &Restarts;     ///< Made with RestartBudgetPercent.
  Random &Rng;
  TraceRing *Traces = nullptr;
  AvailabilityZone Zone; ///< Our own.
};

/// Send it (directly or through a holder of a slot) and report the reply, or
/// what happened instead, with onReply(Key, ...).
struct SendSub {
  AttemptKey Key;
  SubRequest Request;
  bool Hedge = false;
  bool Retry = false;
};
/// The reply is no longer wanted: drop the transfer, tell the upstream.
struct CancelSub {
  AttemptKey Key;
  UpstreamId Target;
};
/// Call onWake() then. Replaces the WakeAt before it.
struct WakeAt {
  Instant At;
};
/// Close idle connections to this upstream: they have gone silent.
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
  static Result<QueryRun> make(QuerySpec Spec, QueryContext Tools);
  QueryRun(QueryRun &&) noexcept;
  QueryRun &operator=(QueryRun &&) noexcept;
  ~QueryRun();

  /// Called once, first.
  QueryCommands start(Instant Now);
  /// The attempt ended. Unknown, cancelled and finished attempts are ignored.
  QueryCommands onReply(const AttemptKey &Key, const SubReply &Reply,
                        Instant Now);
  QueryCommands onWake(Instant Now);
  /// The caller closed its connection: everything open is cancelled.
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
