#include "daemon/Daemon.h"

#include "daemon/Api.h"
#include "daemon/QuarantineLink.h"
#include "shallotshift/http1.h"

#include <fmt/format.h>

namespace shallot {
namespace {

/// For the last datagrams and replies to be written out.
constexpr Duration GoneDelay = Millis(200);

Member selfOf(const Settings &S, const DaemonId &Self) {
  return {Self, S.Zone, S.Reg, S.Http, S.Gossip, S.Rpc, MemberState::Starting};
}

} // namespace

struct Daemon::Impl {
  Impl(EventLoop &Loop, Settings S, std::uint64_t Seed)
      : Loop(Loop), Set(std::move(S)), Rng(Seed), Http(Loop), Timers(Loop),
        Probes(Loop, Timers, {}), Ends(Probes, Timers),
        Upstreams(Loop, Http,
                  [this](const Endpoint &To, CrashCheck::Callback Done) {
                    probe(To, std::move(Done));
                  }),
        Scheduler(Loop, Http, Upstreams), Router(Loop, Fleet, Scheduler),
        Crashes(Loop, Meter),
        Searches(Loop, Fleet, Router, Crashes, Meter, Set.Treatment, Rng()) {
    // The wall clock in milliseconds grows from one run of this host to the
    // next, which is all that an incarnation has to do.
    Fleet.Self = {Set.Host, static_cast<std::uint64_t>(Loop.wallTime())};
    Fleet.Zone = Set.Zone;
  }

  Result<void> open();
  Result<void> openPlatform();
  Result<void> openControl();
  Result<void> openPeers();
  Result<void> openHttp();
  PeerHandlers handlers();
  void probe(const Endpoint &To, CrashCheck::Callback Done);
  bool watchesStore() const;
  WorkFacts workFacts() const;
  void phaseChanged(const LifecycleOutput &Out);
  void configChanged();
  void fleetChanged();
  void refreshMetrics();

