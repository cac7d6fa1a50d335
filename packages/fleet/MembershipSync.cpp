#include "fleet/MembershipState.h"

#include <algorithm>
#include <bit>

namespace shallot {

using namespace internal;

namespace {

/// The most table comparisons in flight, and the timeout of each.
constexpr std::size_t MaxPendingSyncs = 8;
constexpr Duration SyncTimeout = Seconds(3);

/// Members sampled to find one of the own region: succeeds nine times out of
/// ten in a fleet of seven regions.
constexpr std::size_t SyncCandidates = 16;

/// Fraction of comparisons that may be with another region. With it, 295
/// daemons in two regions that start together converge after 3.3 s, and after
/// 3.5 s without a preference (simulated time, one seed).
constexpr double CrossRegionSyncFraction = 0.125;

/// Seeds asked at a time by a daemon that has not heard from any peer.
constexpr std::size_t SeedsPerAttempt = 3;

/// Period of these attempts in the first EarlySeedTime after the first one. The
/// hosts of a fleet that lost power start within a second, the seeds not first.
/// Later the period is that of probes: a seed that stays away for longer has
/// failed, and many daemons may ask it.
constexpr Duration EarlySeedPeriod = Millis(200);
constexpr Duration EarlySeedTime = Seconds(1);

/// About the most requests that all daemons together send to one seed that is
/// no member per TombstoneProbePeriod, independent of the fleet size. Daemons
/// that have not heard from any peer ask more often.
constexpr double SendersPerSeed = 4;

/// A large fleet is always changing. The view of a daemon that starts may
/// differ from its peer's in this many of the 64 buckets.
constexpr int MaxDifferingBuckets = 2;
constexpr std::size_t LargeFleet = 64;

} // namespace

void Membership::Impl::tickSync(Instant Now) {
  std::erase_if(PendingSyncs,
                [&](const PendingSync &S) { return Now >= S.Until; });
  if (Now < NextSyncAt)
    return;
  Duration Period = TablesEqual ? Options.SyncPeriod : meanPeriod();
  NextSyncAt = Now + fromMillisF(toMillisF(Period) * (0.5 + uniform01(Rng)));
  if (std::optional<DaemonId> Peer = syncPeer())
    sendSyncRequest(Table.find(Peer->Host)->Update.Who.Gossip, *Peer, Now);
}

/// Prefers members of the own region: what one of them has learned from another
/// region spreads over the local links.
std::optional<DaemonId> Membership::Impl::syncPeer() {
  std::vector<DaemonId> Peers = randomPeers(SyncCandidates);
  if (Peers.empty())
    return std::nullopt;
  auto SameRegion = [&](const DaemonId &Id) {
    return Table.find(Id.Host)->Update.Who.Reg == Self.Who.Reg;
  };
  auto Found = std::ranges::find_if(Peers, SameRegion);
  bool CrossRegion =
      Found == Peers.end() || uniform01(Rng) < CrossRegionSyncFraction;
  return CrossRegion ? Peers.front() : *Found;
}

void Membership::Impl::sendSyncRequest(const Endpoint &To,
                                       const DaemonId &Target, Instant Now) {
  GossipMessage M = message(GossipKind::SyncRequest, NextSequence++);
  M.Target = Target;
  M.Digests.assign(Table.digests().begin(), Table.digests().end());
  if (PendingSyncs.size() >= MaxPendingSyncs)
    PendingSyncs.erase(PendingSyncs.begin());
  PendingSyncs.push_back({M.Sequence, Now + SyncTimeout});
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
  auto It = std::ranges::find(PendingSyncs, M.Sequence, &PendingSync::Sequence);
  if (It == PendingSyncs.end())
    return; // Another datagram of a reply that was already handled.
  PendingSyncs.erase(It);
  int Parts = std::popcount(M.Buckets);
  TablesEqual = Parts == 0 ||
                (Table.live() >= LargeFleet && Parts <= MaxDifferingBuckets);
  if (Parts == 0)
    ageBroadcasts();
  if (Parts != 0) {
    NextSyncAt = std::min(NextSyncAt, Now + meanPeriod());
    sendBuckets(GossipKind::SyncPush, M, M.Buckets, M.Buckets, Now);
  }
  onFreshReply(M.Sender.Who.Id.Host, M.Sequence, Now);
}

/// Sends the members of the buckets in \p Mask in as many datagrams as the rate
/// limit allows. The first datagram of a reply is always sent, so that the
/// requester learns how much differs. Starts at a random bucket, so that
/// repeated comparisons cover a large table.
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
      std::size_t More = wireBytes(R->Update);
      if (Bytes + More > MaxGossipBytes && MaySend)
        Flush();
      if (!MaySend)
        return;
      Bytes += More;
      M.Updates.push_back(R->Update);
    }
  }
  bool MustReply = Kind == GossipKind::SyncReply && Mask == 0;
  if (MaySend && (MustReply || !M.Updates.empty()))
    send(To.Sender.Who.Gossip, To.Sender.Who.Id, std::move(M));
}

