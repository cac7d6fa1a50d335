#include "fleet/MembershipState.h"

#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace shallot {
namespace {

/// Limits the rate of replies to others; the usual rate is 2 per second.
constexpr double RepliesPerSecond = 40;
/// When a whole fleet starts at once, all of it asks the same seeds, and a
/// daemon without a reply knows no other member. 320 replies of 1,200 bytes
/// take a sixth of a second on a link of 20 Mbit/s.
constexpr double ReplyBurst = 320;

/// A tick that is this late indicates that this daemon is slow.
constexpr Duration LateTick = Millis(400);

/// Peers that must answer after a pause. More than one, because a single peer
/// may have been paused too, for example on the same rack.
constexpr std::size_t PeersAfterPause = 2;

/// Time for peers that run to be heard after a pause, before any is accused.
constexpr Duration ResumeGrace = Seconds(2);

/// The most peers tracked since the last pause; no caller needs a higher count.
constexpr std::size_t MaxPeersSinceResume = 64;

/// How long this daemon shows itself as Failed after it learns that others
/// considered it Failed: the time for its refutation to spread.
constexpr Duration SelfFailedTime = Seconds(3);

/// An update sent fewer than FreshSends times is fresh. Fresh updates are sent
/// to one member per FreshBroadcastPeriod, besides being piggybacked on probes:
/// 5 datagrams of at most 1,200 bytes per second, and none at rest.
constexpr unsigned FreshSends = 8;
constexpr Duration FreshBroadcastPeriod = Millis(200);

} // namespace

Membership::Impl::Impl(const MembershipOptions &Options, Member Self,
                       std::vector<Endpoint> Seeds, std::uint64_t RandomSeed,
                       Instant Now)
    : Options(Options), Self{std::move(Self)}, Rng(RandomSeed),
      Table(this->Self, Now), Replies(RepliesPerSecond, ReplyBurst, Now),
      SyncDatagrams(Options.SyncDatagramsPerSecond, Options.SyncBurst, Now),
      Seeds(std::move(Seeds)) {
  Duration First = fromMillisF(uniform01(Rng) * toMillisF(Options.MinPeriod));
  NextPeriodAt = NextSyncAt = Now + First;
  NextTombstoneAt = NextSeedAt = LastRunAt = LastJoinAt = LastExpiryAt = Now;
  NextCatchUpAt = NextBroadcastAt = Now;
}

//===----------------------------------------------------------------------===//
// Pauses.
//===----------------------------------------------------------------------===//

void Membership::Impl::detectPause(Instant Now) {
  Duration Gap = Now - LastRunAt;
  LastRunAt = std::max(LastRunAt, Now);
  if (Gap > Options.PauseThreshold)
    onResume(Gap, Now);
  else if (Gap > LateTick)
    worsenHealth();
}

/// After a pause all peers seem to have been silent, and the view is outdated.
/// Without this, the daemon would mark the whole fleet Failed and use slots
/// that now belong to others. So the pause is not counted as silence of any
/// member, and mayAct() is false until peers have answered requests sent after
/// the pause. Datagrams that were queued in the socket meanwhile do not count.
/// Peers that are silent after the pause are judged as always, if a little
/// later: all of them may have gone meanwhile, and none would ever answer.
void Membership::Impl::onResume(Duration Gap, Instant Now) {
  NeedsCatchUp = true;
  AccuseFrom = Now + ResumeGrace;
  Probe.reset();
  HelperProbes.clear();
  PendingSyncs.clear();
  Table.delaySuspicions(Gap);
  PeersSinceResume.clear();
  ResumeSequence = NextSequence;
  SeedsTried = false;
  TablesEqual = false;
  NextCatchUpAt = NextSeedAt = Now;
  if (Gap >= minFailTime())
    showSelfFailed(Now);
  emitEvent(MembershipEventKind::Paused, Self.Who.Id, HostId(),
            fmt::format("did not run for {} ms", toMillis(Gap)));
}

/// Members that considered this daemon Failed have reassigned its slots. It
/// shows itself as Failed until they know that it is back, so that it treats
/// the slots as newly gained ones, with the same guard.
void Membership::Impl::showSelfFailed(Instant Now) {
  SelfShownFailed = true;
  SelfFailedUntil = Now + SelfFailedTime;
  Table.showSelfFailed(Self.Who.Id.Host, true);
}

