//===- FleetLink.cpp ------------------------------------------------------===//
#include "front/FleetLink.h"

#include "front/EntryAddresses.h"
#include "shallotshift/telemetry.h"

#include <algorithm>
#include <array>

namespace shallot {

namespace {

ReadRevisions readRevisionsOf(const PeerConfig &P) {
  return {P.Generation,
          {P.Revisions.HeadEpoch, P.Head},
          P.Revisions.Quarantine,
          P.Revisions.Evacuations};
}

constexpr std::array RevisionFields = {&ReadRevisions::Replicas,
                                       &ReadRevisions::Quarantine,
                                       &ReadRevisions::Evacuations};

/// Seeds are HTTP addresses; all daemons of a deployment use the same port for
/// gossip.
std::vector<Endpoint> gossipSeeds(const FrontSettings &Set) {
  std::vector<Endpoint> Seeds;
  for (const Endpoint &Seed : Set.Seeds)
    if (Seed.Ip != Set.Gossip.Ip)
      Seeds.push_back({Seed.Ip, Set.Gossip.Port});
  return Seeds;
}

} // namespace

MembershipOptions frontMembershipOptions() {
  MembershipOptions O;
  O.MinPeriod = Millis(300);
  O.MaxPeriod = Millis(600);
  O.SuspicionPeriods = 2;
  O.CrossRegionProbeRounds = 8;
  O.SettleTime = Millis(600);
  O.TombstoneProbePeriod = Seconds(1);
  return O;
}

std::uint32_t capacityOf(const FrontSettings &Set) {
  return static_cast<std::uint32_t>(Set.Cores * 1000);
}

Result<Membership> FleetLink::makeMembership(EventLoop &Loop,
                                             const FrontSettings &Set,
                                             Random &Rng,
                                             std::uint64_t Incarnation,
                                             MemberState State) {
  Member Self{{Set.Host, Incarnation},
              Set.Here.Zone,
              Set.Here.Reg,
              Set.Callers,
              Set.Gossip,
              Set.Peers,
              State,
              capacityOf(Set)};
  return Membership::make(frontMembershipOptions(), std::move(Self),
                          gossipSeeds(Set), Rng, Loop.now());
}

FleetLink::FleetLink(EventLoop &Loop, const FrontSettings &Set, Random &Rng,
                     Membership M, ChangedFn Fn)
    : Loop(Loop), Set(Set), Rng(Rng), Members(std::move(M)),
      OnChanged(std::move(Fn)), LastTick(Loop.now()) {}

Result<std::unique_ptr<FleetLink>> FleetLink::open(EventLoop &Loop,
                                                   const FrontSettings &Set,
                                                   Random &Rng, ChangedFn Fn) {
  auto Incarnation = static_cast<std::uint64_t>(Loop.wallTime());
  BOOST_LEAF_AUTO(
      M, makeMembership(Loop, Set, Rng, Incarnation, MemberState::Starting));
  std::unique_ptr<FleetLink> L(
      new FleetLink(Loop, Set, Rng, std::move(M), std::move(Fn)));
  BOOST_LEAF_ASSIGN(
      L->Socket,
      GossipSocket::open(
          Loop, Set.Gossip,
          [Raw = L.get()](const GossipMessage &Message, const Endpoint &) {
            Raw->apply(Raw->Members.onMessage(Message, Raw->Loop.now()));
          }));
  return L;
}

void FleetLink::start() { tick(); }

void FleetLink::tick() {
  Instant Now = Loop.now();
  // After a pause, datagrams in the socket buffer are as old as the pause;
  // processed as fresh, they would show dead daemons as alive.
  if (Now - LastTick > MembershipOptions().PauseThreshold)
    Socket->discardWaiting();
  LastTick = Now;
  contain("membership", {}, [&] { advance(Now); });
  Loop.after(TickPeriod, [this] { tick(); });
}

void FleetLink::advance(Instant Now) {
  apply(Members.onTick(Now));
  if (SupersedingIncarnation != 0)
    rejoinAbove(std::exchange(SupersedingIncarnation, 0));
}

void FleetLink::setState(MemberState State) {
  apply(Members.setSelfState(State, Loop.now()));
}

void FleetLink::setLoad(std::uint32_t Load) {
  if (Load != Members.self().Load)
    apply(Members.setSelfLoad(Load, Loop.now()));
}

void FleetLink::setStoreAccess(StoreAccess Access,
                               const std::vector<DaemonId> &First) {
  if (Access != Members.self().Store)
    apply(Members.setSelfStoreAccess(Access, First, Loop.now()));
}

void FleetLink::apply(const MembershipOutput &Out) {
  for (const MembershipEvent &E : Out.Events) {
    logEvent(isWarning(E.Kind) ? LogLevel::Warn : LogLevel::Info,
             eventName(E.Kind),
             {{"daemon", E.Who.str()},
              {"by", E.By.str()},
              {"evidence", E.Evidence}});
    if (E.Kind == MembershipEventKind::Superseded)
      SupersedingIncarnation = E.Who.Incarnation;
    if (E.Kind == MembershipEventKind::Ended)
      ++EndsSeen;
  }
  for (const GossipSend &S : Out.Sends)
    Socket->send(S.To, S.Message);
  if (Out.Changed)
    OnChanged();
}

/// Handles a wall clock that was set back between two runs of this host. The
/// incarnation of the new run is then lower than that of the old one, the other
/// daemons treat the new run as outdated, and it would receive no callers.
/// Nothing else runs under this name on this host, so the higher incarnation
/// can only belong to an earlier run.
void FleetLink::rejoinAbove(std::uint64_t Incarnation) {
  MemberState State = Members.self().State;
  std::uint32_t Load = Members.self().Load;
  StoreAccess Access = Members.self().Store;
  auto M = attempt(
      [&] { return makeMembership(Loop, Set, Rng, Incarnation + 1, State); });
  if (!M) {
    logEvent(LogLevel::Error, "rejoin_failed", {{"why", M.error().Detail}});
    return;
  }
  logEvent(LogLevel::Warn, "rejoined",
           {{"incarnation", std::to_string(Incarnation + 1)}});
  Members = std::move(*M);
  publishRevisions();
  apply(Members.setSelfLoad(Load, Loop.now()));
  apply(Members.setSelfStoreAccess(Access, {}, Loop.now()));
  apply(Members.onHostList(Contacts, Loop.now()));
  OnChanged();
}

void FleetLink::setContacts(const std::vector<ListedHost> &Now) {
  if (Now == Contacts)
    return;
  Contacts = Now;
  apply(Members.onHostList(Contacts, Loop.now()));
}

void FleetLink::setSeeds(const std::vector<Endpoint> &Seeds) {
  if (Seeds == Set.Seeds)
    return;
  Set.Seeds = Seeds;
  Members.setSeeds(gossipSeeds(Set), Loop.now());
}

FleetShare FleetLink::sharing() const {
  return sharingAmongEntryHosts(view(), Set.Host, Set.Here.Reg);
}

WarmupSenders FleetLink::warmupSenders() const {
  return shallot::warmupSenders(view(), Set.Host);
}

double FleetLink::equalRetryPart() const {
  return shallot::equalRetryPart(view(), Set.Host);
}

void FleetLink::announce(const ReadRevisions &S) {
  if (S == Announced)
    return;
  Announced = S;
  publishRevisions();
}

void FleetLink::publishRevisions() {
  Members.setConfig(Announced.ConfigVersion, Announced.Replicas.Number);
  Members.setRevisions(
      {Announced.Replicas.Epoch, Announced.Quarantine, Announced.Evacuations});
}

ReadRevisions FleetLink::newestPeerRevisions() const {
  ReadRevisions Most;
  for (const PeerConfig &P : Members.peerConfigs()) {
    ReadRevisions Its = readRevisionsOf(P);
    Most.ConfigVersion = std::max(Most.ConfigVersion, Its.ConfigVersion);
    for (StoreRevision ReadRevisions::*Field : RevisionFields)
      Most.*Field = std::max(Most.*Field, Its.*Field);
  }
  return Most;
}

bool FleetLink::viewComplete(Instant Now) const {
  bool Quiet =
      Members.peersHeard() > 0 && Now - Members.lastJoinAt() >= ViewQuietTime;
  return Quiet || Members.settled(Now);
}

std::optional<PeerAhead> FleetLink::findPeerAhead(
    const std::function<bool(const ReadRevisions &)> &IsAhead) const {
  std::vector<PeerAhead> Near;
  std::vector<PeerAhead> Far;
  for (const PeerConfig &P : Members.peerConfigs()) {
    ReadRevisions Its = readRevisionsOf(P);
    if (!IsAhead(Its))
      continue;
    const std::vector<Member> &All = view().Members;
    auto At = std::ranges::lower_bound(All, P.Who, {}, &Member::Id);
    if (At != All.end() && At->Id == P.Who && At->State == MemberState::Alive)
      (At->Reg == Set.Here.Reg ? Near : Far).push_back({*At, Its});
  }
  const std::vector<PeerAhead> &From = Near.empty() ? Far : Near;
  if (From.empty())
    return std::nullopt;
  return From[Rng() % From.size()];
}

} // namespace shallot
