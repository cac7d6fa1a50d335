#include "fleet/MembershipState.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace shallot {

using namespace internal;

namespace {

/// Part of the period that is left for the helpers' answers.
constexpr double DirectShare = 0.45;

/// A helper says after this time that it got no answer either. The asker waits
/// for at least 275 ms: enough for this, a tick and the way.
constexpr Duration NackAfter = Millis(150);
/// A helper passes on answers that come later than its Nack for this long.
constexpr Duration HelperTime = Seconds(1);
/// The most probes made for others at a time.
constexpr std::size_t MaxHelping = 64;

/// Members to be probed out of turn at a time.
constexpr std::size_t MaxDoubted = 64;

/// All daemons together send about this many probes to one Failed member in
/// TombstoneProbePeriod, whatever the fleet's size.
constexpr double ProbersOfTombstone = 4;

constexpr Duration ExpiryPeriod = Seconds(1);

/// A region of so many live members is probed from everywhere in each round,
/// and probes everybody.
constexpr std::size_t FewMembers = 4;

/// Weights of a new sample, as in TCP (RFC 6298).
constexpr int RttShare = 8;
constexpr int DeviationShare = 4;

} // namespace

void Membership::Impl::tickProbes(Instant Now) {
  if (Probe && !Probe->AskedHelpers && Now - Probe->SentAt >= Probe->Timeout)
    askHelpers();
  if (Now < NextPeriodAt)
    return;
  endPeriod(Now);
  startPeriod(Now);
}

/// Accuses the member that answered neither us nor the helpers. Not when it
/// spoke to us or raised its version meanwhile: then it is there and only the
/// way to it is not.
void Membership::Impl::endPeriod(Instant Now) {
  if (!Probe)
    return;
  RunningProbe Done = *std::exchange(Probe, std::nullopt);
  if (Done.Helpers == 0 || Done.Nacks < Done.Helpers)
    worsenHealth();
  const MemberRecord *R = Table.find(Done.Target.Host);
  bool Same = R && R->Fact.Who.Id == Done.Target &&
              R->Fact.Version == Done.Version && isLive(*R);
  if (Stale || !Same || R->HeardAt > Done.SentAt)
    return;
  MemberUpdate Accusation = R->Fact;
  Accusation.ObservedHealth = Health::Suspect;
  Accusation.Accuser = Self.Who.Id.Host;
  std::size_t EventsBefore = Out.Events.size();
  learn(Accusation, Self.Who.Id.Host, Now);
  if (Out.Events.size() > EventsBefore)
    Out.Events.back().Evidence =
        fmt::format("no answer in {} ms; {} of {} helpers had none either",
                    toMillis(Now - Done.SentAt), Done.Nacks, Done.Helpers);
}