  EventLoop &Loop;
  Settings Set;
  Random Rng;
  Metrics Meter;
  EventLog Events;
  FleetState Fleet;
  HttpClient Http;
  TimerQueue Timers;
  UpstreamPool Probes; ///< Only for Ends.
  CrashCheck Ends;
  UpstreamClient Upstreams;
  SlotScheduler Scheduler;
  SubRouter Router;
  QuarantineGate Crashes;
  SearchService Searches;
  std::unique_ptr<StoreClient> Platform;
  std::unique_ptr<QuarantineLink> Records;
  std::unique_ptr<ActionService> Actions;
  std::unique_ptr<ControlPlane> Control;
  std::unique_ptr<PeerNode> Peers;
  std::unique_ptr<Api> Routes;
  std::unique_ptr<HttpServer> Server;
};

Result<void> Daemon::Impl::openPlatform() {
  StoreSettings P;
  P.Endpoints = Set.Platform;
  BOOST_LEAF_ASSIGN(Platform, StoreClient::make(Loop, Http, std::move(P)));
  Actions = std::make_unique<ActionService>(Loop, Fleet, *Platform, Router,
                                            Searches.replicas(), Meter,
                                            Random(Rng(), 1));
  Records = std::make_unique<QuarantineLink>(
      Loop, Fleet, *Platform, Crashes, Rng, [this] { return watchesStore(); });
  return {};
}

/// A connection that opens is one of those that the upstream allows, and is not
/// kept.
void Daemon::Impl::probe(const Endpoint &To, CrashCheck::Callback Done) {
  Ends.ask(To, [this, Done = std::move(Done)](bool Ended) {
    Probes.closeIdle();
    Done(Ended);
  });
}

bool Daemon::Impl::watchesStore() const {
  return Control->config().watching() ||
         Control->membership().peersKnown() == 0;
}

Result<void> Daemon::Impl::openControl() {
  ControlPlane::Hooks H;
  H.ConfigChanged = [this] { configChanged(); };
  H.FleetChanged = [this] { fleetChanged(); };
  H.UpstreamLeaving = [this](const UpstreamId &Id, bool Leaving) {
    Searches.onLeaving(Id, Leaving);
  };
  H.PhaseChanged = [this](const LifecycleOutput &Out) { phaseChanged(Out); };
  H.Facts = [this] { return workFacts(); };
  BOOST_LEAF_ASSIGN(
      Control, ControlPlane::open(Loop, Set, selfOf(Set, Fleet.Self), Fleet,
                                  *Platform, Events, Rng, std::move(H)));
  return {};
}

PeerHandlers Daemon::Impl::handlers() {
  PeerHandlers H;
  H.Search = [this](const DaemonId &, SubRequest R,
                    const PeerResponder<SubReply> &Answer) {
    Router.serveRelayed(std::move(R), Answer);
  };
  H.FetchConfig = [this](const DaemonId &, const ConfigQuery &Q,
                         const PeerResponder<ConfigParts> &Answer) {
    Control->config().serve(Q, Answer);
  };
  H.Forward = [this](const DaemonId &, ForwardAction M,
                     const PeerResponder<ActionOutcome> &Answer) {
    Actions->begin(std::move(M.Request), ActionOrigin::Peer,
                   [Answer](ActionOutcome O) { Answer.reply(std::move(O)); });
  };
  H.Intent = [this](const DaemonId &, const RecordIntent &M,
                    const PeerResponder<IntentAnswer> &Answer) {
    Answer.reply(Actions->onIntent(M));
  };
  H.Outcome = [this](const DaemonId &, const RecordOutcome &M,
                     const PeerResponder<Done> &Answer) {
    Actions->onOutcome(M);
    Answer.reply(Done{});
  };
  H.Fence = [this](const DaemonId &, const FenceKey &M,
                   const PeerResponder<FenceAnswer> &Answer) {
    Answer.reply(Actions->onFence(M));
  };
  H.Leaving = [this](const DaemonId &, const LeavingQuery &,
                     const PeerResponder<LeavingUpstreams> &Answer) {
    Answer.reply(Control->leaving());
  };
  H.Records = [this](const DaemonId &, const RecordsQuery &Q,
                     const PeerResponder<RecordsAnswer> &Answer) {
    Answer.reply(Records->answer(Q));
  };
  return H;
}

Result<void> Daemon::Impl::openPeers() {
  BOOST_LEAF_ASSIGN(Peers,
                    PeerNode::open(Loop, Fleet.Self, Set.Rpc, handlers()));
  Router.connect(*Peers);
  Actions->connect(*Peers);
  Control->connect(*Peers);
  Records->connect(*Peers);
  return {};
}

Result<void> Daemon::Impl::openHttp() {
  Routes = std::make_unique<Api>(Api::Parts{Loop, Fleet, Searches, *Actions,
                                            *Control, Events, Meter,
                                            [this] { refreshMetrics(); }});
  BOOST_LEAF_ASSIGN(
      Server, HttpServer::open(Loop, Set.Http, {},
                               [this](ServerRequest R, const Responder &A) {
                                 Routes->handle(std::move(R), A);
                               }));
  return {};
}

Result<void> Daemon::Impl::open() {
  BOOST_LEAF_CHECK(openPlatform());
  BOOST_LEAF_CHECK(openControl());
  BOOST_LEAF_CHECK(openPeers());
  BOOST_LEAF_CHECK(openHttp());
  Control->start();
  Records->start();
  return {};
}

WorkFacts Daemon::Impl::workFacts() const {
  WorkFacts F;
  F.InFlight = Searches.inFlight() + Scheduler.inFlight();
  if (Actions)
    F.InFlight +=
        Actions->registry().unanswered() + Actions->registry().atWork();
  if (Server) {
    F.InFlight += Server->inFlight();
    F.OpenConnections = Server->openConnections();
  }
  return F;
}

void Daemon::Impl::phaseChanged(const LifecycleOutput &Out) {
  if (!Server)
    return;
  if (Out.CloseAfterReply)
    Server->closeAfterReply();
  if (!Out.AcceptConnections)
    Server->stopAccepting();
  if (Out.Exit)
    Loop.after(GoneDelay, [this] { Loop.stop(); });
}

void Daemon::Impl::configChanged() { Searches.onConfig(); }

void Daemon::Impl::fleetChanged() {
  if (Fleet.Conf)
    Scheduler.update(Fleet.Allocation, Fleet.Conf->preset());
  Actions->onFleet();
}

void Daemon::Impl::refreshMetrics() {
  ConfigStatus C = Control->config().status();
  Meter.gauge("shallot_config_generation", {}, double(C.Generation));
  Meter.gauge("shallot_members_seen", {}, double(Fleet.View.Members.size()));
  Meter.gauge("shallot_in_flight", {}, double(Searches.inFlight()));
  AdmissionReport A = Searches.admission();
  Meter.gauge("shallot_admission_limit", {}, double(A.Limit));
  Meter.gauge("shallot_admission_waiting", {}, double(A.Waiting));
  const RouteStats &R = Router.stats();
  Meter.gauge("shallot_routed", {{"way", "direct"}}, double(R.Direct));
  Meter.gauge("shallot_routed", {{"way", "relayed"}}, double(R.Relayed));
  Meter.gauge("shallot_routed", {{"way", "served"}}, double(R.Served));
  Meter.gauge("shallot_routed", {{"way", "rerouted"}}, double(R.Rerouted));
  Meter.gauge("shallot_routed", {{"way", "no_holder"}}, double(R.NoHolder));
  const DatagramStats &G = Control->gossipStats();
  Meter.gauge("shallot_gossip_bytes", {{"dir", "sent"}}, double(G.SentBytes));
  Meter.gauge("shallot_gossip_bytes", {{"dir", "received"}},
              double(G.ReceivedBytes));
  Meter.gauge("shallot_gossip_datagrams", {{"dir", "sent"}}, double(G.Sent));
  PeerStats S = Peers->stats();
  Meter.gauge("shallot_peer_bytes", {{"dir", "sent"}}, double(S.BytesSent));
  Meter.gauge("shallot_peer_bytes", {{"dir", "received"}},
              double(S.BytesReceived));
  Crashes.writeGauges(Meter);
  const StoreCounters &P = Platform->counters();
  Meter.gauge("shallot_platform_calls", {{"kind", "read"}}, double(P.Reads));
  Meter.gauge("shallot_platform_calls", {{"kind", "write"}}, double(P.Writes));
  Meter.gauge("shallot_platform_calls", {{"kind", "watch"}}, double(P.Watches));
  Meter.gauge("shallot_platform_calls", {{"kind", "hosts"}},
              double(P.HostReads));
}

Result<std::unique_ptr<Daemon>> Daemon::start(EventLoop &Loop, Settings Set,
                                              std::uint64_t Seed) {
  std::unique_ptr<Daemon> D(
      new Daemon(std::make_unique<Impl>(Loop, std::move(Set), Seed)));
  BOOST_LEAF_CHECK(D->I->open());
  logEvent(
      LogLevel::Info, "started",
      {{"daemon", D->I->Fleet.Self.str()}, {"http", D->I->Set.Http.str()}});
  return D;
}

Daemon::Daemon(std::unique_ptr<Impl> I) : I(std::move(I)) {}
Daemon::~Daemon() = default;

void Daemon::requestStop() { I->Control->requestStop(); }

} // namespace shallot
