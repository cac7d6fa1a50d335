//===- RequestHandler.cpp -------------------------------------------------===//
#include "front/RequestHandlerImpl.h"

#include "front/AnswerWriting.h"
#include "front/ReplyReading.h"
#include "front/RequestReading.h"

namespace shallot {

namespace {

/// Retry delay for callers while there is no configuration yet.
constexpr Duration NotReadyRetry = Millis(300);
/// A request that must run at most once is not sent on a connection that was
/// idle for longer: the replica may be closing it at that moment, and whether
/// the request ran would be unknown.
constexpr Duration MaxIdleForAtMostOnce = Millis(1500);
constexpr Duration MaxIdle = Seconds(60);
/// Idle connections to one replica, near and far: enough for a burst, and after
/// IdleFor only those for the usual load. With fewer, a burst pays for
/// handshakes; with more, a fleet that lost power finds no free connections at
/// the replicas, which still count the earlier ones.
struct IdleBounds {
  std::size_t Max;
  std::size_t Min;
};
constexpr IdleBounds NearIdle{8, 2};
constexpr IdleBounds FarIdle{3, 1};
constexpr Duration IdleFor = Millis(400);

} // namespace

void RequestHandler::Impl::refuse(const ExchangePtr &E, const LocalAnswer &A) {
  std::string Id(headerValue(E->request().Headers, Names.RequestId));
  logEvent(LogLevel::Info, "request_refused",
           {{"id", Id},
            {"code", codeLabel(A.Code)},
            {"why", A.Why},
            {"config", Config ? std::to_string(Config->version()) : "none"}});
  Meter.count("shallot_forward_refused_total", {{"code", codeLabel(A.Code)}});
  E->reply(writeOwnAnswer(A, std::move(Id)));
}

void RequestHandler::Impl::refuseUnknownKey(const ExchangePtr &E,
                                            const Error &Why) {
  std::string Id(headerValue(E->request().Headers, Names.RequestId));
  logEvent(LogLevel::Info, "request_refused",
           {{"id", Id},
            {"code", codeLabel(Why.Code)},
            {"why", Why.Detail},
            {"config", std::to_string(Config->version())}});
  Meter.count("shallot_forward_refused_total", {{"code", codeLabel(Why.Code)}});
  CallerReply Reply = writeOwnAnswer({Why.Code, {}, Why.Detail}, std::move(Id));
  Reply.Headers.push_back({"WWW-Authenticate", Names.KeyScheme});
  E->reply(std::move(Reply));
}

void RequestHandler::Impl::handle(const ExchangePtr &E) {
  const CallerRequest &R = E->request();
  if (!Config) {
    refuse(E, {ResultCode::NotReady, NotReadyRetry,
               "this daemon has no configuration yet"});
    return;
  }
  std::string Host = hostOf(headerValue(R.Headers, "Host"));
  const Route *Matched = Config->match(Host, R.path());
  if (!Matched) {
    refuse(E, {ResultCode::NoRoute, {}, Host + std::string(R.path())});
    return;
  }
  auto Caller =
      attempt([&] { return identifyCaller(R, Names, *Config, *Matched); });
  if (!Caller) {
    refuseUnknownKey(E, Caller.error());
    return;
  }
  ForwardRequest Request;
  Request.Config = Config;
  Request.Matched = Matched;
  Request.Caller = *Caller;
  Request.Arrived = R.Arrived;
  Request.CallerWaits = readDeadline(headerValue(R.Headers, Names.Deadline))
                            .value_or(Matched->Timeout);
  std::string Id(headerValue(R.Headers, Names.RequestId));
  RequestAttempt Name = nameRequest(R, Names, Host, Matched->Name,
                                    std::move(Id), *Config, *Caller);
  auto J = std::make_shared<Job>(E, std::move(Request), std::move(Name));
  J->Head = forwardedHead(R, Names, *Config, *Caller);
  Jobs.insert(J);
  ++Unanswered;
  ++Handled;
  E->whenGone([this, Weak = std::weak_ptr(J)] {
    JobPtr J = Weak.lock();
    if (J && !J->Run.answered())
      step(J, [&] { callerGone(J); });
  });
  step(J, [&] {
    if (J->Run.acceptedByStop(Shared, Timers.now()))
      acquireToken(J);
    else
      reject(J, stopRefusal());
  });
}

void RequestHandler::Impl::callerGone(const JobPtr &J) {
  countAnswered(J);
  Meter.count("shallot_forward_gone_total");
  cancelQuotaWait(J);
  releaseTicket(J);
  apply(J, J->Run.callerGone(Timers.now()));
  reportCrashes(J);
  returnUnusedTrial(J);
}

void RequestHandler::Impl::countAnswered(const JobPtr &J) {
  if (std::exchange(J->Unanswered, false))
    --Unanswered;
}

/// A step of \p J has failed halfway, so nothing that it says of itself counts
/// any more: not whether it has run, for example.
void RequestHandler::Impl::abandon(const JobPtr &J) {
  Timers.cancel(J->Timer);
  cancelQuotaWait(J);
  if (TicketId Ticket = std::exchange(J->Ticket, 0)) {
    Waiting.erase(Ticket);
    Admission.cancel(Ticket);
  }
  J->Run.abandon(Timers.now());
  for (UpstreamPool::CallId &Call : J->Calls)
    Pool.drop(std::exchange(Call, 0));
  countAnswered(J);
  J->E->reply(
      writeOwnAnswer({ResultCode::Internal, {}, "see its log"}, J->Name.Id));
  Jobs.erase(J);
}

void RequestHandler::Impl::apply(const JobPtr &J, RunOutput Out) {
  for (unsigned Send : Out.Drop)
    Pool.drop(std::exchange(J->Calls[Send], 0));
  for (const StartSend &S : Out.Start)
    send(J, S);
  if (Out.Answer)
    answer(J, std::move(*Out.Answer));
  else if (J->Run.freesAdmission())
    releaseTicket(J);
  schedule(J);
}

void RequestHandler::Impl::send(const JobPtr &J, const StartSend &S) {
  const CallerRequest &R = J->E->request();
  UpstreamRequest U;
  U.To = S.To->entry().At;
  U.OpenedFrom = S.To->connectionsValidFrom();
  HttpHeaders Extra = {{Names.Deadline, std::to_string(toMillis(S.TimeLeft))},
                       {Names.TargetReplica, S.To->entry().Id.str()}};
  U.Bytes = requestText(J->Head, Extra, R.Body);
  U.ToHead = R.Method == "HEAD";
  U.EchoName = Names.RequestId;
  U.EchoValue = J->Name.Id;
  U.Repeated = S.Send > 0;
  bool Once = J->Run.request().Matched->Kind == RetrySemantics::AtMostOnce;
  bool Far = S.To->distance() == Distance::OtherRegion;
  U.MostKept =
      (Far ? FarIdle : NearIdle).Max + S.To->allowance().extra(Timers.now());
  U.LeastKept = (Far ? FarIdle : NearIdle).Min;
  U.MostIdle = Once ? MaxIdleForAtMostOnce : MaxIdle;
  auto Done = [this, J, Send = S.Send, To = S.To](UpstreamReply Reply) {
    J->Calls[Send] = 0;
    step(J, [&] { sendEnded(J, Send, To->entry(), std::move(Reply)); });
  };
  if (J->Calls.size() <= S.Send)
    J->Calls.resize(S.Send + 1, 0);
  J->Calls[S.Send] = Pool.send(std::move(U), std::move(Done));
}

/// Until a run of the request has succeeded, a broken connection may mean that
/// the request crashed its replica. This is checked before the run continues,
/// because it would send the request to the next replica.
void RequestHandler::Impl::sendEnded(const JobPtr &J, unsigned Send,
                                     const ReplicaEntry &To,
                                     UpstreamReply Reply) {
  bool MayBeCrash =
      Reply.How == CallEnd::Lost && Reply.ClosedByPeer && !J->Run.succeeded();
  bool KeepHeaders = J->Run.request().Matched->fanOut() == nullptr;
  SendResult Result = readReply(Names, std::move(Reply), KeepHeaders);
  if (!MayBeCrash)
    return replied(J, Send, std::move(Result));
  Crashes.ask(To.At, [this, J, Send, Result, To](bool Crashed) {
    step(J, [&] {
      if (Crashed)
        Gate.crashed(J->Name,
                     {processName(To.Id, To.StartedUnixMs), To.Service});
      SendResult Known = Result;
      Known.ReplicaCrashed = Crashed;
      replied(J, Send, std::move(Known));
    });
  });
}

void RequestHandler::Impl::replied(const JobPtr &J, unsigned Send,
                                   SendResult Result) {
  bool Late = J->Run.answered() && Result.ReplicaCrashed;
  apply(J, J->Run.replied(Shared, Send, std::move(Result), Timers.now()));
  if (J->Run.succeeded() && !std::exchange(J->SuccessReported, true))
    Gate.succeeded(J->Name);
  if (Late)
    reportCrashes(J);
}

/// Crashes caused by an attempt that never succeeded are reported to the other
/// daemons, even if the caller did not wait for the end.
void RequestHandler::Impl::reportCrashes(const JobPtr &J) {
  if (J->Run.succeeded() || J->Run.stats().Crashed == 0)
    return;
  bool First = !std::exchange(J->CrashesReported, true);
  Gate.attemptFailed(J->Name, J->Trial, First);
}

/// Trials are scarce. A trial that reached no replica, because all were down or
/// others came first, proves nothing and is returned.
void RequestHandler::Impl::returnUnusedTrial(const JobPtr &J) {
  if (J->Trial && !J->Run.reachedReplicas())
    Gate.trialUnused(J->Name);
}

void RequestHandler::Impl::answer(const JobPtr &J, ForwardAnswer A) {
  countAnswered(J);
  releaseTicket(J);
  reportCrashes(J);
  returnUnusedTrial(J);
  recordAnswer(Meter, J->Name, J->Run, A, Timers.now());
  J->E->reply(writeAnswer(std::move(A), Names, J->Name.Id));
}

void RequestHandler::Impl::schedule(const JobPtr &J) {
  if (J->Run.done()) {
    Timers.cancel(J->Timer);
    J->TimerAt = Instant::max();
    Jobs.erase(J);
    return;
  }
  Instant Next = J->Run.nextTick();
  // A timer that fires too early does nothing and is set again; this is cheaper
  // than moving it at each reply.
  if (J->Timer != 0 && J->TimerAt <= Next)
    return;
  Timers.cancel(J->Timer);
  J->TimerAt = Next;
  J->Timer = Timers.at(Next, [this, Weak = std::weak_ptr(J)] {
    JobPtr J = Weak.lock();
    if (!J)
      return;
    J->Timer = 0;
    step(J, [&] { apply(J, J->Run.tick(Shared, Timers.now())); });
  });
}

void RequestHandler::Impl::stop(const StopPlan &Plan) {
  Shared.Stop = Plan;
  std::vector<JobPtr> Now(Jobs.begin(), Jobs.end());
  for (const JobPtr &J : Now) {
    J->Run.answerBy(Plan.times().End);
    if (J->Run.begun())
      schedule(J);
  }
  Timers.at(Plan.times().End, [this] { rejectAllWaiting(); });
}

/// Rejects \p J if it waits for a token, a trial or admission.
void RequestHandler::Impl::rejectWaiting(const JobPtr &J, LocalAnswer A) {
  if (!J->Run.waits())
    return;
  cancelQuotaWait(J);
  Timers.cancel(J->Timer);
  reject(J, std::move(A));
}

void RequestHandler::Impl::rejectAllWaiting() {
  std::vector<JobPtr> Now(Jobs.begin(), Jobs.end());
  for (const JobPtr &J : Now)
    rejectWaiting(J, stopRefusal());
}

/// A request that was sent keeps the configuration that it began with, and so
/// does one in the queue of admission, which keeps the queues of earlier ones.
/// One that waits for a token or a trial would be offered to the new one, which
/// may lack its route or know another one of that name, so it goes on only if
/// its route is unchanged.
void RequestHandler::Impl::rejectChanged() {
  std::vector<JobPtr> Now(Jobs.begin(), Jobs.end());
  for (const JobPtr &J : Now) {
    if (!J->Run.waits() || J->Ticket != 0)
      continue;
    const ForwardRequest &R = J->Run.request();
    if (!Config->keeps(*R.Matched, R.Caller))
      rejectWaiting(J, routeChangedRefusal());
  }
}

void RequestHandler::Impl::probeUnavailableReplicas() {
  for (const ReplicaPtr &R : Shared.Replicas.dueProbes(Timers.now()))
    Pool.tryConnect(R->entry().At, [this, R](ConnectEnd How) {
      bool Worked = How == ConnectEnd::Opened;
      logEvent(LogLevel::Info, "replica_tried",
               {{"replica", R->entry().Id.str()},
                {"service", R->entry().Service.str()},
                {"works", Worked ? "yes" : "no"}});
      R->probeEnded(Worked, Timers.now());
    });
}

RequestHandler::RequestHandler(EventLoop &Loop, TimerQueue &Timers,
                               HeaderNames Names, ReplicaRegistry &Replicas,
                               ForwardRules Rules, Random &Rng, Metrics &Meter,
                               UpstreamPoolOptions Connections)
    : I(std::make_unique<Impl>(Loop, Timers, std::move(Names), Replicas, Rules,
                               Rng, Meter, Connections)) {}

RequestHandler::~RequestHandler() = default;

/// A request keeps the configuration that it began with, up to its deadline,
/// but regions that are no longer allowed are dropped immediately.
void RequestHandler::Impl::restrictActiveRequests() {
  for (const JobPtr &J : Jobs) {
    const CallerRequest &R = J->E->request();
    std::string Host = hostOf(headerValue(R.Headers, "Host"));
    if (const Route *Now = Config->match(Host, R.path()))
      J->Run.restrictRegions(Now->Regions);
    const Organisation *Caller = J->Run.request().Caller;
    if (const auto *Now =
            Caller ? Config->callers().find(Caller->Name) : Caller)
      J->Run.restrictRegions(Now->Regions);
  }
}

void RequestHandler::limitBy(QuotaLink &Quotas) { I->Quotas = &Quotas; }

void RequestHandler::install(std::shared_ptr<const ServingConfig> Config) {
  I->Config = std::move(Config);
  I->restrictActiveRequests();
  I->rejectChanged();
  I->Admission.install(*I->Config);
  I->pollAdmission();
  // Drops the budgets of services that the configuration no longer lists.
  std::erase_if(I->Budgets, [&](const auto &Item) {
    return !I->Config->services().contains(Item.first);
  });
}

const std::shared_ptr<const ServingConfig> &RequestHandler::config() const {
  return I->Config;
}

void RequestHandler::handle(const ExchangePtr &E) {
  std::string Id(headerValue(E->request().Headers, I->Names.RequestId));
  if (!contain("request", Id, [&] { I->handle(E); }))
    E->reply(writeOwnAnswer({ResultCode::Internal, {}, "see its log"}, Id));
}

void RequestHandler::stop(const StopPlan &Plan) { I->stop(Plan); }

void RequestHandler::tick() {
  I->probeUnavailableReplicas();
  I->Shared.Replicas.expire(I->Timers.now());
  I->Pool.trimIdle(I->Timers.now() - IdleFor);
  I->reportOrganisations();
}

void RequestHandler::writeGauges() { I->writeGauges(); }

void RequestHandler::closeIdleConnections() { I->Pool.closeIdle(); }

std::size_t RequestHandler::inFlight() const { return I->Unanswered; }

std::uint64_t RequestHandler::handled() const { return I->Handled; }

std::size_t RequestHandler::bufferedBytes() const {
  return I->Pool.bufferedBytes();
}

std::size_t RequestHandler::keptBytes() const {
  std::size_t Sum = 0;
  for (const Impl::JobPtr &J : I->Jobs)
    Sum += J->Run.keptBytes();
  return Sum;
}

const UpstreamPoolCounters &RequestHandler::connectionCounters() const {
  return I->Pool.counters();
}

QuarantineGate &RequestHandler::quarantine() { return I->Gate; }

} // namespace shallot
