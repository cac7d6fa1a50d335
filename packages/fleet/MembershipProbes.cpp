#include "fleet/MembershipState.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace shallot {

using namespace internal;

namespace {

/// Limit of the wait for a direct answer as a fraction of the period. The rest
/// is left for the answers of the helpers.
constexpr double DirectProbeFraction = 0.45;

/// A helper sends a Nack after this time without an answer. The requester waits
/// at least 275 ms, which covers this, one tick and the round trip.
constexpr Duration NackAfter = Millis(150);
/// How long after its Nack a helper still relays a late answer.
constexpr Duration LateAckWindow = Seconds(1);
/// The most indirect probes made for others at a time.
constexpr std::size_t MaxHelperProbes = 64;

/// The most members queued for a probe out of turn.
constexpr std::size_t MaxProbeRequests = 64;

/// About the most probes that all daemons together send to one Failed member
/// per TombstoneProbePeriod, independent of the fleet size.
constexpr double SendersPerTombstone = 4;

constexpr Duration ExpiryPeriod = Seconds(1);

/// A region with at most this many live members is probed by all members in
/// every round, and its members probe all others.
constexpr std::size_t SmallRegionSize = 4;

/// Reciprocal weights of a new sample, as in TCP (RFC 6298).
constexpr int RttDivisor = 8;
constexpr int DeviationDivisor = 4;

} // namespace

void Membership::Impl::tickProbes(Instant Now) {
  if (Probe && !Probe->SentIndirect && Now - Probe->SentAt >= Probe->Timeout)
    sendIndirectProbes();
  if (Now < NextPeriodAt)
    return;
  endPeriod(Now);
  startPeriod(Now);
}

/// Accuses a member that answered neither us nor the helpers. A member that
/// sent us a message or raised its version meanwhile is not accused: it is
/// alive, and only the path to it failed.
void Membership::Impl::endPeriod(Instant Now) {
  if (!Probe)
    return;
  PendingProbe Done = *std::exchange(Probe, std::nullopt);
  if (Done.Helpers == 0 || Done.Nacks < Done.Helpers)
    worsenHealth();
  const MemberRecord *R = Table.find(Done.Target.Host);
  bool Same = R && R->Update.Who.Id == Done.Target &&
              R->Update.Version == Done.Version && isLive(*R);
  if (Now < AccuseFrom || !Same || R->HeardAt > Done.SentAt)
    return;
  MemberUpdate Accusation = R->Update;
  Accusation.ObservedHealth = Health::Suspect;
  Accusation.Accuser = Self.Who.Id.Host;
  std::size_t EventsBefore = Out.Events.size();
  applyUpdate(Accusation, Self.Who.Id.Host, Now);
  if (Out.Events.size() > EventsBefore)
    Out.Events.back().Evidence =
        fmt::format("no answer in {} ms; {} of {} helpers had none either",
                    toMillis(Now - Done.SentAt), Done.Nacks, Done.Helpers);
}

void Membership::Impl::startPeriod(Instant Now) {
  double Spread = toMillisF(Options.MaxPeriod - Options.MinPeriod);
  Duration Period = Options.MinPeriod + fromMillisF(uniform01(Rng) * Spread);
  Period *= 1 + HealthScore;
  NextPeriodAt = Now + Period;
  const MemberRecord *Target = nextTarget();
  if (!Target)
    return;
  const Member &Who = Target->Update.Who;
  Duration MaxTimeout = fromMillisF(DirectProbeFraction * toMillisF(Period));
  Probe =
      PendingProbe{Who.Id, Who.Gossip, Target->Update.Version,
                   0,      Now,        std::min(probeTimeout(), MaxTimeout)};
  Probe->Sequence = sendProbe(Probe->To, Probe->Target);
}

std::uint64_t Membership::Impl::sendProbe(const Endpoint &To,
                                          const DaemonId &Target) {
  GossipMessage M = message(GossipKind::Probe, NextSequence++);
  M.Target = Target;
  std::uint64_t Sequence = M.Sequence;
  send(To, Target, std::move(M));
  return Sequence;
}