void Membership::Impl::tickCatchUp(Instant Now) {
  if (!NeedsCatchUp || Now < NextCatchUpAt)
    return;
  NextCatchUpAt = Now + Options.MinPeriod;
  for (const DaemonId &Peer : randomPeers(Options.IndirectProbes))
    sendSyncRequest(Table.find(Peer.Host)->Update.Who.Gossip, Peer, Now);
  if (peersKnown() == 0 && SeedsTried)
    onFreshReply(HostId(), NextSequence, Now);
}

void Membership::Impl::onFreshReply(const HostId &Host, std::uint64_t Sequence,
                                    Instant Now) {
  if (Sequence < ResumeSequence)
    return;
  if (!Host.empty() && PeersSinceResume.size() < MaxPeersSinceResume)
    PeersSinceResume.insert(Host);
  if (!NeedsCatchUp || peersHeard() < std::min(PeersAfterPause, peersKnown()))
    return;
  NeedsCatchUp = false;
  LastJoinAt = Now;
  SelfFailedUntil = Now + SelfFailedTime;
  emitEvent(MembershipEventKind::CaughtUp, Self.Who.Id, HostId(),
            fmt::format("compared tables with {} of {} peers", peersHeard(),
                        peersKnown()));
}

std::size_t Membership::Impl::peersHeard() const {
  return std::ranges::count_if(PeersSinceResume, [&](const HostId &Host) {
    const MemberRecord *R = Table.find(Host);
    return R && internal::isLive(*R);
  });
}

std::size_t Membership::Impl::peersKnown() const {
  return Table.live() - (Self.Who.State == MemberState::Left ? 0 : 1);
}

std::string Membership::Impl::refusalReason(Instant Now) const {
  if (IsSuperseded)
    return "a later incarnation of this host is in the fleet";
  if (Now - LastRunAt > Options.PauseThreshold)
    return fmt::format("did not run for {} ms", toMillis(Now - LastRunAt));
  if (NeedsCatchUp)
    return fmt::format("was paused; {} of {} peers answered since",
                       peersHeard(), std::min(PeersAfterPause, peersKnown()));
  return {};
}

bool Membership::Impl::settled(Instant Now) const {
  if (NeedsCatchUp)
    return false;
  if (peersHeard() > 0)
    return TablesEqual && Now - LastJoinAt >= Options.SettleTime;
  return peersKnown() == 0 && SeedsTried &&
         Now - SeedsTriedAt >= Options.SettleTime;
}

void Membership::Impl::tick(Instant Now) {
  if (SelfShownFailed && !NeedsCatchUp && Now >= SelfFailedUntil) {
    SelfShownFailed = false;
    Table.showSelfFailed(Self.Who.Id.Host, false);
  }
  tickCatchUp(Now);
  tickBroadcasts(Now);
  tickProbes(Now);
  tickHelpers(Now);
  tickSuspects(Now);
  tickTombstones(Now);
  tickSync(Now);
  tickSeeds(Now);
}

//===----------------------------------------------------------------------===//
// Updates and broadcasts.
//===----------------------------------------------------------------------===//

void Membership::Impl::receive(const GossipMessage &M, Instant Now) {
  const DaemonId &From = M.Sender.Who.Id;
  if (From == Self.Who.Id)
    return; // The seeds may include our own endpoint.
  // A list may be old, and the address another fleet's by now.
  bool ForAnother = !M.Target.Host.empty() && M.Target.Host != Self.Who.Id.Host;
  if (M.Kind == GossipKind::SyncRequest && ForAnother)
    return;
  LastHeardAt = Now;
  applyUpdate(M.Sender, From.Host, Now);
  Table.recordContact(M, Now);
  for (const MemberUpdate &U : M.Updates)
    applyUpdate(U, From.Host, Now);
  switch (M.Kind) {
  case GossipKind::Probe:
    return onProbe(M, Now);
  case GossipKind::Ack:
    return onAck(M, Now);
  case GossipKind::IndirectProbe:
    return onIndirectProbe(M, Now);
  case GossipKind::Nack:
    return onNack(M);
  case GossipKind::SyncRequest:
    return onSyncRequest(M, Now);
  case GossipKind::SyncReply:
    return onSyncReply(M, Now);
  case GossipKind::SyncPush:
  case GossipKind::Notice:
    return;
  }
}