void Membership::Impl::startPeriod(Instant Now) {
  double Spread = toMillisF(Options.MaxPeriod - Options.MinPeriod);
  Duration Period = Options.MinPeriod + fromMillisF(uniform01(Rng) * Spread);
  Period *= 1 + Slowness;
  NextPeriodAt = Now + Period;
  const MemberRecord *Target = nextTarget();
  if (!Target)
    return;
  const Member &Who = Target->Fact.Who;
  Duration Most = fromMillisF(DirectShare * toMillisF(Period));
  Probe = RunningProbe{Who.Id, Who.Gossip, Target->Fact.Version,
                       0,      Now,        std::min(probeTimeout(), Most)};
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

void Membership::Impl::askHelpers() {
  Probe->AskedHelpers = true;
  for (const DaemonId &Helper :
       randomPeers(Options.IndirectProbes, Probe->Target.Host)) {
    GossipMessage M = message(GossipKind::IndirectProbe, Probe->Sequence);
    M.Target = Probe->Target;
    M.TargetGossip = Probe->To;
    ++Probe->Helpers;
    send(Table.find(Helper.Host)->Fact.Who.Gossip, Helper, std::move(M));
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
  bool PassedOn = Probe && M.Target.Host == Probe->Target.Host;
  if (Probe && M.Sequence == Probe->Sequence && (Direct || PassedOn)) {
    if (Direct)
      observeRoundTrip(Now - Probe->SentAt);
    Probe.reset();
    improveHealth();
    return;
  }
  auto It = std::ranges::find(Helping, M.Sequence, &HelperProbe::Sequence);
  if (It == Helping.end() || It->Target.Host != From)
    return;
  GossipMessage Pass = message(GossipKind::Ack, It->AskerSequence);
  Pass.Target = M.Sender.Who.Id;
  Pass.Updates.push_back(Table.find(From)->Fact);
  send(It->Asker, It->AskerId, std::move(Pass));
  Helping.erase(It);
}

void Membership::Impl::onIndirectProbe(const GossipMessage &M, Instant Now) {
  if (Helping.size() >= MaxHelping || !Replies.take(Now))
    return;
  std::uint64_t Sequence = sendProbe(M.TargetGossip, M.Target);
  Helping.push_back({Sequence, M.Target, M.Sender.Who.Gossip, M.Sender.Who.Id,
                     M.Sequence, Now + NackAfter});
}

void Membership::Impl::tickHelpers(Instant Now) {
  for (HelperProbe &H : Helping) {
    if (H.Nacked || Now < H.NackAt)
      continue;
    H.Nacked = true;
    GossipMessage M = message(GossipKind::Nack, H.AskerSequence);
    M.Target = H.Target;
    send(H.Asker, H.AskerId, std::move(M));
  }
  while (!Helping.empty() && Now >= Helping.front().NackAt + HelperTime)
    Helping.pop_front();
}

void Membership::Impl::onNack(const GossipMessage &M) {
  if (Probe && M.Sequence == Probe->Sequence)
    ++Probe->Nacks;
}

//===----------------------------------------------------------------------===//
// Suspects and tombstones.
//===----------------------------------------------------------------------===//

void Membership::Impl::tickSuspects(Instant Now) {
  if (Stale)
    return;
  std::vector<HostId> Due;
  const MemberRecord *ToAsk = nullptr;
  for (const HostId &Host : Table.suspects()) {
    const MemberRecord &R = *Table.find(Host);
    Duration Silent = Now - R.SuspectedAt;
    Duration Limit = suspicionTimeout(R);
    if (Silent >= Limit)
      Due.push_back(Host);
    else if (!R.Probed && !ToAsk && Silent >= Limit / 2)
      ToAsk = &R;
  }
  if (ToAsk)
    askSuspect(ToAsk->Fact.Who);
  for (const HostId &Host : Due) {
    const MemberRecord &R = *Table.find(Host);
    event(MembershipEventKind::Failed, R.Fact.Who.Id, R.Fact.Accuser,
          fmt::format("suspected by {} daemons, last {}; no refutation in {} "
                      "ms; last heard here {} ms ago",
                      R.Accusers.size(), R.Fact.Accuser.str(),
                      toMillis(Now - R.SuspectedAt),
                      toMillis(Now - R.HeardAt)));
    Table.setFailed(Host, Self.Who.Id.Host, Now);
    News.add(Host);
  }
}

/// A refutation may be late in a crowd of news, as after a split. So every
/// daemon asks a suspect itself before it fails it: the probe carries the
/// accusation and the answer the refutation. One a tick, however many there
/// are.
void Membership::Impl::askSuspect(const Member &Who) {
  Table.setProbed(Who.Id.Host);
  sendProbe(Who.Gossip, Who.Id);
}

/// From twice the least time when one daemon accuses down to it when four do:
/// one accuser may be slow itself (Lifeguard's dynamic suspicion).
Duration Membership::Impl::suspicionTimeout(const MemberRecord &R) const {
  double Members = static_cast<double>(std::max<std::size_t>(Table.live(), 10));
  double Least =
      Options.SuspicionPeriods * std::log10(Members) * toMillisF(meanPeriod());
  std::size_t Others = Table.live() > 2 ? Table.live() - 2 : 0;
  std::size_t Possible = std::min(MaxAccusers - 1, Others);
  double Factor = 1;
  if (Possible > 0)
    Factor = std::max(1.0, 2 - std::log(double(R.Accusers.size())) /
                                   std::log(double(Possible + 1)));
  Factor *= 1 + double(Slowness) / MaxSlowness;
  return fromMillisF(Least * Factor);
}

/// Failed members are asked now and then whether they are back, so that
/// regions that lost each other meet again. All daemons together ask one such
/// member a few times in the period, so that neither a dead host nor a region
/// that comes back meets a storm.
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
    else if (shownState(R) == MemberState::Failed)
      Failed.push_back(&R);
  }
  if (Probing) {
    double Dead = std::max(1.0, static_cast<double>(Failed.size()));
    double Factor = std::max(1.0, static_cast<double>(Table.live()) /
                                      (ProbersOfTombstone * Dead));
    double Period = toMillisF(Options.TombstoneProbePeriod) * Factor;
    NextTombstoneAt = Now + fromMillisF(Period * (0.5 + uniform01(Rng)));
    if (!Failed.empty()) {
      const MemberRecord &R = *Failed[below(Rng, Failed.size())];
      sendProbe(R.Fact.Who.Gossip, R.Fact.Who.Id);
    }
  }
  if (!Expiring)
    return;
  LastExpiryAt = Now;
  for (const HostId &Host : Old) {
    event(MembershipEventKind::Forgotten, Table.find(Host)->Fact.Who.Id,
          HostId(), "not heard of for the time that tombstones are kept");
    News.remove(Host);
    Table.forget(Host);
  }
}