//===----------------------------------------------------------------------===//
// Seeds and the platform's host list.
//===----------------------------------------------------------------------===//

void Membership::Impl::tickSeeds(Instant Now) {
  if (Now < NextSeedAt)
    return;
  std::vector<Seed> Unknown = unknownSeeds();
  bool IsAlone = peersHeard() == 0;
  double Senders = static_cast<double>(Table.live());
  double Count = std::max<double>(1, static_cast<double>(Unknown.size()));
  double Factor = std::max(1.0, Senders / (SendersPerSeed * Count));
  bool Early = !SeedsTried || Now - SeedsTriedAt < EarlySeedTime;
  Duration Alone =
      Early ? std::min(EarlySeedPeriod, meanPeriod()) : meanPeriod();
  Duration Period = IsAlone ? Alone : Options.TombstoneProbePeriod;
  double Ms = toMillisF(Period) * (IsAlone ? 1 : Factor);
  NextSeedAt = Now + fromMillisF(Ms * (0.5 + uniform01(Rng)));
  std::size_t AtOnce = std::min(IsAlone ? SeedsPerAttempt : 1, Unknown.size());
  for (std::size_t N = 0; N < AtOnce; ++N) {
    const Seed &S = Unknown[NextSeed++ % Unknown.size()];
    sendSyncRequest(S.At, S.Who, Now);
  }
  if (!SeedsTried && NextSeed >= Unknown.size()) {
    SeedsTried = true;
    SeedsTriedAt = Now;
  }
}

/// Seeds without a live member, and listed hosts that are no live members. A
/// listed host that was lost may be back at another address than its tombstone
/// has.
std::vector<Membership::Impl::Seed> Membership::Impl::unknownSeeds() const {
  std::vector<Seed> Unknown;
  for (const Endpoint &E : Seeds)
    if (E != Self.Who.Gossip && !isLiveMemberAt(E))
      Unknown.push_back({E, DaemonId()});
  for (const ListedHost &H : Listed) {
    const MemberRecord *R = Table.find(H.Host);
    if (!R || !isLive(*R))
      Unknown.push_back({H.Gossip, {H.Host, 0}});
  }
  return Unknown;
}

bool Membership::Impl::isLiveMemberAt(const Endpoint &E) const {
  return std::ranges::any_of(Table.records(), [&](const auto &Entry) {
    return Entry.second.Update.Who.Gossip == E && isLive(Entry.second);
  });
}

void Membership::Impl::applyHostList(const std::vector<ListedHost> &Hosts) {
  Listed.assign(Hosts.begin(),
                Hosts.begin() + static_cast<std::ptrdiff_t>(
                                    std::min(Hosts.size(), MaxMembers)));
  std::ranges::sort(Listed, {}, &ListedHost::Host);
  for (const auto &[Host, R] : Table.records())
    applyListedState(Host);
}

const ListedHost *Membership::Impl::findListed(const HostId &Host) const {
  auto It = std::ranges::lower_bound(Listed, Host, {}, &ListedHost::Host);
  return It != Listed.end() && It->Host == Host ? &*It : nullptr;
}

/// The host list lags, so its "leaving" only applies to the incarnation known
/// when the list is read; a later incarnation starts unmarked (MemberTable).
/// This daemon is never marked: its own planned stop comes from its operator.
void Membership::Impl::applyListedState(const HostId &Host) {
  if (Host == Self.Who.Id.Host)
    return;
  const ListedHost *L = findListed(Host);
  const MemberRecord *R = Table.find(Host);
  bool Leaving = L && L->Leaving;
  if (R->ListedLeaving == Leaving)
    return;
  Table.setListedLeaving(Host, Leaving);
  if (Leaving)
    emitEvent(MembershipEventKind::Leaving, R->Update.Who.Id, HostId(),
              "the platform's host list");
}

} // namespace shallot
