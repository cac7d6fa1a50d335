#include "daemon/ControlPlane.h"

#include <algorithm>

namespace shallot {
namespace {

/// One long poll of the host list, and the pauses between polls.
constexpr Duration HostsWait = Seconds(20);
constexpr Duration HostsPause = Millis(200);
constexpr Duration FirstHostsPause = Millis(200);
constexpr Duration MaxHostsPause = Seconds(15);
/// How often a daemon that does not watch the list asks one that does.
constexpr Duration HostsIdle = Seconds(2);
/// What membership and configuration both take for a pause of this process.
const Duration PauseGap = MembershipOptions().PauseThreshold;

/// A generation and head as gossip announces them.
std::uint64_t headNumber(const Head &H) { return hash64(encode(H)); }

EntryOptions entryOptions(const Settings &S) {
  EntryOptions O;
  O.Validity = S.EntryValidity;
  return O;
}

LifecycleOptions lifecycleOptions(const Settings &S) {
  LifecycleOptions O;
  O.EntryValidity = longestValidity(entryOptions(S));
  return O;
}

} // namespace

Result<std::unique_ptr<ControlPlane>>
ControlPlane::open(EventLoop &Loop, const Settings &Set, Member Self,
                   FleetState &Fleet, StoreClient &Platform, EventLog &Events,
                   Random &Rng, Hooks H) {
  Instant Now = Loop.now();
  BOOST_LEAF_AUTO(M,
                  Membership::make({}, std::move(Self), Set.Peers, Rng, Now));
  BOOST_LEAF_AUTO(E, EntryDirectory::make(entryOptions(Set)));
  BOOST_LEAF_AUTO(L, Lifecycle::make(lifecycleOptions(Set)));
  std::unique_ptr<ControlPlane> C(
      new ControlPlane(Loop, std::move(M), E, std::move(L), Fleet, Platform,
                       Events, Rng, std::move(H)));
  BOOST_LEAF_ASSIGN(C->Gossip, GossipSocket::open(
                                   Loop, Set.Gossip,
                                   [Raw = C.get()](const GossipMessage &Message,
                                                   const Endpoint &) {
                                     Raw->onMessage(Message);
                                   }));
  return C;
}

ControlPlane::ControlPlane(EventLoop &Loop, Membership M, EntryDirectory E,
                           Lifecycle L, FleetState &Fleet,
                           StoreClient &Platform, EventLog &Events, Random &Rng,
                           Hooks H)
    : Loop(Loop), Fleet(Fleet), Platform(Platform), Events(Events), Rng(Rng),
      H(std::move(H)), Members(std::move(M)), Entries(E), Life(std::move(L)),
      Config(Loop, Fleet, Platform, Events, Rng,
             {[this](const InstalledConfig &C) { installed(C); },
              [this](const std::vector<DaemonId> &To) { announce(To); }}),
      HostsBackoff(FirstHostsPause, MaxHostsPause), LastTick(Loop.now()) {}

ControlPlane::~ControlPlane() = default;

void ControlPlane::connect(PeerNode &P) {
  Peers = &P;
  Config.connect(P);
}

void ControlPlane::start() {
  viewChanged();
  pollHosts();
  tick();
}

void ControlPlane::tick() {
  Instant Now = Loop.now();
  if (Now - LastTick > PauseGap) {
    // What waits in the socket is as old as the pause is long. Read as fresh
    // it would show dead members as alive.
    Gossip->discardWaiting();
    Config.sync().revalidate(Now);
  }
  LastTick = Now;
  apply(Members.onTick(Now));
  Config.sync().tick(Now);
  Config.pump();
  tickLifecycle();
  Loop.after(TickPeriod, [this] { tick(); });
}

void ControlPlane::onMessage(const GossipMessage &M) {
  Instant Now = Loop.now();
  apply(Members.onMessage(M, Now));
  Config.sync().announced(M.Sender.Who.Id, M.ConfigGeneration, Now);
  Config.pump();
}

void ControlPlane::apply(const MembershipOutput &Out) {
  for (const MembershipEvent &E : Out.Events) {
    std::string By = E.By.empty() ? "" : " (by " + E.By.str() + ")";
    Events.add(isWarning(E.Kind) ? LogLevel::Warn : LogLevel::Info,
               {Loop.wallTime(), std::string(eventName(E.Kind)), E.Who.str(),
                E.Evidence + By});
  }
  for (const GossipSend &S : Out.Sends)
    Gossip->send(S.To, S.Message);
  if (Out.Changed)
    viewChanged();
}

void ControlPlane::viewChanged() {
  Fleet.View = Members.view();
  Config.sync().members(Fleet.View, Loop.now());
  redeal();
  if (Peers)
    Peers->keepOnly(Fleet.View);
  H.FleetChanged();
}

void ControlPlane::redeal() {
  if (Fleet.Conf)
    Fleet.Allocation =
        SlotAllocation::make(*Fleet.Conf, Fleet.View, Fleet.Self);
}

void ControlPlane::installed(const InstalledConfig &C) {
  Fleet.Conf = C.Installed;
  Members.setConfig(C.Installed->generation(), headNumber(C.Installed->head()));
  redeal();
  H.ConfigChanged();
  H.FleetChanged();
}

void ControlPlane::announce(const std::vector<DaemonId> &To) {
  apply(Members.announce(To, Loop.now()));
}

LifecycleFacts ControlPlane::facts() const {
  LifecycleFacts F;
  ConfigStatus S = Config.status();
  F.ConfigInstalled = Fleet.Conf != nullptr;
  F.PlatformConfirms = S.ConfirmedByPlatform;
  F.PlatformAnswered = Config.platformAnswered();
  F.PeersKnown = Members.peersKnown();
  F.PeersHeard = Members.peersHeard();
  F.PeersConfirm = S.ConfirmedBy;
  F.PeerIsAhead = S.HighestHeard > S.Generation;
  F.ViewSettled = Members.settled(Loop.now());
  WorkFacts W = H.Facts();
  F.InFlight = W.InFlight;
  F.OpenConnections = W.OpenConnections;
  return F;
}

void ControlPlane::tickLifecycle() { apply(Life.onTick(facts(), Loop.now())); }

void ControlPlane::requestStop() { apply(Life.requestStop(Loop.now())); }

void ControlPlane::apply(const LifecycleOutput &Out) {
  bool Duties = Out.AcceptConnections != Last.AcceptConnections ||
                Out.CloseAfterReply != Last.CloseAfterReply ||
                Out.Exit != Last.Exit;
  Last = Out;
  if (Out.Changed)
    Events.add(LogLevel::Info, {Loop.wallTime(), "phase",
                                std::string(phaseName(Out.Now)), Out.Why});
  if (Members.self().State != Out.Declare)
    apply(Members.setSelfState(Out.Declare, Loop.now()));
  if (Out.Changed || Duties)
    H.PhaseChanged(Out);
}

bool ControlPlane::takesRequests(Error *Why) const {
  if (!Last.TakeRequests) {
    bool Stopping = Last.Now == Phase::Draining || Last.Now == Phase::Gone;
    *Why = {Stopping ? ResultCode::Leaving : ResultCode::NotReady, Last.Why};
    return false;
  }
  Instant Now = Loop.now();
  if (Members.mayAct(Now))
    return true;
  *Why = {ResultCode::StaleDaemon, Members.refusalReason(Now)};
  return false;
}

bool ControlPlane::wantsHosts() const {
  // The platform counts every call. Only the watchers of each zone follow the
  // list; a daemon that knows nobody asks too, since nobody else can tell it.
  return Config.watching() || Members.peersKnown() == 0;
}

void ControlPlane::pollHosts() {
  if (!wantsHosts()) {
    askWatcher();
    Loop.after(HostsIdle, [this] { pollHosts(); });
    return;
  }
  Platform.hosts(HostsVersion, HostsWait,
                 [this](Attempt<std::optional<HostList>> Answer) {
                   Duration Pause = HostsPause;
                   if (!Answer)
                     Pause = HostsBackoff.next(Rng);
                   else
                     HostsBackoff.reset();
                   if (Answer && *Answer)
                     takeHosts(**Answer);
                   Loop.after(Pause, [this] { pollHosts(); });
                 });
}

void ControlPlane::takeHosts(const HostList &List) {
  HostsVersion = List.Version;
  std::vector<ListedHost> Listed;
  for (const HostEntry &E : List.Hosts)
    if (E.Kind == HostKind::Entry && E.GossipPort != 0)
      Listed.push_back({E.Host,
                        {E.Ip, E.GossipPort},
                        E.Zone,
                        E.State == HostState::Leaving});
  apply(Members.onHostList(Listed, Loop.now()));
  takeLeaving(List);
}

void ControlPlane::takeLeaving(const HostList &List) {
  LeavingUpstreams Now;
  Now.Version = List.Version;
  for (const HostEntry &E : List.Hosts)
    if (E.Kind == HostKind::Upstream && E.State == HostState::Leaving)
      Now.Ids.emplace_back(E.Host.str());
  takeLeaving(std::move(Now));
}

void ControlPlane::takeLeaving(LeavingUpstreams Now) {
  // Watchers may have read the list at different times: an older one would
  // bring back what has left.
  if (Now.Version <= Leaving.Version)
    return;
  std::ranges::sort(Now.Ids);
  for (const UpstreamId &Id : Leaving.Ids)
    if (!std::ranges::binary_search(Now.Ids, Id))
      H.UpstreamLeaving(Id, false);
  for (const UpstreamId &Id : Now.Ids)
    if (!std::ranges::binary_search(Leaving.Ids, Id))
      H.UpstreamLeaving(Id, true);
  Leaving = std::move(Now);
}

void ControlPlane::askWatcher() {
  auto Watchers = watchersOf(Fleet.Zone, Fleet.View.Members);
  if (Watchers.empty() || !Peers)
    return;
  const DaemonId &Chosen = Watchers[below(Rng, Watchers.size())];
  const Member *Watcher = Fleet.find(Chosen);
  if (!Watcher || Chosen == Fleet.Self)
    return;
  Peers->leaving(*Watcher, HostsIdle, [this](Attempt<LeavingUpstreams> Answer) {
    if (Answer)
      takeLeaving(std::move(*Answer));
  });
}

} // namespace shallot
