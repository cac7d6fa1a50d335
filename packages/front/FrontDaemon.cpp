//===- FrontDaemon.cpp ----------------------------------------------------===//
#include "front/FrontDaemon.h"

#include "front/EntryAddresses.h"
#include "shallotshift/limits.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace shallot {

namespace {

/// Resting replicas are tried and time is watched this often.
constexpr Duration HousekeepingPeriod = Millis(100);
/// A stop closes the listening socket this long before the kill, so that the
/// last requests are answered.
constexpr Duration LastCalls = Millis(900);
/// The process ends this long before the kill at the latest.
constexpr Duration EndMargin = Millis(150);
/// Between the last connection that is accepted and the end: what was read by
/// then is answered. Connections that stay idle are not waited for any longer.
constexpr Duration LastAnswers = Millis(100);
constexpr Duration LastAnswersPeriod = Millis(5);
/// Callers that still have this daemon's address are waited for at least this
/// long after the signal: it covers the validity that most of them keep to.
constexpr Duration LeastLeaving = Seconds(3);
/// How long callers may keep an answer of the directory. Short, because a
/// caller that keeps the address of a dead daemon fails; each answer costs
/// some 100 us of processor time.
constexpr Duration EntryValidity = Seconds(2);
/// The process did not run for longer than this while time went on: its
/// connections may be forgotten by everyone between.
constexpr Duration SuspendGap = Millis(1000);
/// How often the load is measured: a few queries of a host with little to do.
constexpr Duration LoadPeriod = Seconds(1);
/// A daemon that got fewer requests carries no callers: some send a few to
/// every daemon, to see which configuration it has.
constexpr std::uint64_t LeastHandled = 20;

/// From its start until a daemon knows its fleet: 295 hosts that start together
/// know each other after this.
constexpr Duration FleetKnownAfter = Seconds(3);

Duration clockGap(clockid_t Clock) {
  timespec T{};
  clock_gettime(Clock, &T);
  return Seconds(T.tv_sec) + Duration(T.tv_nsec);
}

/// Time that the steady clock did not count, because the machine was suspended.
Duration suspendedTime() {
  return clockGap(CLOCK_BOOTTIME) - clockGap(CLOCK_MONOTONIC);
}

CallerServerOptions callerOptions(const CallerLimits &L) {
  CallerServerOptions O;
  O.MaxHeaderBytes = L.MaxHeaderBytes;
  O.MaxBodyBytes = L.MaxBodyBytes;
  O.HeaderTimeout = L.HeaderTimeout;
  O.IdleTimeout = L.IdleTimeout;
  return O;
}

} // namespace

struct FrontDaemon::Impl {
  Impl(EventLoop &Loop, const FrontSettings &Set, FrontAdapter Adapter,
       std::uint64_t Seed)
      : Loop(Loop), Set(Set), Adapter(std::move(Adapter)), Rng(Seed),
        Timers(Loop), Replicas(Set.Here, bookOptions(Set)),
        Requests(Loop, Timers, this->Adapter.Headers, Replicas, {Set.Retries},
                 Rng, Meter),
        Suspended(suspendedTime()), Started(Loop.now()),
        RetryPart(retrySpan(Set), 1), Load(capacityOf(Set)), LoadAt(Started) {}

  static ReplicaRegistryOptions bookOptions(const FrontSettings &Set);
  /// Over this time a share of the retry allowance is looked back.
  static Duration retrySpan(const FrontSettings &Set) {
    return Set.Retries.Window + ViewSpread;
  }
  Result<void> open();
  Result<void> openHttp();
  void directory(const ServerRequest &R, const Responder &A);
  void readiness(const ServerRequest &R, const Responder &A);
  void scrape(const Responder &A);
  void housekeeping();
  void measureLoad();
  void share(Instant Now);
  void shareWarmup(Instant Now);
  void fleetChanged();
  void becomeReady();
  bool ready() const;
  void leave();
  void lastCalls();
  void closeDoors();
  void lastAnswers(Instant Until);
  void end();

  EventLoop &Loop;
  FrontSettings Set;
  FrontAdapter Adapter;
  Random Rng;
  TimerQueue Timers;
  Metrics Meter;
  ReplicaRegistry Replicas;
  RequestHandler Requests;
  std::unique_ptr<FleetLink> Fleet;
  std::unique_ptr<CallerServer> Callers;
  std::unique_ptr<HttpServer> Directory;
  std::unique_ptr<HttpServer> Readiness;
  std::unique_ptr<HttpServer> Scrapes;
  std::unique_ptr<HttpServer> Peers;
  HttpServer::Handler OnPeer;
  std::function<void()> OnFleet;
  bool Listed = false;
  bool Leaving = false;
  Instant LeavingSince;
  std::function<void()> Gone;
  Duration Suspended;
  Instant Started;
  Sharing Shared; ///< By the fleet as it is now.
  GrantedShare RetryPart;
  LoadLevel Load;
  Instant LoadAt;
  Duration BusyBefore{};
};

