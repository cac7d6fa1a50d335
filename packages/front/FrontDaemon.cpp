//===- FrontDaemon.cpp ----------------------------------------------------===//
#include "front/FrontDaemon.h"

#include "front/EntryAddresses.h"
#include "front/ReplicaReportLink.h"
#include "shallotshift/limits.h"

#include <algorithm>
#include <chrono>
#include <list>
#include <optional>

namespace shallot {

namespace {

/// Period for probes of unavailable replicas and for checks of the clock.
constexpr Duration HousekeepingPeriod = Millis(100);
/// The callers' listening socket is closed this long before the kill.
constexpr Duration CloseBeforeKill = Millis(900);
/// The process exits at least this long before the kill.
constexpr Duration ExitMargin = Millis(150);
/// Time to write the last answers. Idle connections are not waited for longer
/// than this once all listeners are closed.
constexpr Duration LastWrites = Millis(100);
/// Periods of the steps of a stop, the second once all listeners are closed.
constexpr Duration StopPeriod = Millis(50);
constexpr Duration ClosingPeriod = Millis(5);
/// Minimum time from the stop signal to the exit, for callers that still have
/// the address of this daemon cached. It covers the validity that most of them
/// respect. A kill that is due earlier cuts it short.
constexpr Duration MinStopTime = Seconds(3);
/// How long callers may cache a directory reply. Short, because a caller that
/// keeps the address of a dead daemon fails; each reply costs some 100 us of
/// CPU time.
constexpr Duration EntryValidity = Seconds(2);
/// A suspension of the machine longer than this closes idle connections: the
/// peers and everything in between may have dropped them.
constexpr Duration SuspendGap = Millis(1000);
/// Period of load measurements: several queries, even on a host with little
/// load.
constexpr Duration LoadPeriod = Seconds(1);
/// A daemon that has handled fewer requests than this is not taken for an entry
/// host and announces no load: some callers send a few requests to every daemon
/// to check its configuration.
constexpr std::uint64_t MinHandled = 20;

/// Changes of the fleet within this time are applied together. When a fleet of
/// N daemons starts, each sees N changes, and the cost of each grows with N.
constexpr Duration FleetChangePeriod = Millis(100);

/// Time after start until a daemon knows its fleet: 295 hosts that start
/// together know each other after this time.
constexpr Duration FleetKnownAfter = Seconds(3);
/// Part of the process's memory above which its growth is logged, and by how
/// much it has grown from line to line.
constexpr double HighMemoryPart = 0.75;
constexpr std::size_t MemoryLogStep = 4 << 20;
/// A daemon that starts with an older configuration than its peers waits this
/// long for theirs before it lets callers in: two tries at a list, should one
/// of the peers be gone.
constexpr Duration MaxConfigWait = Millis(1500);

/// The stop signal was sent between \p Earliest and \p Latest. Requests that
/// are accepted during the stop are answered before the earliest possible kill;
/// those that already run have until the latest.
StopPlan stopPlan(Duration Grace, Instant Earliest, Instant Latest) {
  Duration Answers = std::max(Duration(0), Grace - ExitMargin - LastWrites);
  Duration Serving = std::max(Duration(0), Grace - CloseBeforeKill);
  StopTimes T;
  T.ServeAtLeast = Latest + std::min(MinStopTime, Serving);
  T.ServeUntil = Latest + Serving;
  T.AnswerUntil = Earliest + Answers;
  T.End = Latest + Answers;
  T.LastWrites = LastWrites;
  return attempt([&] { return StopPlan::make(T); }).value();
}

/// Part of the memory for replies that are being read, and the same for what
/// callers send and don't take. A buffer that grows takes up to three times its
/// size for a moment.
constexpr std::size_t BufferDivisor = 8;

UpstreamPoolOptions poolOptions(const FrontSettings &Set) {
  UpstreamPoolOptions O;
  O.MaxBufferedBytes = Set.MemoryBytes / BufferDivisor;
  O.MaxReplyBytes = std::min(O.MaxReplyBytes, O.MaxBufferedBytes);
  return O;
}

/// Of the servers for short questions without a body.
HttpServerLimits questionLimits() {
  HttpServerLimits L;
  L.MaxBodyBytes = 4 << 10;
  L.MaxHeaderBytes = 4 << 10;
  return L;
}

CallerServerOptions callerOptions(const FrontSettings &Set,
                                  const CallerLimits &L) {
  CallerServerOptions O;
  O.MaxBufferedBytes = Set.MemoryBytes / BufferDivisor;
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
        Timers(Loop), Replicas(Set.Here, registryOptions(Set)),
        Requests(Loop, Timers, this->Adapter.Headers, Replicas, {Set.Retries},
                 Rng, Meter, poolOptions(Set)),
        Last{Loop.now(), suspendedTime()}, Before(Last), Started(Last.At),
        RetryShare(retryLookback(Set), 1), Load(capacityOf(Set)),
        LoadAt(Started) {}

  static ReplicaRegistryOptions registryOptions(const FrontSettings &Set);
  /// Period over which the smallest granted fraction of the retry allowance is
  /// used.
  static Duration retryLookback(const FrontSettings &Set) {
    return Set.Retries.Window + ViewPropagationTime;
  }
  Result<void> open();
  void openServers();
  void openWhenFree(std::string_view Name, const Endpoint &At,
                    StartRetry::BeginFn Open);
  std::size_t addressesAwaited() const;
  void directory(const ServerRequest &R, const Responder &A);
  void readiness(const ServerRequest &R, const Responder &A);
  void scrape(const Responder &A);
  void housekeeping();
  void maintain();
  void measureLoad();
  void checkMemory();
  void updateSharing(Instant Now);
  void updateWarmupSenders(Instant Now);
  void fleetChanged();
  void applyFleetChange();
  void announceIfReady();
  bool ready() const;
  bool behindPeers() const;
  Instant earliestSignal() const;
  void beginStop();
  void pollStop();
  void advanceStop();
  void stopServing();
  void closeListeners();
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
  std::unique_ptr<QuotaLink> Quotas;
  std::unique_ptr<ReplicaReportLink> Reports; ///< Null if there are none.
  std::unique_ptr<CallerServer> Callers;
  std::unique_ptr<HttpServer> Directory;
  std::unique_ptr<HttpServer> Readiness;
  std::unique_ptr<HttpServer> MetricsServer;
  std::unique_ptr<HttpServer> Peers;
  std::list<StartRetry> Addresses; ///< All but those of callers and gossip.
  HttpServer::Handler PeerHandler;
  std::function<void()> FleetChangedFn;
  Instant FleetAppliedAt;
  TimerQueue::Key FleetTimer = 0;
  bool Listed = false;
  bool Announced = false;           ///< As ready for callers.
  std::optional<StopSequence> Stop; ///< Set from the stop signal on.
  std::function<void()> Gone;
  /// When housekeeping() ran, and how long the host was suspended up to then.
  struct Housekept {
    Instant At;
    Duration Suspended;
  };
  Housekept Last;   ///< The last time.
  Housekept Before; ///< The time before it.
  Instant Started;
  FleetShare Shared; ///< For the current fleet.
  GrantedShare RetryShare;
  LoadLevel Load;
  Instant LoadAt;
  Duration BusyBefore{};
  std::size_t MemoryLogged = 0; ///< In the last "memory_high" line.
};

ReplicaRegistryOptions
FrontDaemon::Impl::registryOptions(const FrontSettings &Set) {
  ReplicaRegistryOptions O;
  // A replica that disappeared may have begun to drain shortly before that was
  // observed.
  O.LapseHold = std::min(O.LapseHold, Set.DrainDuration / 2);
  O.ServesOn = Set.DrainDuration;
  O.AwaitEvacuations = Set.Evacuation.has_value();
  O.Warmup = Set.Warmup;
  O.ShareObservations = Set.Reports.has_value();
  return O;
}

/// Opens what the daemon can serve without as soon as its address is free.
void FrontDaemon::Impl::openWhenFree(std::string_view Name, const Endpoint &At,
                                     StartRetry::BeginFn Open) {
  std::string What = "address " + At.str() + " (" + std::string(Name) + ")";
  Addresses.emplace_back(Loop, std::move(What), std::move(Open));
  Addresses.back().start();
}

std::size_t FrontDaemon::Impl::addressesAwaited() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Addresses, [](const StartRetry &R) { return !R.done(); }));
}