void Membership::Impl::sendIndirectProbes() {
  Probe->SentIndirect = true;
  for (const DaemonId &Helper :
       randomPeers(Options.IndirectProbes, Probe->Target.Host)) {
    GossipMessage M = message(GossipKind::IndirectProbe, Probe->Sequence);
    M.Target = Probe->Target;
    M.TargetGossip = Probe->To;
    ++Probe->Helpers;
    send(Table.find(Helper.Host)->Update.Who.Gossip, Helper, std::move(M));
  }
}

void Membership::Impl::onProbe(const GossipMessage &M, Instant Now) {
  if (!Replies.take(Now))
    return;
  send(M.Sender.Who.Gossip, M.Sender.Who.Id,
       message(GossipKind::Ack, M.Sequence));
}

void Membership::Impl::onAck(const GossipMessage &M, Instant Now) {
  const HostId &From = M.Sender.Who.Id.Host;
  bool Direct = Probe && From == Probe->Target.Host;
  bool Relayed = Probe && M.Target.Host == Probe->Target.Host;
  if (Probe && M.Sequence == Probe->Sequence && (Direct || Relayed)) {
    if (Direct)
      observeRoundTrip(Now - Probe->SentAt);
    Probe.reset();
    improveHealth();
    return;
  }
  auto It = std::ranges::find(HelperProbes, M.Sequence, &HelperProbe::Sequence);
  if (It == HelperProbes.end() || It->Target.Host != From)
    return;
  GossipMessage Relay = message(GossipKind::Ack, It->RequesterSequence);
  Relay.Target = M.Sender.Who.Id;
  Relay.Updates.push_back(Table.find(From)->Update);
  send(It->Requester, It->RequesterId, std::move(Relay));
  HelperProbes.erase(It);
}

void Membership::Impl::onIndirectProbe(const GossipMessage &M, Instant Now) {
  if (HelperProbes.size() >= MaxHelperProbes || !Replies.take(Now))
    return;
  std::uint64_t Sequence = sendProbe(M.TargetGossip, M.Target);
  HelperProbes.push_back({Sequence, M.Target, M.Sender.Who.Gossip,
                          M.Sender.Who.Id, M.Sequence, Now + NackAfter});
}

void Membership::Impl::tickHelpers(Instant Now) {
  for (HelperProbe &H : HelperProbes) {
    if (H.Nacked || Now < H.NackAt)
      continue;
    H.Nacked = true;
    GossipMessage M = message(GossipKind::Nack, H.RequesterSequence);
    M.Target = H.Target;
    send(H.Requester, H.RequesterId, std::move(M));
  }
  while (!HelperProbes.empty() &&
         Now >= HelperProbes.front().NackAt + LateAckWindow)
    HelperProbes.pop_front();
}

void Membership::Impl::onNack(const GossipMessage &M) {
  if (Probe && M.Sequence == Probe->Sequence)
    ++Probe->Nacks;
}

//===----------------------------------------------------------------------===//
// Suspects and tombstones.
//===----------------------------------------------------------------------===//

void Membership::Impl::tickSuspects(Instant Now) {
  if (Now < AccuseFrom)
    return;
  std::vector<HostId> Due;
  const MemberRecord *ToProbe = nullptr;
  for (const HostId &Host : Table.suspects()) {
    const MemberRecord &R = *Table.find(Host);
    Duration Silent = Now - R.SuspectedAt;
    Duration Limit = suspicionTimeout(R);
    if (Silent >= Limit)
      Due.push_back(Host);
    else if (!R.Probed && !ToProbe && Silent >= Limit / 2)
      ToProbe = &R;
  }
  if (ToProbe)
    probeSuspect(ToProbe->Update.Who);
  for (const HostId &Host : Due) {
    const MemberRecord &R = *Table.find(Host);
    emitEvent(
        MembershipEventKind::Failed, R.Update.Who.Id, R.Update.Accuser,
        fmt::format("suspected by {} daemons, last {}; no refutation in {} "
                    "ms; last heard here {} ms ago",
                    R.Accusers.size(), R.Update.Accuser.str(),
                    toMillis(Now - R.SuspectedAt), toMillis(Now - R.HeardAt)));
    Table.setFailed(Host, Self.Who.Id.Host, Now);
    Broadcasts.add(Host);
  }
}