ReplicaRegistryOptions
FrontDaemon::Impl::bookOptions(const FrontSettings &Set) {
  ReplicaRegistryOptions O;
  // A vanished replica may have been leaving since a little before we saw it.
  O.LapseHold = std::min(O.LapseHold, Set.DrainDuration / 2);
  O.AwaitEvacuations = Set.Evacuation.has_value();
  O.Warmup = Set.Warmup;
  return O;
}

Result<void> FrontDaemon::Impl::openHttp() {
  auto Serve = [&](const Endpoint &At, HttpServer::Handler Fn) {
    return HttpServer::open(Loop, At, {}, std::move(Fn));
  };
  BOOST_LEAF_ASSIGN(
      Readiness,
      Serve(Set.Readiness, [this](const ServerRequest &R, const Responder &A) {
        readiness(R, A);
      }));
  BOOST_LEAF_ASSIGN(
      Directory,
      Serve(Set.Directory, [this](const ServerRequest &R, const Responder &A) {
        directory(R, A);
      }));
  BOOST_LEAF_ASSIGN(
      Scrapes, Serve(Set.Metrics, [this](const ServerRequest &,
                                         const Responder &A) { scrape(A); }));
  BOOST_LEAF_ASSIGN(Peers, Serve(Set.Peers, [this](const ServerRequest &R,
                                                   const Responder &A) {
                      if (OnPeer)
                        OnPeer(R, A);
                      else
                        A.reply(problemReply(ResultCode::NotReady, "starting"));
                    }));
  return {};
}

Result<void> FrontDaemon::Impl::open() {
  BOOST_LEAF_ASSIGN(
      Fleet, FleetLink::open(Loop, Set, Rng, [this] { fleetChanged(); }));
  BOOST_LEAF_ASSIGN(
      Callers,
      CallerServer::open(Loop, Timers, Set.Callers, callerOptions({}),
                         [this](const ExchangePtr &E) { Requests.handle(E); }));
  BOOST_LEAF_CHECK(openHttp());
  Fleet->start();
  housekeeping();
  return {};
}

/// Of the retry allowance this daemon uses the least part that it was granted
/// over a window: others may have used up what it has gained. It has forgotten
/// what it used itself before it started, and counts then on no more than
/// everybody could have.
void FrontDaemon::Impl::share(Instant Now) {
  Sharing Usable = Shared;
  Usable.RetryPart = RetryPart.usable(Now);
  if (Now - Started < retrySpan(Set))
    Usable.RetryPart = std::min(Usable.RetryPart, Fleet->equalRetryPart());
  Replicas.setSharing(Usable);
}

/// A daemon that has just started may not know yet who else sends.
void FrontDaemon::Impl::shareWarmup(Instant Now) {
  if (Now - Started >= FleetKnownAfter)
    Replicas.setWarmupSenders(Fleet->warmupSenders());
}

void FrontDaemon::Impl::fleetChanged() {
  if (!Fleet)
    return;
  Shared = Fleet->sharing();
  RetryPart.grant(Shared.RetryPart, Loop.now());
  share(Loop.now());
  shareWarmup(Loop.now());
  if (OnFleet)
    OnFleet();
}

bool FrontDaemon::Impl::ready() const {
  return Requests.config() && Listed && Replicas.zonesKnown() && !Leaving;
}

void FrontDaemon::Impl::becomeReady() {
  if (!ready() || Fleet->view().Members.empty())
    return;
  Fleet->setState(MemberState::Alive);
  logEvent(LogLevel::Info, "ready",
           {{"config", std::to_string(Requests.config()->version())},
            {"replicas", std::to_string(Replicas.size())}});
}

void FrontDaemon::Impl::readiness(const ServerRequest &R, const Responder &A) {
  ServerReply Reply;
  if (R.Path != Adapter.ReadyPath)
    Reply = problemReply(ResultCode::UnknownPath, R.Path);
  else if (!ready())
    Reply = problemReply(Leaving ? ResultCode::Leaving : ResultCode::NotReady,
                         Leaving ? "stopping" : "waiting for the store");
  A.reply(std::move(Reply));
}