void FrontDaemon::Impl::openServers() {
  using Slot = std::unique_ptr<HttpServer> Impl::*;
  auto Serve = [this](std::string_view Name, const Endpoint &At, Slot Server,
                      const HttpServer::Handler &Fn) {
    openWhenFree(Name, At, [this, At, Server, Fn]() -> Result<void> {
      BOOST_LEAF_ASSIGN(this->*Server,
                        HttpServer::open(Loop, At, questionLimits(), Fn));
      return {};
    });
  };
  Serve(
      "readiness", Set.Readiness, &Impl::Readiness,
      [this](const ServerRequest &R, const Responder &A) { readiness(R, A); });
  Serve(
      "directory", Set.Directory, &Impl::Directory,
      [this](const ServerRequest &R, const Responder &A) { directory(R, A); });
  Serve("metrics", Set.Metrics, &Impl::MetricsServer,
        [this](const ServerRequest &, const Responder &A) { scrape(A); });
  Serve("peers", Set.Peers, &Impl::Peers,
        [this](const ServerRequest &R, const Responder &A) {
          if (PeerHandler)
            PeerHandler(R, A);
          else
            A.reply(problemReply(ResultCode::NotReady, "starting"));
        });
}

/// Without its callers a daemon can serve nobody, and without gossip it cannot
/// tell how many share the limits of replicas.
Result<void> FrontDaemon::Impl::open() {
  BOOST_LEAF_ASSIGN(
      Fleet, FleetLink::open(Loop, Set, Rng, [this] { fleetChanged(); }));
  BOOST_LEAF_ASSIGN(
      Callers,
      CallerServer::open(Loop, Timers, Set.Callers, callerOptions(Set, {}),
                         [this](const ExchangePtr &E) { Requests.handle(E); }));
  Quotas = std::make_unique<QuotaLink>(Loop, Timers, Set, *Fleet);
  Requests.limitBy(*Quotas);
  openWhenFree("quotas", Set.Quotas, [this] { return Quotas->listen(); });
  if (Set.Reports)
    openWhenFree("reports", *Set.Reports, [this]() -> Result<void> {
      BOOST_LEAF_ASSIGN(Reports,
                        ReplicaReportLink::open(Loop, Timers, *Set.Reports,
                                                *Fleet, Replicas, Rng));
      return {};
    });
  openServers();
  Fleet->start();
  housekeeping();
  return {};
}

