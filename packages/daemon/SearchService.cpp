#include "daemon/SearchService.h"

namespace shallot {
namespace {

bool isLoadRefusal(ResultCode Code) {
  switch (Code) {
  case ResultCode::Overloaded:
  case ResultCode::QueueFull:
  case ResultCode::WouldMissDeadline:
  case ResultCode::UpstreamShed:
  case ResultCode::PeerBusy:
    return true;
  default:
    return false;
  }
}

constexpr char SearchPath[] = "/v1/search";

/// The same search whoever carries it: ids, deadlines and classes are of one
/// attempt. What is asked of other services is another search.
RequestAttempt nameOf(const Search &S) {
  std::string Target = std::string(SearchPath) + "?services=";
  for (const ServiceName &Name : S.Services)
    Target += Name.str() + ",";
  RequestIdentity Parts{"POST", "", Target, S.Owner.str(), S.Body};
  return {RequestFingerprint::of(Parts), S.Id.str(), S.Owner.str(), SearchPath};
}

/// What is not sent because of its standing: a trial may be granted soon, and
/// coming back is of no use to what is kept from upstreams.
AdmissionDecision refusalFor(QuarantineState S) {
  if (S == QuarantineState::Quarantined)
    return AdmissionDecision::refuse(ResultCode::RequestQuarantined,
                                     Duration(0));
  return AdmissionDecision::refuse(ResultCode::TrialUnavailable,
                                   TrialRetryDelay);
}

} // namespace

SearchService::SearchService(EventLoop &Loop, FleetState &Fleet,
                             SubRouter &Router, QuarantineGate &Crashes,
                             Metrics &Meter, Strategy Treatment,
                             std::uint64_t Seed)
    : Loop(Loop), Fleet(Fleet), Router(Router), Crashes(Crashes), Meter(Meter),
      Treatment(Treatment), Rng(Seed), Replicas(Rng) {}

void SearchService::onConfig() {
  const Preset &P = Fleet.Conf->preset();
  if (Gate)
    Gate->setPreset(P);
  else
    Gate.emplace(P);
  Replicas.retain(*Fleet.Conf);
  Latency.retain(*Fleet.Conf);
  turn();
}

void SearchService::onLeaving(const UpstreamId &Id, bool Leaving) {
  Replicas.onLeaving(Id, Leaving);
}

AdmissionReport SearchService::admission() const {
  return Gate ? Gate->report() : AdmissionReport{};
}

SearchService::SearchId SearchService::search(Search S, Callback Done) {
  SearchId Id = ++LastId;
  RequestAttempt Name = nameOf(S);
  Run R(std::move(S), std::move(Name), std::move(Done), Loop.now());
  Active.emplace(Id, std::move(R));
  vet(Id);
  turn();
  return Id;
}

/// A search under which upstreams crashed is refused at once, or waits for the
/// grant of a trial; it takes no place among those that wait for their turn.
void SearchService::vet(SearchId Id) {
  switch (Crashes.quarantineState(Active.at(Id).Name)) {
  case QuarantineState::Clear:
  case QuarantineState::Suspect:
    return admit(Id);
  case QuarantineState::OnTrial:
    return askTrial(Id);
  case QuarantineState::Quarantined:
    return refuse(Id, refusalFor(QuarantineState::Quarantined));
  }
}

void SearchService::askTrial(SearchId Id) {
  Run &R = Active.at(Id);
  auto OnDecision = [this, Id, Name = R.Name](bool Granted) {
    trialAnswered(Id, Name, Granted);
  };
  R.TrialAsked = true;
  R.TrialWait = Loop.after(MaxTrialWait, [OnDecision] { OnDecision(false); });
  Crashes.requestTrial(R.Name, OnDecision);
}

void SearchService::trialAnswered(SearchId Id, const RequestAttempt &Name,
                                  bool Granted) {
  auto At = Active.find(Id);
  if (At == Active.end() || !At->second.TrialAsked) {
    // Its caller has gone, or was told to come back.
    if (Granted)
      Crashes.trialUnused(Name);
    return;
  }
  Run &R = At->second;
  R.TrialWait.cancel();
  R.TrialAsked = false;
  R.Trial = Granted;
  if (Granted)
    admit(Id);
  else if (Crashes.quarantineState(Name) != QuarantineState::OnTrial)
    vet(Id); // Others have cleared or proven it meanwhile.
  else
    refuse(Id, refusalFor(QuarantineState::OnTrial));
  turn();
}

/// Starts it, lets it wait for its turn, or refuses it at once.
void SearchService::admit(SearchId Id) {
  const Run &R = Active.at(Id);
  AdmissionRequest Entry{Id, R.Request.Class, R.Arrived + R.Request.Remaining};
  AdmissionDecision V =
      Gate ? Gate->offer(Entry, Loop.now())
           : AdmissionDecision::refuse(ResultCode::NotReady, MinRetryAfter);
  if (V.What == AdmissionAction::Start)
    start(Id);
  else if (V.What == AdmissionAction::Refuse)
    refuse(Id, V);
}

QuerySpec SearchService::specOf(const Run &R) const {
  QuerySpec Spec;
  Spec.Id = R.Request.Id;
  Spec.Owner = R.Request.Owner;
  Spec.Class = R.Request.Class;
  Spec.Conf = Fleet.Conf;
  Spec.Services = R.Request.Services;
  Spec.Policy = R.Request.Policy;
  Spec.Deadline = R.Arrived + R.Request.Remaining;
  Spec.Body = R.Request.Body;
  Spec.TraceParent = R.Request.TraceParent;
  Spec.Parts = StrategyParts::of(Treatment);
  Spec.Restriction = Crashes.restrictionFor(R.Name, R.Trial);
  Spec.CrashedBefore = Crashes.crashesOf(R.Name);
  return Spec;
}

void SearchService::start(SearchId Id) {
  Run &R = Active.at(Id);
  QuarantineState Now = Crashes.quarantineState(R.Name);
  if (Now >= QuarantineState::OnTrial && !R.Trial) {
    // Upstreams crashed under other attempts while it waited for its turn.
    Gate->cancel(Id);
    return refuse(Id, refusalFor(Now));
  }
  R.Started = Loop.now();
  QueryContext Tools{Replicas, Latency, Budgets,   Restarts,
                     Rng,      &Traces, Fleet.Zone};
  auto Made = attempt([&] { return QueryRun::make(specOf(R), Tools); });
  if (!Made) {
    // The configuration changed while it waited and a service is gone.
    Gate->cancel(Id);
    return refuse(Id,
                  AdmissionDecision::refuse(Made.error().Code, MinRetryAfter));
  }
  R.Machine.emplace(std::move(*Made));
  // Posted, so that the answer never comes before search() has returned.
  Loop.post([this, Id] {
    auto At = Active.find(Id);
    if (At != Active.end())
      carryOut(Id, At->second.Machine->start(Loop.now()));
  });
}

void SearchService::refuse(SearchId Id, const AdmissionDecision &V) {
  auto Node = Active.extract(Id);
  if (Node.empty())
    return;
  Run &R = Node.mapped();
  noteEnd(R, {});
  QueryAnswer Answer;
  Answer.Code = V.Code;
  Answer.Text = std::string(infoOf(V.Code).Text);
  Answer.RetryAfter = V.RetryAfter;
  Answer.Took = Loop.now() - R.Arrived;
  account(R, Answer);
  Loop.post([Done = std::move(R.Done), Answer = std::move(Answer)]() mutable {
    Done(std::move(Answer));
  });
}

void SearchService::turn() {
  if (!Gate)
    return;
  for (const AdmissionEvent &E : Gate->poll(Loop.now())) {
    if (E.Final.What == AdmissionAction::Start)
      start(E.Id);
    else
      refuse(E.Id, E.Final);
  }
  GateTimer.cancel();
  if (auto Next = Gate->nextExpiry())
    GateTimer = Loop.after(*Next - Loop.now(), [this] { turn(); });
}

void SearchService::callerGone(SearchId Id) {
  auto At = Active.find(Id);
  if (At == Active.end())
    return;
  if (At->second.Machine)
    return carryOut(Id, At->second.Machine->onCallerGone(Loop.now()));
  At->second.TrialWait.cancel();
  noteEnd(At->second, {});
  Active.erase(At);
  if (Gate)
    Gate->cancel(Id);
  turn();
}

void SearchService::carryOut(SearchId Id, QueryCommands Commands) {
  for (QueryCommand &C : Commands)
    std::visit([&](auto &One) { act(Id, One); }, C);
}

void SearchService::act(SearchId Id, SendSub &C) {
  AttemptKey Key = C.Key;
  Sent To{0, C.Request.Target, C.Request.Service};
  To.Call =
      Router.send(std::move(C.Request),
                  [this, Id, Key](const SubReply &R) { onReply(Id, Key, R); });
  Active.at(Id).Calls[Key.str()] = std::move(To);
}

void SearchService::act(SearchId Id, const CancelSub &C) {
  auto Node = Active.at(Id).Calls.extract(C.Key.str());
  if (!Node.empty())
    Router.cancel(Node.mapped().Call);
}

void SearchService::act(SearchId Id, const WakeAt &C) {
  Run &R = Active.at(Id);
  R.Wake.cancel();
  R.Wake = Loop.after(C.At - Loop.now(), [this, Id] {
    auto At = Active.find(Id);
    if (At != Active.end())
      carryOut(Id, At->second.Machine->onWake(Loop.now()));
  });
}

void SearchService::act(SearchId, const ReplaceConnection &C) {
  Router.replaceConnections(C.Target);
}

void SearchService::act(SearchId Id, Finish &C) {
  auto Node = Active.extract(Id);
  Run &R = Node.mapped();
  R.Wake.cancel();
  LoadSample Sample;
  Sample.Latency = Loop.now() - R.Started;
  Sample.Queued = R.Replies ? R.Queued / R.Replies : Duration(0);
  Sample.Overloaded =
      R.Overloaded || C.Answer.Code == ResultCode::DeadlineExceeded;
  Gate->done(Id, Sample, Loop.now());
  noteEnd(R, C.Answer.Cost);
  account(R, C.Answer);
  R.Done(std::move(C.Answer));
  turn();
}

void SearchService::onReply(SearchId Id, const AttemptKey &Key,
                            const SubReply &Reply) {
  auto At = Active.find(Id);
  if (At == Active.end())
    return;
  Run &R = At->second;
  if (auto Node = R.Calls.extract(Key.str()))
    noteReply(R, Node.mapped(), Reply);
  R.Queued += Reply.Queued;
  ++R.Replies;
  R.Overloaded = R.Overloaded || isLoadRefusal(Reply.Code);
  carryOut(Id, R.Machine->onReply(Key, Reply, Loop.now()));
}

void SearchService::noteReply(Run &R, const Sent &To, const SubReply &Reply) {
  if (Reply.Crashed)
    Crashes.crashed(R.Name, {processName(To.Target, 0), To.Service});
  if (Reply.Code == ResultCode::Ok && !std::exchange(R.Cleared, true))
    Crashes.succeeded(R.Name);
}

/// What crashed under a search without success is for the other daemons to
/// know. There are few trials, and one that no upstream saw has told nothing.
void SearchService::noteEnd(const Run &R, const QueryCost &Cost) {
  if (!R.Cleared && Cost.Crashed > 0)
    Crashes.attemptFailed(R.Name, R.Trial, true);
  if (R.Trial && !Cost.reachedUpstreams())
    Crashes.trialUnused(R.Name);
}

void SearchService::account(const Run &R, const QueryAnswer &Answer) {
  Labels Who{{"tenant", R.Request.Owner.str()},
             {"class", R.Request.Class.str()}};
  Labels WhoAndCode = Who;
  WhoAndCode.emplace_back("code", codeLabel(Answer.Code));
  Meter.count("shallot_searches_total", WhoAndCode);
  Meter.latency("shallot_search_seconds", Who, Loop.now() - R.Arrived);
  if (!R.Machine)
    return;
  Meter.share("shallot_search_coverage", Who, Answer.Covered.share());
  Meter.count("shallot_sub_requests_total", Who, Answer.Cost.FirstSends);
  Meter.count("shallot_hedges_total", Who, Answer.Cost.Hedges);
  Meter.count("shallot_retries_total", Who,
              Answer.Cost.Retries + Answer.Cost.Reasks + Answer.Cost.Restarts);
}

} // namespace shallot