void FrontDaemon::Impl::directory(const ServerRequest &R, const Responder &A) {
  if (R.Path != Adapter.DirectoryPath) {
    A.reply(problemReply(ResultCode::UnknownPath, R.Path));
    return;
  }
  EntryQuery Q = Adapter.ReadQuestion(R.Query);
  AllowedRegions Regions = Requests.config()
                               ? Requests.config()->regionsOf(Q.Host)
                               : AllowedRegions::anywhere();
  std::vector<Endpoint> Found =
      entryAddresses(Fleet->view(), Q.Caller, Regions);
  if (Found.empty()) {
    A.reply(problemReply(ResultCode::NotReady, "no daemon takes callers now"));
    return;
  }
  ServerReply Reply;
  Reply.Body =
      Adapter.WriteAddresses(Found, std::min(EntryValidity, Set.EntryValidity));
  A.reply(std::move(Reply));
}

void FrontDaemon::Impl::scrape(const Responder &A) {
  const UpstreamPoolCounters &C = Requests.connectionCounters();
  Meter.gauge("shallot_upstream_connections_opened", {}, double(C.Opened));
  Meter.gauge("shallot_upstream_connections_reused", {}, double(C.Reused));
  Meter.gauge("shallot_upstream_stray_bytes", {}, double(C.Stray));
  Meter.gauge("shallot_in_flight", {}, double(Requests.inFlight()));
  Meter.gauge("shallot_caller_connections", {}, double(Callers->connections()));
  Meter.gauge("shallot_replicas_known", {}, double(Replicas.size()));
  std::uint64_t Version = Requests.config() ? Requests.config()->version() : 0;
  Meter.gauge("shallot_config_version", {}, double(Version));
  Meter.gauge("shallot_members_seen", {}, double(Fleet->view().Members.size()));
  Meter.gauge("shallot_load_millicores", {}, double(Fleet->self().Load));
  Requests.quarantine().writeGauges(Meter);
  const GossipSocketStats &G = Fleet->traffic();
  Meter.gauge("shallot_membership_sent_bytes", {}, double(G.SentBytes));
  Meter.gauge("shallot_membership_received_bytes", {}, double(G.ReceivedBytes));
  Meter.gauge("shallot_membership_malformed", {}, double(G.Malformed));
  ServerReply Reply;
  Reply.ContentType = "text/plain; version=0.0.4";
  Reply.Body = Meter.text();
  A.reply(std::move(Reply));
}

void FrontDaemon::Impl::housekeeping() {
  Duration Now = suspendedTime();
  if (Now - Suspended > SuspendGap) {
    logEvent(LogLevel::Warn, "was_suspended",
             {{"ms", std::to_string(toMillis(Now - Suspended))}});
    Requests.closeIdleConnections();
  }
  Suspended = Now;
  Requests.tick();
  share(Loop.now());
  measureLoad();
  Timers.after(HousekeepingPeriod, [this] { housekeeping(); });
}

void FrontDaemon::Impl::measureLoad() {
  Instant Now = Loop.now();
  Duration Passed = Now - LoadAt;
  if (Passed < LoadPeriod)
    return;
  shareWarmup(Now);
  Duration Busy = Loop.busy() - std::exchange(BusyBefore, Loop.busy());
  LoadAt = Now;
  std::uint32_t Before = Fleet->self().Load;
  std::uint32_t Announced =
      Load.observe(toMillisF(Busy) / toMillisF(Passed),
                   Requests.handled() >= LeastHandled, Now);
  if (Announced == Before)
    return;
  logEvent(LogLevel::Info, "load_told",
           {{"millicores", std::to_string(Announced)},
            {"before", std::to_string(Before)},
            {"capacity", std::to_string(Fleet->self().Capacity)}});
  Fleet->setLoad(Announced);
}

void FrontDaemon::Impl::leave() {
  Leaving = true;
  LeavingSince = Loop.now();
  logEvent(LogLevel::Info, "leaving",
           {{"grace_ms", std::to_string(toMillis(Set.StopGrace))},
            {"connections", std::to_string(Callers->connections())}});
  Fleet->setState(MemberState::Leaving);
  Callers->closeAfterReply();
  lastCalls();
}

void FrontDaemon::Impl::lastCalls() {
  Duration Since = Loop.now() - LeavingSince;
  bool Late = Since >= Set.StopGrace - LastCalls;
  if (Late) {
    Callers->stopAccepting();
    Callers->closeIdle();
  }
  bool Alone = Callers->connections() == 0 && Requests.inFlight() == 0;
  bool WaitedEnough = Late || Since >= LeastLeaving;
  if ((Alone && WaitedEnough) ||
      Since >= Set.StopGrace - EndMargin - LastAnswers) {
    closeDoors();
    return;
  }
  Timers.after(Millis(50), [this] { lastCalls(); });
}