/// Uses the smallest fraction of the retry allowance that was granted over the
/// last retryLookback(): other daemons may already have used what this one has
/// gained. After a restart the daemon does not know what it used before, so for
/// the same time it uses at most an equal part.
void FrontDaemon::Impl::updateSharing(Instant Now) {
  FleetShare Usable = Shared;
  Usable.RetryShare = RetryShare.usable(Now);
  if (Now - Started < retryLookback(Set))
    Usable.RetryShare = std::min(Usable.RetryShare, Fleet->equalRetryPart());
  Replicas.setFleetShare(Usable);
}

/// A daemon that has just started may not know yet which others send.
void FrontDaemon::Impl::updateWarmupSenders(Instant Now) {
  if (Now - Started >= FleetKnownAfter)
    Replicas.setWarmupSenders(Fleet->warmupSenders());
}

void FrontDaemon::Impl::fleetChanged() {
  if (!Fleet || FleetTimer != 0)
    return;
  Duration Since = Loop.now() - FleetAppliedAt;
  if (Since >= FleetChangePeriod)
    return applyFleetChange();
  FleetTimer = Timers.after(FleetChangePeriod - Since, [this] {
    FleetTimer = 0;
    applyFleetChange();
  });
}

void FrontDaemon::Impl::applyFleetChange() {
  FleetAppliedAt = Loop.now();
  Shared = Fleet->sharing();
  RetryShare.grant(Shared.RetryShare, Loop.now());
  updateSharing(Loop.now());
  updateWarmupSenders(Loop.now());
  if (Quotas)
    Quotas->fleetChanged();
  if (FleetChangedFn)
    FleetChangedFn();
}

