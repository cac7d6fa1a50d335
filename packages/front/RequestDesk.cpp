//===- RequestDesk.cpp ----------------------------------------------------===//
#include "front/RequestDesk.h"

#include "front/AnswerWriting.h"
#include "front/ReplyReading.h"
#include "front/RequestReading.h"

namespace shallot {

namespace {

/// A caller without a configuration to serve it comes back after this.
constexpr Duration NotReadyRetry = Millis(300);
/// A request that may run only once is not sent on a connection that was quiet
/// for longer: the replica may be closing it at that moment, and whether it ran
/// would be unknown.
constexpr Duration MostIdleForOnce = Millis(1500);
constexpr Duration MostIdle = Seconds(60);
/// Idle connections that are kept to one replica, near and far: enough for a
/// burst, and after IdleFor only those that carry the usual load. With at most
/// 3 and 1 a burst pays 6 ms handshakes, with 30 a restarted fleet finds no
/// room at the replicas: worth under overload 0.55 and 0.64, after a power loss
/// 0.62 and 0.54; so, 0.61 and 0.64 (the deployment of six hosts, days of 34
/// s).
struct IdleBounds {
  std::size_t Most;
  std::size_t Least;
};
constexpr IdleBounds NearIdle{8, 2};
constexpr IdleBounds FarIdle{3, 1};
constexpr Duration IdleFor = Millis(400);
/// The store grants a trial in milliseconds. While it is slow a caller does
/// better to come back than to wait for it.
constexpr Duration MostTrialWait = Millis(250);

OwnAnswer overloadAnswer(const Verdict &V) {
  return {V.Code, V.RetryAfter, "more than the replicas can take"};
}

} // namespace

struct RequestDesk::Impl {
  /// One request on its way.
  struct Job {
    Job(ExchangePtr E, ForwardAsk Ask, NamedRequest Name)
        : E(std::move(E)), Run(std::move(Ask)), Name(std::move(Name)) {}

    ExchangePtr E;
    ForwardRun Run;
    NamedRequest Name;
    bool Trial = false;   ///< A trial was granted for it.
    bool Cleared = false; ///< That a run ended well was noted.
    std::string Head;     ///< Method, target and headers for every send.
    std::vector<UpstreamPool::CallId> Calls; ///< By send; 0: it has ended.
    TimerQueue::Key Timer = 0;
    Instant TimerAt = Instant::max();
    TicketId Ticket = 0; ///< At the admission; 0: it takes no place there.
  };
  using JobPtr = std::shared_ptr<Job>;

  Impl(EventLoop &Loop, TimerQueue &Timers, HeaderNames Names,
       ReplicaBook &Book, ForwardRules Rules, Random &Rng, Metrics &Meter)
      : Timers(Timers), Names(std::move(Names)),
        Pool(Loop, Timers, {}), Shared{Book, Budgets, Work, Rng, Rules},
        Meter(Meter), Gate(Loop, Pool, Timers, Meter) {}
  ~Impl() { Timers.cancel(AdmissionTimer); }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void handle(const ExchangePtr &E);
  void refuse(const ExchangePtr &E, const OwnAnswer &A);
  void vet(const JobPtr &J);
  void askTrial(const JobPtr &J);
  void admit(const JobPtr &J);
  void start(const JobPtr &J);
  void turnAway(const JobPtr &J, OwnAnswer A);
  void leave(const JobPtr &J);
  void pollAdmission();
  void apply(const JobPtr &J, RunOutput Out);
  void send(const JobPtr &J, const StartSend &S);
  void sendEnded(const JobPtr &J, unsigned Send, const ReplicaEntry &To,
                 UpstreamReply Reply);
  void replied(const JobPtr &J, unsigned Send, SendResult Result);
  void noteFailure(const JobPtr &J);
  void answer(const JobPtr &J, ForwardAnswer A);
  void schedule(const JobPtr &J);
  void tryResting();