void Membership::Impl::applyUpdate(const MemberUpdate &U, const HostId &From,
                                   Instant Now) {
  if (U.Who.Id.Host == Self.Who.Id.Host)
    return applyUpdateAboutSelf(U, From, Now);
  RecordSummary Before = Table.before(U.Who.Id.Host);
  internal::MergeResult Merged = Table.merge(U, Now);
  if (Merged == internal::MergeResult::AtCapacity)
    emitEvent(MembershipEventKind::TableFull, U.Who.Id, From,
              fmt::format("the table is full with {} members", MaxMembers));
  if (Merged == internal::MergeResult::NeedsProbe)
    requestProbe(U.Who.Id.Host);
  if (Merged != internal::MergeResult::Updated)
    return;
  Broadcasts.add(U.Who.Id.Host);
  emitChangeEvents(Before, *Table.find(U.Who.Id.Host), From, Now);
}

void Membership::Impl::applyUpdateAboutSelf(const MemberUpdate &U,
                                            const HostId &From, Instant Now) {
  if (U.Who.Id.Incarnation > Self.Who.Id.Incarnation && !IsSuperseded) {
    IsSuperseded = true;
    emitEvent(MembershipEventKind::Superseded, U.Who.Id, From,
              "the fleet has a later incarnation of this host");
  }
  if (U.Who.Id != Self.Who.Id || U.ObservedHealth == Health::Trusted ||
      Self.Who.State == MemberState::Left)
    return;
  // Show this daemon as Failed even if it refuted the suspicion: some members
  // may have reached Failed after a suspicion of which we only saw the
  // beginning. This is done once for each version.
  if (U.ObservedHealth == Health::Failed && U.Version >= NextFailedVersion) {
    NextFailedVersion = U.Version + 1;
    showSelfFailed(Now);
  }
  if (U.Version < Self.Version)
    return;
  updateSelf(Self.Who.State, U.Version + 1, Now);
  worsenHealth();
  emitEvent(
      MembershipEventKind::Accused, Self.Who.Id, U.Accuser,
      fmt::format("{} considered this daemon {}, reported by {}; refuted "
                  "with version {}",
                  U.Accuser.str(),
                  U.ObservedHealth == Health::Failed ? "failed" : "suspect",
                  From.str(), Self.Version));
}

void Membership::Impl::emitChangeEvents(const RecordSummary &Before,
                                        const MemberRecord &After,
                                        const HostId &From, Instant Now) {
  using Kind = MembershipEventKind;
  const DaemonId &Who = After.Update.Who.Id;
  std::string Origin = From == Who.Host
                           ? std::string("reported by the member itself")
                           : fmt::format("reported by {}", From.str());
  bool NewRun = Before.Known && Before.Incarnation != Who.Incarnation;
  bool WasLive = Before.Known && Before.Visible != MemberState::Failed &&
                 Before.Visible != MemberState::Left;
  if (!WasLive && internal::isLive(After)) {
    LastJoinAt = Now;
    insertIntoOrder(Who.Host);
  }
  if (!Before.Known) {
    emitEvent(Kind::Joined, Who, From, Origin);
    return applyListedState(Who.Host);
  }
  if (NewRun) {
    emitEvent(Kind::Restarted, Who, From, Origin);
    if (Before.Announced != MemberState::Leaving &&
        Before.Announced != MemberState::Left)
      emitEvent(
          Kind::Ended, {Who.Host, Before.Incarnation}, From,
          fmt::format("its last word was '{}'", stateName(Before.Announced)));
  } else if (Before.ObservedHealth == Health::Failed &&
             After.Update.ObservedHealth != Health::Failed)
    emitEvent(Kind::Recovered, Who, From, Origin);
  else if (Before.ObservedHealth == Health::Trusted &&
           After.Update.ObservedHealth == Health::Suspect)
    emitEvent(Kind::Suspected, Who, After.Update.Accuser, Origin);
  else if (Before.ObservedHealth == Health::Suspect &&
           After.Update.ObservedHealth == Health::Trusted)
    emitEvent(Kind::Refuted, Who, From, Origin);
  if (Before.Announced == After.Update.Who.State && !NewRun)
    return;
  if (After.Update.Who.State == MemberState::Alive)
    emitEvent(Kind::Ready, Who, From, Origin);
  if (After.Update.Who.State == MemberState::Leaving)
    emitEvent(Kind::Leaving, Who, From, Origin);
  if (After.Update.Who.State == MemberState::Left)
    emitEvent(Kind::Left, Who, From, Origin);
}