bool FrontDaemon::Impl::ready() const {
  return Requests.config() && Listed && Replicas.zonesKnown() && !Stop &&
         (Announced || !behindPeers());
}

/// The store may be restored to a state before the latest change; its peers
/// still have that change.
bool FrontDaemon::Impl::behindPeers() const {
  return Loop.now() - Started < MaxConfigWait &&
         Fleet->newestPeerRevisions().ConfigVersion >
             Requests.config()->version();
}

void FrontDaemon::Impl::announceIfReady() {
  if (Announced || !ready() || Fleet->view().Members.empty())
    return;
  Announced = true;
  Fleet->setState(MemberState::Alive);
  logEvent(LogLevel::Info, "ready",
           {{"config", std::to_string(Requests.config()->version())},
            {"replicas", std::to_string(Replicas.size())},
            {"after_ms", std::to_string(toMillis(Loop.now() - Started))}});
}

void FrontDaemon::Impl::readiness(const ServerRequest &R, const Responder &A) {
  ServerReply Reply;
  if (R.Path != Adapter.ReadyPath)
    Reply = problemReply(ResultCode::UnknownPath, R.Path);
  else if (!ready())
    Reply = problemReply(Stop ? ResultCode::Leaving : ResultCode::NotReady,
                         Stop ? "stopping" : "waiting for the store");
  A.reply(std::move(Reply));
}

void FrontDaemon::Impl::directory(const ServerRequest &R, const Responder &A) {
  if (R.Path != Adapter.DirectoryPath) {
    A.reply(problemReply(ResultCode::UnknownPath, R.Path));
    return;
  }
  EntryQuery Q = Adapter.ParseQuery(R.Query);
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
  Meter.gauge("shallot_upstream_replies_too_large", {}, double(C.TooLarge));
  Meter.gauge("shallot_buffered_bytes", {{"of", "replies"}},
              double(Requests.bufferedBytes()));
  Meter.gauge("shallot_buffered_bytes", {{"of", "kept"}},
              double(Requests.keptBytes()));
  Meter.gauge("shallot_buffered_bytes", {{"of", "callers"}},
              double(Callers->bufferedBytes()));
  Meter.gauge("shallot_internal_errors", {}, double(faultCount()));
  Meter.gauge("shallot_in_flight", {}, double(Requests.inFlight()));
  Meter.gauge("shallot_caller_connections", {}, double(Callers->connections()));
  Meter.gauge("shallot_live_connections", {}, double(liveConnections()));
  Meter.gauge("shallot_replicas_known", {}, double(Replicas.size()));
  std::uint64_t Version = Requests.config() ? Requests.config()->version() : 0;
  Meter.gauge("shallot_config_version", {}, double(Version));
  Meter.gauge("shallot_members_seen", {}, double(Fleet->view().Members.size()));
  Meter.gauge("shallot_addresses_awaited", {}, double(addressesAwaited()));
  Meter.gauge("shallot_member_ends_seen", {}, double(Fleet->endsSeen()));
  Meter.gauge("shallot_peak_memory_bytes", {}, double(peakMemoryBytes()));
  Meter.gauge("shallot_load_millicores", {}, double(Fleet->self().Load));
  Requests.quarantine().writeGauges(Meter);
  Requests.writeGauges();
  const DatagramStats &G = Fleet->traffic();
  Meter.gauge("shallot_membership_sent_bytes", {}, double(G.SentBytes));
  Meter.gauge("shallot_membership_received_bytes", {}, double(G.ReceivedBytes));
  Meter.gauge("shallot_membership_malformed", {}, double(G.Malformed));
  DatagramStats Q = Quotas->traffic();
  Meter.gauge("shallot_quota_sent_bytes", {}, double(Q.SentBytes));
  Meter.gauge("shallot_quota_received_bytes", {}, double(Q.ReceivedBytes));
  Meter.gauge("shallot_quota_malformed", {}, double(Q.Malformed));
  if (Reports)
    Reports->writeGauges(Meter);
  ServerReply Reply;
  Reply.ContentType = "text/plain; version=0.0.4";
  Reply.Body = Meter.text();
  A.reply(std::move(Reply));
}