//===----------------------------------------------------------------------===//
// Own health, round trips and choice of peers.
//===----------------------------------------------------------------------===//

void Membership::Impl::worsenHealth() {
  Slowness = std::min(Slowness + 1, MaxSlowness);
}

void Membership::Impl::improveHealth() {
  if (Slowness > 0)
    --Slowness;
}

void Membership::Impl::observeRoundTrip(Duration Rtt) {
  Duration Off = std::max(Rtt - SmoothedRtt, SmoothedRtt - Rtt);
  RttDeviation += (Off - RttDeviation) / DeviationShare;
  SmoothedRtt += (Rtt - SmoothedRtt) / RttShare;
}

Duration Membership::Impl::probeTimeout() const {
  Duration Wait = SmoothedRtt + 4 * RttDeviation;
  Wait = std::clamp(Wait, Options.MinProbeTimeout, Options.MaxProbeTimeout);
  return Wait * (1 + Slowness);
}

Duration Membership::Impl::meanPeriod() const {
  return (Options.MinPeriod + Options.MaxPeriod) / 2;
}

/// No member is Failed by anybody sooner after it fell silent.
Duration Membership::Impl::leastFailTime() const {
  return fromMillisF(Options.SuspicionPeriods * toMillisF(meanPeriod()));
}

void Membership::Impl::enterOrder(const HostId &Host) {
  if (!drawsProbe(Table.find(Host)->Fact.Who.Reg, regionSizes()))
    return;
  std::size_t Left = Order.size() - NextInOrder;
  std::size_t At = NextInOrder + below(Rng, Left + 1);
  Order.insert(Order.begin() + static_cast<std::ptrdiff_t>(At), Host);
}

const MemberRecord *Membership::Impl::nextTarget() {
  // Every other time at most, so that doubts, however many, do not keep the
  // others from being probed.
  const MemberRecord *R = LastWasDoubted ? nullptr : nextDoubted();
  LastWasDoubted = R != nullptr;
  return R ? R : nextInRound();
}

void Membership::Impl::doubt(const HostId &Host) {
  if (Doubted.size() < MaxDoubted &&
      std::ranges::find(Doubted, Host) == Doubted.end())
    Doubted.push_back(Host);
}

const MemberRecord *Membership::Impl::nextDoubted() {
  while (!Doubted.empty()) {
    const MemberRecord *R = Table.find(Doubted.front());
    Doubted.pop_front();
    if (R && isLive(*R))
      return R;
  }
  return nullptr;
}

/// Live members by region.
std::map<Region, std::size_t> Membership::Impl::regionSizes() const {
  std::map<Region, std::size_t> Sizes;
  for (const auto &[Host, R] : Table.records())
    if (isLive(R))
      ++Sizes[R.Fact.Who.Reg];
  return Sizes;
}

/// Whether a member of \p Reg is probed in this round.
bool Membership::Impl::drawsProbe(const Region &Reg,
                                  const std::map<Region, std::size_t> &Sizes) {
  auto Few = [&](const Region &R) {
    auto Size = Sizes.find(R);
    return Size == Sizes.end() || Size->second <= FewMembers;
  };
  // With few members in its own region a daemon would reach next to nobody.
  return Reg == Self.Who.Reg || Few(Reg) || Few(Self.Who.Reg) ||
         below(Rng, Options.CrossRegionProbeRounds) == 0;
}

/// Each live peer once in an order drawn anew for each round, so that the
/// longest time between two probes of one member is bounded. Members of other
/// regions take part in some rounds only: their own region probes them, and
/// traffic between regions would grow with the fleet.
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
          drawsProbe(R.Fact.Who.Reg, Sizes))
        Order.push_back(Host);
    for (std::size_t N = Order.size(); N > 1; --N)
      std::swap(Order[N - 1], Order[below(Rng, N)]);
  }
  return nullptr;
}

std::vector<DaemonId> Membership::Impl::randomPeers(std::size_t Count,
                                                    const HostId &Except) {
  constexpr std::size_t TriesEach = 6;
  std::vector<DaemonId> Peers;
  for (std::size_t Try = 0; Try < TriesEach * Count; ++Try) {
    if (Order.empty() || Peers.size() == Count)
      break;
    const HostId &Host = Order[below(Rng, Order.size())];
    const MemberRecord *R = Table.find(Host);
    bool Usable = R && isLive(*R) && Host != Except;
    if (Usable && std::ranges::find(Peers, R->Fact.Who.Id) == Peers.end())
      Peers.push_back(R->Fact.Who.Id);
  }
  return Peers;
}

} // namespace shallot