/// A refutation may be delayed by many other updates, as after a partition. So
/// every daemon probes a suspect itself before it marks it Failed: the probe
/// carries the accusation and the answer the refutation. At most one suspect
/// is probed per tick.
void Membership::Impl::probeSuspect(const Member &Who) {
  Table.setProbed(Who.Id.Host);
  sendProbe(Who.Gossip, Who.Id);
}

/// Twice the minimum with one accuser, falling to the minimum with four: a
/// single accuser may be slow itself (Lifeguard's dynamic suspicion timeout).
Duration Membership::Impl::suspicionTimeout(const MemberRecord &R) const {
  double Members = static_cast<double>(std::max<std::size_t>(Table.live(), 10));
  double MinTimeout =
      Options.SuspicionPeriods * std::log10(Members) * toMillisF(meanPeriod());
  std::size_t Others = Table.live() > 2 ? Table.live() - 2 : 0;
  std::size_t Possible = std::min(MaxAccusers - 1, Others);
  double Factor = 1;
  if (Possible > 0)
    Factor = std::max(1.0, 2 - std::log(double(R.Accusers.size())) /
                                   std::log(double(Possible + 1)));
  Factor *= 1 + double(HealthScore) / MaxHealthScore;
  return fromMillisF(MinTimeout * Factor);
}

/// Probes Failed members, so that regions merge after a partition. All daemons
/// together probe one such member a few times per period, so that neither a
/// dead host nor a region that comes back is flooded.
void Membership::Impl::tickTombstones(Instant Now) {
  std::vector<HostId> Old;
  std::vector<const MemberRecord *> Failed;
  bool Probing = Now >= NextTombstoneAt;
  bool Expiring = Now - LastExpiryAt >= ExpiryPeriod;
  if (!Probing && !Expiring)
    return;
  for (const HostId &Host : Table.tombstones()) {
    const MemberRecord &R = *Table.find(Host);
    if (Now - R.DeadSince >= Options.TombstoneTime)
      Old.push_back(Host);
    else if (visibleState(R) == MemberState::Failed)
      Failed.push_back(&R);
  }
  if (Probing) {
    double Dead = std::max(1.0, static_cast<double>(Failed.size()));
    double Factor = std::max(1.0, static_cast<double>(Table.live()) /
                                      (SendersPerTombstone * Dead));
    double Period = toMillisF(Options.TombstoneProbePeriod) * Factor;
    NextTombstoneAt = Now + fromMillisF(Period * (0.5 + uniform01(Rng)));
    if (!Failed.empty()) {
      const MemberRecord &R = *Failed[below(Rng, Failed.size())];
      sendProbe(R.Update.Who.Gossip, R.Update.Who.Id);
    }
  }
  if (!Expiring)
    return;
  LastExpiryAt = Now;
  for (const HostId &Host : Old) {
    emitEvent(MembershipEventKind::Forgotten, Table.find(Host)->Update.Who.Id,
              HostId(), "not heard from until the tombstone expired");
    Broadcasts.remove(Host);
    Table.forget(Host);
  }
}

//===----------------------------------------------------------------------===//
// Local health, round-trip times and selection of peers.
//===----------------------------------------------------------------------===//

void Membership::Impl::worsenHealth() {
  HealthScore = std::min(HealthScore + 1, MaxHealthScore);
}

void Membership::Impl::improveHealth() {
  if (HealthScore > 0)
    --HealthScore;
}

void Membership::Impl::observeRoundTrip(Duration Rtt) {
  Duration Off = std::max(Rtt - SmoothedRtt, SmoothedRtt - Rtt);
  RttDeviation += (Off - RttDeviation) / DeviationDivisor;
  SmoothedRtt += (Rtt - SmoothedRtt) / RttDivisor;
}

Duration Membership::Impl::probeTimeout() const {
  Duration Wait = SmoothedRtt + 4 * RttDeviation;
  Wait = std::clamp(Wait, Options.MinProbeTimeout, Options.MaxProbeTimeout);
  return Wait * (1 + HealthScore);
}

Duration Membership::Impl::meanPeriod() const {
  return (Options.MinPeriod + Options.MaxPeriod) / 2;
}