void FrontDaemon::Impl::housekeeping() {
  contain("housekeeping", {}, [this] { maintain(); });
  Timers.after(HousekeepingPeriod, [this] { housekeeping(); });
}

void FrontDaemon::Impl::maintain() {
  Before = std::exchange(Last, {Loop.now(), suspendedTime()});
  Duration Gap = Last.Suspended - Before.Suspended;
  if (Gap > SuspendGap) {
    logEvent(LogLevel::Warn, "was_suspended",
             {{"ms", std::to_string(toMillis(Gap))}});
    Requests.closeIdleConnections();
  }
  Requests.tick();
  updateSharing(Loop.now());
  measureLoad();
  announceIfReady();
}

void FrontDaemon::Impl::measureLoad() {
  Instant Now = Loop.now();
  Duration Passed = Now - LoadAt;
  if (Passed < LoadPeriod)
    return;
  updateWarmupSenders(Now);
  checkMemory();
  Duration Busy = Loop.busy() - std::exchange(BusyBefore, Loop.busy());
  LoadAt = Now;
  std::uint32_t Before = Fleet->self().Load;
  std::uint32_t Announced = Load.observe(toMillisF(Busy) / toMillisF(Passed),
                                         Requests.handled() >= MinHandled, Now);
  if (Announced == Before)
    return;
  logEvent(LogLevel::Info, "load_told",
           {{"millicores", std::to_string(Announced)},
            {"before", std::to_string(Before)},
            {"capacity", std::to_string(Fleet->self().Capacity)}});
  Fleet->setLoad(Announced);
}

/// A process that takes too much memory is killed and cannot log that itself.
void FrontDaemon::Impl::checkMemory() {
  std::size_t Peak = peakMemoryBytes();
  if (double(Peak) < HighMemoryPart * double(Set.MemoryBytes) ||
      Peak < MemoryLogged + MemoryLogStep)
    return;
  MemoryLogged = Peak;
  logEvent(LogLevel::Warn, "memory_high",
           {{"bytes", std::to_string(Peak)},
            {"of", std::to_string(Set.MemoryBytes)}});
}

/// A process that was frozen, or whose host was suspended, acts late on a
/// signal. When it runs again, housekeeping may come before the signal, so the
/// signal may be as old as the housekeeping before the last one.
Instant FrontDaemon::Impl::earliestSignal() const {
  return Before.At - (suspendedTime() - Before.Suspended);
}

void FrontDaemon::Impl::beginStop() {
  Instant Now = Loop.now();
  Stop.emplace(stopPlan(Set.StopGrace, earliestSignal(), Now));
  logEvent(LogLevel::Info, "leaving",
           {{"grace_ms", std::to_string(toMillis(Set.StopGrace))},
            {"signal_age_ms", std::to_string(toMillis(Now - earliestSignal()))},
            {"in_flight", std::to_string(Requests.inFlight())},
            {"connections", std::to_string(Callers->connections())}});
  Fleet->setState(MemberState::Leaving);
  Callers->closeAfterReply();
  Requests.stop(Stop->plan());
  pollStop();
}

