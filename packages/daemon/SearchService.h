//===- SearchService.h - Searches from admission to answer ------*- C++ -*-===//
//
// Joins the decisions of packages limits and query to the loop: a search is
// admitted, queued or refused, then a QueryRun tells what to send, and what
// comes back goes to it. A search under which upstreams crashed is first held
// against what the fleet knows of it (package quarantine): it may be refused,
// or wait for the grant of a trial.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_SEARCHSERVICE_H
#define SHALLOTSHIFT_DAEMON_SEARCHSERVICE_H

#include "daemon/SubRouter.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/query.h"
#include "shallotshift/telemetry.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace shallot {

/// A checked search of one caller.
struct Search {
  RequestId Id;
  Tenant Owner;
  CallerClass Class;
  std::vector<ServiceName> Services;
  ClassPolicy Policy;
  Duration Remaining{0};
  std::string Body;
  std::string TraceParent;
};

class SearchService {
public:
  using Callback = std::function<void(QueryAnswer)>;
  using SearchId = std::uint64_t;

  SearchService(EventLoop &Loop, FleetState &Fleet, SubRouter &Router,
                QuarantineGate &Crashes, Metrics &Meter, Strategy Treatment,
                std::uint64_t Seed);

  /// \p Done is called exactly once, never before this returns. A refusal has
  /// a 2xxx code and nothing was sent for it.
  SearchId search(Search S, Callback Done);
  /// The caller is gone: what runs for it is cancelled.
  void callerGone(SearchId Id);

  /// Another configuration is in force.
  void onConfig();
  /// The host list says that an upstream is leaving, or no longer.
  void onLeaving(const UpstreamId &Id, bool Leaving);

  std::size_t inFlight() const { return Active.size(); }
  const TraceRing &traces() const { return Traces; }
  const ReplicaTable &replicas() const { return Replicas; }
  AdmissionReport admission() const;

private:
  /// A sub-request on its way.
  struct Sent {
    SubRouter::CallId Call = 0;
    UpstreamId Target;
    ServiceName Service;
  };
  struct Run {
    Run(Search Request, RequestAttempt Name, Callback Done, Instant Arrived)
        : Request(std::move(Request)), Name(std::move(Name)),
          Done(std::move(Done)), Arrived(Arrived) {}

    Search Request;
    RequestAttempt Name;
    Callback Done;
    Instant Arrived;
    Instant Started;
    std::optional<QueryRun> Machine; ///< Empty while it waits.
    TimerHandle Wake;
    std::unordered_map<std::string, Sent> Calls;
    TimerHandle TrialWait;
    bool TrialAsked = false; ///< And the answer has not come.
    bool Trial = false;      ///< One was granted to it.
    bool Cleared = false;    ///< That a run ended well was noted.
    Duration Queued{0};      ///< Sum over replies, for admission.
    unsigned Replies = 0;
    bool Overloaded = false;
  };

  void vet(SearchId Id);
  void askTrial(SearchId Id);
  void trialAnswered(SearchId Id, const RequestAttempt &Name, bool Granted);
  void admit(SearchId Id);
  void start(SearchId Id);
  void refuse(SearchId Id, const AdmissionDecision &V);
  void turn();
  void carryOut(SearchId Id, QueryCommands Commands);
  void act(SearchId Id, SendSub &C);
  void act(SearchId Id, const CancelSub &C);
  void act(SearchId Id, const WakeAt &C);
  void act(SearchId Id, const ReplaceConnection &C);
  void act(SearchId Id, Finish &C);
  void onReply(SearchId Id, const AttemptKey &Key, const SubReply &Reply);
  void noteReply(Run &R, const Sent &To, const SubReply &Reply);
  void noteEnd(const Run &R, const QueryCost &Cost);
  void account(const Run &R, const QueryAnswer &Answer);
  QuerySpec specOf(const Run &R) const;

  EventLoop &Loop;
  FleetState &Fleet;
  SubRouter &Router;
  QuarantineGate &Crashes;
  Metrics &Meter;
  Strategy Treatment;
  Random Rng;
  ReplicaTable Replicas;
  LatencyModel Latency;
  BudgetTable Budgets;
  Budget Restarts{RestartBudgetPercent};
  TraceRing Traces;
  std::optional<Admission> Gate; ///< Empty until there is a preset.
  TimerHandle GateTimer;
  std::unordered_map<SearchId, Run> Active;
  SearchId LastId = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_SEARCHSERVICE_H