/// The least time from the last answer of a member until anyone marks it
/// Failed.
Duration Membership::Impl::minFailTime() const {
  return fromMillisF(Options.SuspicionPeriods * toMillisF(meanPeriod()));
}

void Membership::Impl::insertIntoOrder(const HostId &Host) {
  if (!includeInRound(Table.find(Host)->Update.Who.Reg, regionSizes()))
    return;
  std::size_t Left = Order.size() - NextInOrder;
  std::size_t At = NextInOrder + below(Rng, Left + 1);
  Order.insert(Order.begin() + static_cast<std::ptrdiff_t>(At), Host);
}

const MemberRecord *Membership::Impl::nextTarget() {
  // At most every other probe, so that requested probes, however many, do not
  // starve the regular round.
  const MemberRecord *R = LastWasRequested ? nullptr : nextRequested();
  LastWasRequested = R != nullptr;
  return R ? R : nextInRound();
}

void Membership::Impl::requestProbe(const HostId &Host) {
  if (ProbeRequests.size() < MaxProbeRequests &&
      std::ranges::find(ProbeRequests, Host) == ProbeRequests.end())
    ProbeRequests.push_back(Host);
}

const MemberRecord *Membership::Impl::nextRequested() {
  while (!ProbeRequests.empty()) {
    const MemberRecord *R = Table.find(ProbeRequests.front());
    ProbeRequests.pop_front();
    if (R && isLive(*R))
      return R;
  }
  return nullptr;
}

/// Number of live members by region.
std::map<Region, std::size_t> Membership::Impl::regionSizes() const {
  std::map<Region, std::size_t> Sizes;
  for (const auto &[Host, R] : Table.records())
    if (isLive(R))
      ++Sizes[R.Update.Who.Reg];
  return Sizes;
}

/// Returns true if a member of \p Reg takes part in this round.
bool Membership::Impl::includeInRound(
    const Region &Reg, const std::map<Region, std::size_t> &Sizes) {
  auto IsSmall = [&](const Region &R) {
    auto Size = Sizes.find(R);
    return Size == Sizes.end() || Size->second <= SmallRegionSize;
  };
  // With few members in its own region a daemon would probe almost nobody.
  return Reg == Self.Who.Reg || IsSmall(Reg) || IsSmall(Self.Who.Reg) ||
         below(Rng, Options.CrossRegionProbeRounds) == 0;
}

/// Returns the next member of the round. Each round has a new random order of
/// the live peers, which bounds the time between two probes of one member.
/// Members of other regions take part in some rounds only: their own region
/// probes them, and cross-region traffic would grow with the fleet.
const MemberRecord *Membership::Impl::nextInRound() {
  for (int Round = 0; Round < 2; ++Round) {
    while (NextInOrder < Order.size()) {
      const MemberRecord *R = Table.find(Order[NextInOrder++]);
      if (R && isLive(*R))
        return R;
    }
    Order.clear();
    NextInOrder = 0;
    std::map<Region, std::size_t> Sizes = regionSizes();
    for (const auto &[Host, R] : Table.records())
      if (Host != Self.Who.Id.Host && isLive(R) &&
          includeInRound(R.Update.Who.Reg, Sizes))
        Order.push_back(Host);
    for (std::size_t N = Order.size(); N > 1; --N)
      std::swap(Order[N - 1], Order[below(Rng, N)]);
  }
  return nullptr;
}

std::vector<DaemonId> Membership::Impl::randomPeers(std::size_t Count,
                                                    const HostId &Except) {
  constexpr std::size_t TriesPerPeer = 6;
  std::vector<DaemonId> Peers;
  for (std::size_t Try = 0; Try < TriesPerPeer * Count; ++Try) {
    if (Order.empty() || Peers.size() == Count)
      break;
    const HostId &Host = Order[below(Rng, Order.size())];
    const MemberRecord *R = Table.find(Host);
    bool Usable = R && isLive(*R) && Host != Except;
    if (Usable && std::ranges::find(Peers, R->Update.Who.Id) == Peers.end())
      Peers.push_back(R->Update.Who.Id);
  }
  return Peers;
}

} // namespace shallot