void FrontDaemon::Impl::pollStop() {
  contain("stop", {}, [this] { advanceStop(); });
  StopPhase Phase = Stop->phase();
  if (Phase == StopPhase::Gone)
    return end();
  Timers.after(Phase == StopPhase::Closing ? ClosingPeriod : StopPeriod,
               [this] { pollStop(); });
}

void FrontDaemon::Impl::advanceStop() {
  StopPhase Before = Stop->phase();
  StopFacts Facts{Requests.inFlight(), Callers->connections(), 0};
  for (const HttpServer *S : {Directory.get(), Readiness.get()})
    Facts.Lookups += S ? S->openConnections() : 0;
  StopPhase Phase = Stop->advance(Facts, Loop.now());
  if (Phase == StopPhase::Finishing)
    stopServing();
  if (Phase == StopPhase::Closing && Before != Phase)
    closeListeners();
}

void FrontDaemon::Impl::stopServing() {
  Callers->stopAccepting();
  Callers->closeIdle();
  Callers->refuseUnfinished(ResultCode::Leaving,
                            "the daemon stops before the request has arrived");
}

/// A process that exits as soon as no caller request is left would cut off
/// callers that have just queried the directory or just connected.
void FrontDaemon::Impl::closeListeners() {
  Addresses.clear();
  Callers->stopAccepting();
  for (HttpServer *S : {Directory.get(), Readiness.get()}) {
    if (!S)
      continue;
    S->closeAfterReply();
    S->stopAccepting();
  }
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
  logEvent(LogLevel::Info, "config_installed",
           {{"version", std::to_string(Config.version())},
            {"routes", std::to_string(Config.routes().size())}});
  I->Callers->setOptions(callerOptions(I->Set, Config.limits()));
  auto Installed = std::make_shared<const ServingConfig>(std::move(Config));
  // Requests whose route has gone are refused for that reason, not for lack of
  // a quota.
  I->Requests.install(Installed);
  I->Quotas->install(Installed->callers());
  I->announceIfReady();
}

ReplicaRegistry &FrontDaemon::replicas() { return I->Replicas; }

QuarantineGate &FrontDaemon::quarantine() { return I->Requests.quarantine(); }

void FrontDaemon::replicasListed() {
  if (!std::exchange(I->Listed, true))
    I->announceIfReady();
}

void FrontDaemon::evacuate(std::set<AvailabilityZone> Zones) {
  bool First = !I->Replicas.zonesKnown();
  I->Meter.gauge("shallot_zones_evacuated", {}, double(Zones.size()));
  I->Replicas.setEvacuated(std::move(Zones), I->Loop.now());
  if (First)
    I->announceIfReady();
}

void FrontDaemon::servePeers(HttpServer::Handler Fn) {
  I->PeerHandler = std::move(Fn);
}

void FrontDaemon::onFleetChanged(std::function<void()> Fn) {
  I->FleetChangedFn = std::move(Fn);
  I->FleetChangedFn();
}

const FleetView &FrontDaemon::view() const { return I->Fleet->view(); }

FleetLink &FrontDaemon::fleet() { return *I->Fleet; }

bool FrontDaemon::announced() const { return I->Announced; }

std::uint64_t FrontDaemon::configVersion() const {
  return I->Requests.config() ? I->Requests.config()->version() : 0;
}

const FrontSettings &FrontDaemon::settings() const { return I->Set; }

TimerQueue &FrontDaemon::timers() { return I->Timers; }

Random &FrontDaemon::random() { return I->Rng; }

Metrics &FrontDaemon::metrics() { return I->Meter; }

void FrontDaemon::requestStop(std::function<void()> Gone) {
  if (I->Stop)
    return;
  I->Gone = std::move(Gone);
  I->beginStop();
}

} // namespace shallot