void Membership::Impl::emitEvent(MembershipEventKind Kind, const DaemonId &Who,
                                 const HostId &By, std::string Evidence) {
  Out.Events.push_back({Kind, Who, By, std::move(Evidence)});
}

void Membership::Impl::updateSelf(MemberState State, std::uint64_t Version,
                                  Instant Now) {
  Self.Who.State = State;
  Self.Version = Version;
  Table.setSelf(Self, Now);
  Broadcasts.add(Self.Who.Id.Host);
}

/// Sends fresh updates without waiting for the next probe: a suspicion has to
/// reach all members before its timeout, and so has its refutation.
void Membership::Impl::tickBroadcasts(Instant Now) {
  if (Now < NextBroadcastAt || !Broadcasts.anyBelow(FreshSends))
    return;
  NextBroadcastAt = Now + FreshBroadcastPeriod;
  notify(1);
}

void Membership::Impl::notify(std::size_t Peers) { notify(randomPeers(Peers)); }

void Membership::Impl::notify(const std::vector<DaemonId> &Peers) {
  for (const DaemonId &Peer : Peers)
    if (const MemberRecord *R = Table.find(Peer.Host))
      send(R->Update.Who.Gossip, Peer, message(GossipKind::Notice, 0));
}

GossipMessage Membership::Impl::message(GossipKind Kind,
                                        std::uint64_t Sequence) const {
  GossipMessage M;
  M.Kind = Kind;
  M.Sender = Self;
  M.Sequence = Sequence;
  M.ConfigGeneration = ConfigGeneration;
  M.ConfigHead = ConfigHead;
  M.Revisions = Revisions;
  return M;
}

/// Fills \p M up with updates. An accusation of the receiver goes first, so
/// that a suspect learns of it from the probe itself and can refute it in its
/// answer, however many other updates are queued.
void Membership::Impl::send(const Endpoint &To, const DaemonId &ToId,
                            GossipMessage M) {
  std::size_t Bytes = wireBytes(M);
  auto Add = [&](const MemberUpdate &U) {
    std::size_t More = wireBytes(U);
    if (M.Updates.size() >= MaxGossipUpdates || Bytes + More > MaxGossipBytes)
      return false;
    Bytes += More;
    M.Updates.push_back(U);
    return true;
  };
  const MemberRecord *R = Table.find(ToId.Host);
  bool Outdated = R && ToId.Incarnation < R->Update.Who.Id.Incarnation;
  if (R && (R->Update.ObservedHealth != Health::Trusted || Outdated))
    Add(R->Update);
  Broadcasts.transmit(transmitLimit(), [&](const HostId &Host) {
    const MemberRecord *Known = Table.find(Host);
    bool IsSelfOrReceiver = Host == Self.Who.Id.Host || Host == ToId.Host;
    return !Known || IsSelfOrReceiver || Add(Known->Update);
  });
  Out.Sends.push_back({To, std::move(M)});
}

/// A multiple of the logarithm of the fleet size, as in SWIM. This reaches all
/// but a few members; table comparison repairs the rest.
unsigned Membership::Impl::transmitLimit() const {
  return 3 * static_cast<unsigned>(std::bit_width(Table.live()));
}

/// If the table of a random member equals ours, it needs none of our updates,
/// and most other members will not either. Without this, a daemon that learned
/// of a whole fleet at once would keep sending all of it for an hour.
/// Suspicions are not part of the digests, so they stay queued.
void Membership::Impl::ageBroadcasts() {
  Broadcasts.age(transmitLimit() / 3, transmitLimit(), [&](const HostId &Host) {
    const MemberRecord *R = Table.find(Host);
    return R && R->Update.ObservedHealth != Health::Trusted;
  });
}

MembershipOutput Membership::Impl::take(std::uint64_t NumberBefore) {
  Out.Changed = Table.view().Number != NumberBefore;
  return std::exchange(Out, {});
}

} // namespace shallot