/// The failure: a process that ends as soon as no caller's request is left cuts
/// off who has just asked its directory, or has just connected. So no
/// connection is accepted from here on, and those that are open are answered
/// before the end.
void FrontDaemon::Impl::closeDoors() {
  Callers->stopAccepting();
  for (HttpServer *S : {Directory.get(), Readiness.get()}) {
    S->closeAfterReply();
    S->stopAccepting();
  }
  lastAnswers(Loop.now() + LastAnswers);
}

void FrontDaemon::Impl::lastAnswers(Instant Until) {
  bool Open = Callers->connections() > 0 || Requests.inFlight() > 0 ||
              Directory->openConnections() > 0 ||
              Readiness->openConnections() > 0;
  if (!Open || Loop.now() >= Until) {
    end();
    return;
  }
  Timers.after(LastAnswersPeriod, [this, Until] { lastAnswers(Until); });
}

void FrontDaemon::Impl::end() {
  logEvent(LogLevel::Info, "stopped",
           {{"unanswered", std::to_string(Requests.inFlight())}});
  Fleet->setState(MemberState::Left);
  Gone();
}

FrontDaemon::FrontDaemon(std::unique_ptr<Impl> I) : I(std::move(I)) {}
FrontDaemon::~FrontDaemon() = default;

Result<std::unique_ptr<FrontDaemon>> FrontDaemon::open(EventLoop &Loop,
                                                       const FrontSettings &Set,
                                                       FrontAdapter Adapter,
                                                       std::uint64_t Seed) {
  std::unique_ptr<FrontDaemon> D(new FrontDaemon(
      std::make_unique<Impl>(Loop, Set, std::move(Adapter), Seed)));
  BOOST_LEAF_CHECK(D->I->open());
  logEvent(LogLevel::Info, "started",
           {{"callers", Set.Callers.str()}, {"zone", Set.Here.Zone.str()}});
  return D;
}

void FrontDaemon::install(ServingConfig Config) {
  const auto &Before = I->Requests.config();
  if (Before && Config.version() <= Before->version()) {
    if (Config.version() < Before->version())
      logEvent(LogLevel::Warn, "config_ignored",
               {{"version", std::to_string(Config.version())},
                {"in_force", std::to_string(Before->version())}});
    return;
  }
  bool First = !Before;
  logEvent(LogLevel::Info, "config_installed",
           {{"version", std::to_string(Config.version())},
            {"routes", std::to_string(Config.routes().size())}});
  I->Callers->setOptions(callerOptions(Config.limits()));
  I->Requests.install(std::make_shared<ServingConfig>(std::move(Config)));
  if (First)
    I->becomeReady();
}

ReplicaRegistry &FrontDaemon::replicas() { return I->Replicas; }

QuarantineGate &FrontDaemon::quarantine() { return I->Requests.quarantine(); }

void FrontDaemon::replicasListed() {
  if (!std::exchange(I->Listed, true))
    I->becomeReady();
}

void FrontDaemon::evacuate(std::set<AvailabilityZone> Zones) {
  bool First = !I->Replicas.zonesKnown();
  I->Meter.gauge("shallot_zones_evacuated", {}, double(Zones.size()));
  I->Replicas.setEvacuated(std::move(Zones), I->Loop.now());
  if (First)
    I->becomeReady();
}

void FrontDaemon::servePeers(HttpServer::Handler Fn) {
  I->OnPeer = std::move(Fn);
}

void FrontDaemon::onFleetChanged(std::function<void()> Fn) {
  I->OnFleet = std::move(Fn);
  I->OnFleet();
}

const FleetView &FrontDaemon::view() const { return I->Fleet->view(); }

FleetLink &FrontDaemon::fleet() { return *I->Fleet; }

std::uint64_t FrontDaemon::configVersion() const {
  return I->Requests.config() ? I->Requests.config()->version() : 0;
}

const FrontSettings &FrontDaemon::settings() const { return I->Set; }

TimerQueue &FrontDaemon::timers() { return I->Timers; }

Random &FrontDaemon::random() { return I->Rng; }

Metrics &FrontDaemon::metrics() { return I->Meter; }

void FrontDaemon::requestStop(std::function<void()> Gone) {
  if (I->Leaving)
    return;
  I->Gone = std::move(Gone);
  I->leave();
}

} // namespace shallot