  TimerQueue &Timers;
  HeaderNames Names;
  UpstreamPool Pool;
  BudgetMap Budgets;
  WorkBook Work;
  ForwardShared Shared;
  Metrics &Meter;
  QuarantineGate Gate;
  std::shared_ptr<const ServingConfig> Config;
  RouteAdmission Admit;
  TicketId LastTicket = 0;
  std::unordered_map<TicketId, JobPtr> Waiting; ///< For their turn.
  TimerQueue::Key AdmissionTimer = 0;
  std::unordered_set<JobPtr> Jobs;
  std::size_t Unanswered = 0;
  std::uint64_t Handled = 0;
};

void RequestDesk::Impl::refuse(const ExchangePtr &E, const OwnAnswer &A) {
  std::string Id(headerValue(E->request().Headers, Names.RequestId));
  logEvent(LogLevel::Info, "request_refused",
           {{"id", Id},
            {"code", codeLabel(A.Code)},
            {"why", A.Why},
            {"config", Config ? std::to_string(Config->version()) : "none"}});
  Meter.count("shallot_forward_refused_total", {{"code", codeLabel(A.Code)}});
  E->reply(writeOwnAnswer(A, std::move(Id)));
}

void RequestDesk::Impl::handle(const ExchangePtr &E) {
  const CallerRequest &R = E->request();
  if (!Config) {
    refuse(E, {ResultCode::NotReady, NotReadyRetry,
               "this daemon has no configuration yet"});
    return;
  }
  std::string Host = hostOf(headerValue(R.Headers, "Host"));
  const Route *Way = Config->match(Host, R.path());
  if (!Way) {
    refuse(E, {ResultCode::NoRoute, {}, Host + std::string(R.path())});
    return;
  }
  ForwardAsk Ask;
  Ask.Config = Config;
  Ask.Way = Way;
  Ask.Arrived = R.Arrived;
  Ask.CallerWaits = readDeadline(headerValue(R.Headers, Names.Deadline))
                        .value_or(Way->Timeout);
  std::string Id(headerValue(R.Headers, Names.RequestId));
  auto J = std::make_shared<Job>(
      E, std::move(Ask), nameRequest(R, Host, Way->Name, std::move(Id)));
  J->Head = forwardedHead(R, Names);
  Jobs.insert(J);
  ++Unanswered;
  ++Handled;
  E->whenGone([this, Weak = std::weak_ptr(J)] {
    JobPtr J = Weak.lock();
    if (!J || J->Run.answered())
      return;
    --Unanswered;
    Meter.count("shallot_forward_gone_total");
    leave(J);
    apply(J, J->Run.callerGone(Timers.now()));
    noteFailure(J);
  });
  vet(J);
}

/// A request under which replicas crashed is refused at once, or waits for the
/// grant of a trial; it takes no place among those that wait for replicas.
void RequestDesk::Impl::vet(const JobPtr &J) {
  switch (Gate.standing(J->Name)) {
  case Standing::Clear:
  case Standing::Suspect:
    admit(J);
    return;
  case Standing::OnTrial:
    askTrial(J);
    return;
  case Standing::Quarantined:
    turnAway(J, quarantinedAnswer());
    return;
  }
}

void RequestDesk::Impl::askTrial(const JobPtr &J) {
  auto Told = [this, Weak = std::weak_ptr(J)](bool Granted) {
    JobPtr J = Weak.lock();
    if (!J || J->Run.answered())
      return; // Its caller has gone, or was told to come back.
    Timers.cancel(J->Timer);
    J->Timer = 0;
    J->Trial = Granted;
    if (Granted)
      return admit(J);
    // Others may have cleared or proven it meanwhile.
    if (Gate.standing(J->Name) != Standing::OnTrial)
      return vet(J);
    turnAway(J, noTrialAnswer());
  };
  J->Timer = Timers.after(MostTrialWait, [Told] { Told(false); });
  Gate.requestTrial(J->Name, Told);
}

/// Starts it, lets it wait for its turn, or turns it away at once.
void RequestDesk::Impl::admit(const JobPtr &J) {
  const ForwardAsk &Ask = J->Run.ask();
  J->Ticket = ++LastTicket;
  Verdict V = Admit.offer(*Ask.Way, J->Ticket, Ask.Arrived + Ask.CallerWaits,
                          Timers.now());
  switch (V.What) {
  case Turn::Start:
    start(J);
    return;
  case Turn::Wait:
    Waiting.emplace(J->Ticket, J);
    pollAdmission();
    return;
  case Turn::Refuse:
    J->Ticket = 0; // It has no place there.
    turnAway(J, overloadAnswer(V));
    return;
  }
}

/// Other attempts may have crashed replicas while this one waited.
void RequestDesk::Impl::start(const JobPtr &J) {
  Standing Now = J->Trial ? Standing::OnTrial : Gate.standing(J->Name);
  if (Now == Standing::Quarantined)
    return turnAway(J, quarantinedAnswer());
  if (Now == Standing::OnTrial && !J->Trial)
    return turnAway(J, noTrialAnswer());
  if (Now != Standing::Clear)
    J->Run.beCareful(J->Trial ? Caution::OneSend : Caution::OneAtATime,
                     Gate.crashesOf(J->Name));
  apply(J, J->Run.begin(Shared, Timers.now()));
}

/// Nothing of it was sent: it leaves as if its caller had gone, and the caller
/// is told when to come back, if it should.
void RequestDesk::Impl::turnAway(const JobPtr &J, OwnAnswer A) {
  if (TicketId Ticket = std::exchange(J->Ticket, 0))
    Admit.done(Ticket, {}, Timers.now());
  J->Run.callerGone(Timers.now());
  answer(J, std::move(A));
  Jobs.erase(J);
}

/// It no longer takes a place among those that run.
void RequestDesk::Impl::leave(const JobPtr &J) {
  TicketId Ticket = std::exchange(J->Ticket, 0);
  if (Ticket == 0)
    return;
  if (Waiting.erase(Ticket) > 0)
    Admit.cancel(Ticket);
  else
    Admit.done(Ticket, J->Run.load(Timers.now()), Timers.now());
  pollAdmission();
}

/// Starts and turns away those whose time has come.
void RequestDesk::Impl::pollAdmission() {
  for (const TurnEvent &E : Admit.poll(Timers.now())) {
    auto At = Waiting.find(E.Id);
    if (At == Waiting.end())
      continue;
    JobPtr J = At->second;
    Waiting.erase(At);
    if (E.Final.What == Turn::Start) {
      start(J);
      continue;
    }
    J->Ticket = 0;
    turnAway(J, overloadAnswer(E.Final));
  }
  Shared.Pressed = !Waiting.empty();
  Timers.cancel(AdmissionTimer);
  AdmissionTimer = 0;
  if (auto Next = Admit.nextExpiry())
    AdmissionTimer = Timers.at(*Next, [this] {
      AdmissionTimer = 0;
      pollAdmission();
    });
}

void RequestDesk::Impl::apply(const JobPtr &J, RunOutput Out) {
  for (unsigned Send : Out.Drop)
    Pool.drop(std::exchange(J->Calls[Send], 0));
  for (const StartSend &S : Out.Start)
    send(J, S);
  if (Out.Answer)
    answer(J, std::move(*Out.Answer));
  else if (J->Run.makesRoom())
    leave(J);
  schedule(J);
}

void RequestDesk::Impl::send(const JobPtr &J, const StartSend &S) {
  const CallerRequest &R = J->E->request();
  UpstreamRequest U;
  U.To = S.To->entry().At;
  U.OpenedFrom = S.To->connectionsFrom();
  HttpHeaders Extra = {{Names.Deadline, std::to_string(toMillis(S.TimeLeft))},
                       {Names.Wanted, S.To->entry().Id.str()}};
  U.Bytes = requestText(J->Head, Extra, R.Body);
  U.ToHead = R.Method == "HEAD";
  U.EchoName = Names.RequestId;
  U.EchoValue = J->Name.Id;
  bool Once = J->Run.ask().Way->Kind == Repetition::AtMostOnce;
  bool Far = S.To->distance() == Distance::OtherRegion;
  U.MostKept =
      (Far ? FarIdle : NearIdle).Most + S.To->allowance().extra(Timers.now());
  U.LeastKept = (Far ? FarIdle : NearIdle).Least;
  U.MostIdle = Once ? MostIdleForOnce : MostIdle;
  auto Done = [this, J, Send = S.Send, To = S.To](UpstreamReply Reply) {
    J->Calls[Send] = 0;
    sendEnded(J, Send, To->entry(), std::move(Reply));
  };
  if (J->Calls.size() <= S.Send)
    J->Calls.resize(S.Send + 1, 0);
  J->Calls[S.Send] = Pool.send(std::move(U), std::move(Done));
}

/// Before a run of the request has ended well, a broken connection may mean
/// that the request crashed its replica. That is found out before the run goes
/// on: it would send the request to the next one.
void RequestDesk::Impl::sendEnded(const JobPtr &J, unsigned Send,
                                  const ReplicaEntry &To, UpstreamReply Reply) {
  bool MayBeCrash =
      Reply.How == CallEnd::Lost && Reply.ClosedByPeer && !J->Run.succeeded();
  bool KeepHeaders = J->Run.ask().Way->fanOut() == nullptr;
  SendResult Result = readReply(Names, std::move(Reply), KeepHeaders);
  if (!MayBeCrash)
    return replied(J, Send, std::move(Result));
  Gate.sendLost(J->Name, To, [this, J, Send, Result](bool Crashed) {
    SendResult Known = Result;
    Known.ReplicaCrashed = Crashed;
    replied(J, Send, std::move(Known));
  });
}

void RequestDesk::Impl::replied(const JobPtr &J, unsigned Send,
                                SendResult Result) {
  bool Late = J->Run.answered() && Result.ReplicaCrashed;
  apply(J, J->Run.replied(Shared, Send, std::move(Result), Timers.now()));
  if (J->Run.succeeded() && !std::exchange(J->Cleared, true))
    Gate.succeeded(J->Name);
  if (Late)
    noteFailure(J);
}

/// What crashed under an attempt without success is for the other daemons to
/// know, also when the caller did not wait for its end.
void RequestDesk::Impl::noteFailure(const JobPtr &J) {
  if (!J->Run.succeeded())
    Gate.attemptFailed(J->Name, J->Run.story(), J->Trial);
}

void RequestDesk::Impl::answer(const JobPtr &J, ForwardAnswer A) {
  --Unanswered;
  leave(J);
  noteFailure(J);
  noteAnswer(Meter, J->Name, J->Run, A, Timers.now());
  J->E->reply(writeAnswer(std::move(A), Names, J->Name.Id));
}

void RequestDesk::Impl::schedule(const JobPtr &J) {
  if (J->Run.done()) {
    Timers.cancel(J->Timer);
    J->TimerAt = Instant::max();
    Jobs.erase(J);
    return;
  }
  Instant Next = J->Run.nextTick();
  // One that is set too early finds nothing to do and is set again; that is
  // cheaper than moving it at each reply.
  if (J->Timer != 0 && J->TimerAt <= Next)
    return;
  Timers.cancel(J->Timer);
  J->TimerAt = Next;
  J->Timer = Timers.at(Next, [this, Weak = std::weak_ptr(J)] {
    JobPtr J = Weak.lock();
    if (!J)
      return;
    J->Timer = 0;
    apply(J, J->Run.tick(Shared, Timers.now()));
  });
}

void RequestDesk::Impl::tryResting() {
  for (const ReplicaPtr &R : Shared.Book.dueTrials(Timers.now()))
    Pool.tryConnect(R->entry().At, [this, R](ConnectEnd How) {
      bool Worked = How == ConnectEnd::Opened;
      logEvent(LogLevel::Info, "replica_tried",
               {{"replica", R->entry().Id.str()},
                {"service", R->entry().Service.str()},
                {"works", Worked ? "yes" : "no"}});
      R->trialEnded(Worked, Timers.now());
    });
}

RequestDesk::RequestDesk(EventLoop &Loop, TimerQueue &Timers, HeaderNames Names,
                         ReplicaBook &Book, ForwardRules Rules, Random &Rng,
                         Metrics &Meter)
    : I(std::make_unique<Impl>(Loop, Timers, std::move(Names), Book, Rules, Rng,
                               Meter)) {}

RequestDesk::~RequestDesk() = default;

void RequestDesk::install(std::shared_ptr<const ServingConfig> Config) {
  I->Config = std::move(Config);
  I->Admit.install(*I->Config);
  I->pollAdmission();
  // Services that no route names any more have no budget to keep.
  std::erase_if(I->Budgets, [&](const auto &Item) {
    return !I->Config->services().contains(Item.first);
  });
}

const std::shared_ptr<const ServingConfig> &RequestDesk::config() const {
  return I->Config;
}

void RequestDesk::handle(const ExchangePtr &E) { I->handle(E); }

void RequestDesk::tick() {
  I->tryResting();
  I->Shared.Book.expire(I->Timers.now());
  I->Pool.trimIdle(I->Timers.now() - IdleFor);
}

void RequestDesk::closeIdleConnections() { I->Pool.closeIdle(); }

std::size_t RequestDesk::inFlight() const { return I->Unanswered; }

std::uint64_t RequestDesk::handled() const { return I->Handled; }

const UpstreamPoolCounters &RequestDesk::connectionCounters() const {
  return I->Pool.counters();
}

QuarantineGate &RequestDesk::quarantine() { return I->Gate; }

} // namespace shallot
