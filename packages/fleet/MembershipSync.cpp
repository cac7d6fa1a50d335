#include "fleet/MembershipState.h"

#include <algorithm>
#include <bit>

namespace shallot {

using namespace internal;

namespace {

/// Comparisons waiting for their reply at a time, and how long each waits.
constexpr std::size_t MaxSyncs = 8;
constexpr Duration SyncTimeout = Seconds(3);

/// Members drawn until one of the own region is among them: enough in a fleet
/// of seven regions nine times out of ten.
constexpr std::size_t ComparisonCandidates = 16;

/// Part of the comparisons that may be with another region. Enough for 295
/// daemons in two regions that start together to agree as soon as with all:
/// after 3.3 s, and 3.5 s without a preference (virtual time, one seed).
constexpr double FarComparisons = 0.125;

/// Seeds asked at a time by a daemon that has not heard from anybody.
constexpr std::size_t SeedsAtStart = 3;

/// All daemons together ask one seed that is no member about this often in
/// TombstoneProbePeriod, whatever the fleet's size.
constexpr double AskersOfSeed = 4;

/// In a large fleet something always changes; this many of its 64 parts may
/// differ in a picture that is good enough to start with.
constexpr int UnsettledBuckets = 2;
constexpr std::size_t LargeFleet = 64;

} // namespace

void Membership::Impl::tickSync(Instant Now) {
  std::erase_if(Syncs, [&](const RunningSync &S) { return Now >= S.Until; });
  if (Now < NextSyncAt)
    return;
  Duration Period = TablesEqual ? Options.SyncPeriod : meanPeriod();
  NextSyncAt = Now + fromMillisF(toMillisF(Period) * (0.5 + uniform01(Rng)));
  if (std::optional<DaemonId> Peer = comparisonPeer())
    sendSyncRequest(Table.find(Peer->Host)->Fact.Who.Gossip, *Peer, Now);
}

/// Mostly one of the own region: what one of it has learned from another region
/// reaches the rest on the near links.
std::optional<DaemonId> Membership::Impl::comparisonPeer() {
  std::vector<DaemonId> Peers = randomPeers(ComparisonCandidates);
  if (Peers.empty())
    return std::nullopt;
  auto Near = [&](const DaemonId &Id) {
    return Table.find(Id.Host)->Fact.Who.Reg == Self.Who.Reg;
  };
  auto Found = std::ranges::find_if(Peers, Near);
  bool Far = Found == Peers.end() || uniform01(Rng) < FarComparisons;
  return Far ? Peers.front() : *Found;
}

void Membership::Impl::sendSyncRequest(const Endpoint &To,
                                       const DaemonId &Target, Instant Now) {
  GossipMessage M = message(GossipKind::SyncRequest, NextSequence++);
  M.Target = Target;
  M.Digests.assign(Table.digests().begin(), Table.digests().end());
  if (Syncs.size() >= MaxSyncs)
    Syncs.erase(Syncs.begin());
  Syncs.push_back({M.Sequence, Now + SyncTimeout});
  send(To, Target, std::move(M));
}

void Membership::Impl::onSyncRequest(const GossipMessage &M, Instant Now) {
  if (!Replies.take(Now))
    return;
  std::uint64_t Differ = 0;
  for (std::size_t B = 0; B < GossipBuckets; ++B)
    if (M.Digests[B] != Table.digests()[B])
      Differ |= std::uint64_t(1) << B;
  sendBuckets(GossipKind::SyncReply, M, Differ, Differ, Now);
}

void Membership::Impl::onSyncReply(const GossipMessage &M, Instant Now) {
  auto It = std::ranges::find(Syncs, M.Sequence, &RunningSync::Sequence);
  if (It == Syncs.end())
    return; // A further datagram of a reply that was taken already.
  Syncs.erase(It);
  int Parts = std::popcount(M.Buckets);
  TablesEqual =
      Parts == 0 || (Table.live() >= LargeFleet && Parts <= UnsettledBuckets);
  if (Parts == 0)
    ageNews();
  if (Parts != 0) {
    NextSyncAt = std::min(NextSyncAt, Now + meanPeriod());
    sendBuckets(GossipKind::SyncPush, M, M.Buckets, M.Buckets, Now);
  }
  heardAnew(M.Sender.Who.Id.Host, M.Sequence, Now);
}

/// Sends the members of the parts in \p Mask, in as many datagrams as the rate
/// allows: the first one of a reply always, so that the asker learns how much
/// differs. It begins at a random part, so that repeated comparisons get
/// through a large table.
void Membership::Impl::sendBuckets(GossipKind Kind, const GossipMessage &To,
                                   std::uint64_t Mask, std::uint64_t Wanted,
                                   Instant Now) {
  std::array<std::vector<const MemberRecord *>, GossipBuckets> Parts;
  if (Mask != 0)
    for (const auto &[Host, R] : Table.records())
      if (Host != Self.Who.Id.Host && Host != To.Sender.Who.Id.Host)
        Parts[bucketOf(Host)].push_back(&R);
  GossipMessage M = message(Kind, To.Sequence);
  M.Buckets = Wanted;
  std::size_t Bytes = wireBytes(M);
  const std::size_t Empty = Bytes;
  bool MaySend = Kind == GossipKind::SyncReply || SyncDatagrams.take(Now);
  auto Flush = [&] {
    send(To.Sender.Who.Gossip, To.Sender.Who.Id, M);
    M.Updates.clear();
    Bytes = Empty;
    MaySend = SyncDatagrams.take(Now);
  };
  std::size_t First = below(Rng, GossipBuckets);
  for (std::size_t N = 0; N < GossipBuckets; ++N) {
    std::size_t B = (First + N) % GossipBuckets;
    if (!(Mask >> B & 1))
      continue;
    for (const MemberRecord *R : Parts[B]) {
      std::size_t More = wireBytes(R->Fact);
      if (Bytes + More > MaxGossipBytes && MaySend)
        Flush();
      if (!MaySend)
        return;
      Bytes += More;
      M.Updates.push_back(R->Fact);
    }
  }
  bool Owed = Kind == GossipKind::SyncReply && Mask == 0;
  if (MaySend && (Owed || !M.Updates.empty()))
    send(To.Sender.Who.Gossip, To.Sender.Who.Id, std::move(M));
}

//===----------------------------------------------------------------------===//
// Seeds and the platform's host list.
//===----------------------------------------------------------------------===//

void Membership::Impl::tickSeeds(Instant Now) {
  if (Now < NextSeedAt)
    return;
  std::vector<Endpoint> Unknown = unknownSeeds();
  bool Alone = peersHeard() == 0;
  double Askers = static_cast<double>(Table.live());
  double Count = std::max<double>(1, static_cast<double>(Unknown.size()));
  double Factor = std::max(1.0, Askers / (AskersOfSeed * Count));
  Duration Period = Alone ? meanPeriod() : Options.TombstoneProbePeriod;
  double Ms = toMillisF(Period) * (Alone ? 1 : Factor);
  NextSeedAt = Now + fromMillisF(Ms * (0.5 + uniform01(Rng)));
  std::size_t AtOnce = std::min(Alone ? SeedsAtStart : 1, Unknown.size());
  for (std::size_t N = 0; N < AtOnce; ++N)
    sendSyncRequest(Unknown[NextSeed++ % Unknown.size()], DaemonId(), Now);
  if (!SeedsTried && NextSeed >= Unknown.size()) {
    SeedsTried = true;
    SeedsTriedAt = Now;
  }
}

/// Seeds at which no member is known. Failed members are probed as such.
std::vector<Endpoint> Membership::Impl::unknownSeeds() const {
  std::vector<Endpoint> Unknown;
  for (const Endpoint &E : Seeds)
    if (E != Self.Who.Gossip && !isLiveMemberAt(E))
      Unknown.push_back(E);
  for (const ListedHost &H : Listed) {
    const MemberRecord *R = Table.find(H.Host);
    if (!R || shownState(*R) == MemberState::Left)
      Unknown.push_back(H.Gossip);
  }
  return Unknown;
}

bool Membership::Impl::isLiveMemberAt(const Endpoint &E) const {
  return std::ranges::any_of(Table.records(), [&](const auto &Entry) {
    return Entry.second.Fact.Who.Gossip == E && isLive(Entry.second);
  });
}

void Membership::Impl::takeHostList(const std::vector<ListedHost> &Hosts) {
  Listed.assign(Hosts.begin(),
                Hosts.begin() + static_cast<std::ptrdiff_t>(
                                    std::min(Hosts.size(), MaxMembers)));
  std::ranges::sort(Listed, {}, &ListedHost::Host);
  for (const auto &[Host, R] : Table.records())
    applyListed(Host);
}

const ListedHost *Membership::Impl::listed(const HostId &Host) const {
  auto It = std::ranges::lower_bound(Listed, Host, {}, &ListedHost::Host);
  return It != Listed.end() && It->Host == Host ? &*It : nullptr;
}

/// The list lags, so its "leaving" holds for the run that is known when it is
/// read: a later run of the host starts unmarked (MemberTable). This daemon is
/// never marked: its own planned stop comes from its operator.
void Membership::Impl::applyListed(const HostId &Host) {
  if (Host == Self.Who.Id.Host)
    return;
  const ListedHost *L = listed(Host);
  const MemberRecord *R = Table.find(Host);
  bool Leaving = L && L->Leaving;
  if (R->ListedLeaving == Leaving)
    return;
  Table.setListedLeaving(Host, Leaving);
  if (Leaving)
    event(MembershipEventKind::Leaving, R->Fact.Who.Id, HostId(),
          "the platform's host list");
}

} // namespace shallot
