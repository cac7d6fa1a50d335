#include "fleet/MembershipState.h"

#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace shallot {
namespace {

/// Answers to others are bounded at this rate; the usual load is 2 a second.
constexpr double RepliesPerSecond = 40;
/// A seed is asked by a whole fleet that starts at one moment, and whoever gets
/// no answer knows nobody. 320 answers of 1,200 bytes are a sixth of a second
/// of a link of 20 Mbit/s.
constexpr double ReplyBurst = 320;

/// A tick this late says that this daemon is slow itself.
constexpr Duration LateTick = Millis(400);

/// Peers to hear from anew after a pause: one may have been paused with us, as
/// on the same rack.
constexpr std::size_t PeersAfterPause = 2;

/// The most peers remembered as heard; nobody asks for a larger number.
constexpr std::size_t MaxHeardCounted = 64;

/// How long this daemon shows itself as Failed after it learns that others
/// held it so: the time for its refutation to spread.
constexpr Duration SelfFailedTime = Seconds(3);

/// News passed on less often than this is fresh, and is sent to one member in
/// each such time besides what rides on probes. 5 datagrams of at most 1,200
/// bytes a second, and none at rest.
constexpr unsigned FreshSends = 8;
constexpr Duration FreshNewsPeriod = Millis(200);

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
  NextCatchUpAt = NextNewsAt = Now;
}

//===----------------------------------------------------------------------===//
// Time that passes, and time that this process did not live through.
//===----------------------------------------------------------------------===//

void Membership::Impl::liveThrough(Instant Now) {
  Duration Gap = Now - LastRunAt;
  LastRunAt = std::max(LastRunAt, Now);
  if (Gap > Options.PauseThreshold)
    wake(Gap, Now);
  else if (Gap > LateTick)
    worsenHealth();
}

/// A paused daemon wakes with a clock that says everybody was silent, and with
/// a picture of the past. It would fail the whole fleet and use slots that now
/// are others'. So the gap counts against nobody, and mayAct() is false until
/// peers have answered questions put after the pause; what lay in the socket
/// meanwhile proves nothing.
void Membership::Impl::wake(Duration Gap, Instant Now) {
  Stale = true;
  Probe.reset();
  Helping.clear();
  Syncs.clear();
  Table.delaySuspicions(Gap);
  HeardSinceWake.clear();
  WakeSequence = NextSequence;
  SeedsTried = false;
  TablesEqual = false;
  NextCatchUpAt = NextSeedAt = Now;
  if (Gap >= leastFailTime())
    showSelfFailed(Now);
  event(MembershipEventKind::Paused, Self.Who.Id, HostId(),
        fmt::format("did not run for {} ms", toMillis(Gap)));
}

/// Others that held this daemon for failed gave its slots away. It shows itself
/// as failed until they have heard that it is back, and so takes its slots
/// again as newly gained ones, with the guard that those have.
void Membership::Impl::showSelfFailed(Instant Now) {
  SelfShownFailed = true;
  SelfFailedUntil = Now + SelfFailedTime;
  Table.showSelfFailed(Self.Who.Id.Host, true);
}

void Membership::Impl::tickCatchUp(Instant Now) {
  if (!Stale || Now < NextCatchUpAt)
    return;
  NextCatchUpAt = Now + Options.MinPeriod;
  for (const DaemonId &Peer : randomPeers(Options.IndirectProbes))
    sendSyncRequest(Table.find(Peer.Host)->Fact.Who.Gossip, Peer, Now);
  if (peersKnown() == 0 && SeedsTried)
    heardAnew(HostId(), NextSequence, Now);
}

void Membership::Impl::heardAnew(const HostId &Host, std::uint64_t Sequence,
                                 Instant Now) {
  if (Sequence < WakeSequence)
    return;
  if (!Host.empty() && HeardSinceWake.size() < MaxHeardCounted)
    HeardSinceWake.insert(Host);
  if (!Stale || peersHeard() < std::min(PeersAfterPause, peersKnown()))
    return;
  Stale = false;
  LastJoinAt = Now;
  SelfFailedUntil = Now + SelfFailedTime;
  event(MembershipEventKind::CaughtUp, Self.Who.Id, HostId(),
        fmt::format("compared tables with {} of {} peers", peersHeard(),
                    peersKnown()));
}

std::size_t Membership::Impl::peersHeard() const {
  return std::ranges::count_if(HeardSinceWake, [&](const HostId &Host) {
    const MemberRecord *R = Table.find(Host);
    return R && internal::isLive(*R);
  });
}

std::size_t Membership::Impl::peersKnown() const {
  return Table.live() - (Self.Who.State == MemberState::Left ? 0 : 1);
}

std::string Membership::Impl::refusalReason(Instant Now) const {
  if (IsSuperseded)
    return "a later run of this host is in the fleet";
  if (Now - LastRunAt > Options.PauseThreshold)
    return fmt::format("did not run for {} ms", toMillis(Now - LastRunAt));
  if (Stale)
    return fmt::format("was paused; {} of {} peers answered since",
                       peersHeard(), std::min(PeersAfterPause, peersKnown()));
  return {};
}

bool Membership::Impl::settled(Instant Now) const {
  if (Stale)
    return false;
  if (peersHeard() > 0)
    return TablesEqual && Now - LastJoinAt >= Options.SettleTime;
  return peersKnown() == 0 && SeedsTried &&
         Now - SeedsTriedAt >= Options.SettleTime;
}

void Membership::Impl::tick(Instant Now) {
  if (SelfShownFailed && !Stale && Now >= SelfFailedUntil) {
    SelfShownFailed = false;
    Table.showSelfFailed(Self.Who.Id.Host, false);
  }
  tickCatchUp(Now);
  tickNews(Now);
  tickProbes(Now);
  tickHelpers(Now);
  tickSuspects(Now);
  tickTombstones(Now);
  tickSync(Now);
  tickSeeds(Now);
}

//===----------------------------------------------------------------------===//
// News.
//===----------------------------------------------------------------------===//

void Membership::Impl::receive(const GossipMessage &M, Instant Now) {
  const DaemonId &From = M.Sender.Who.Id;
  if (From == Self.Who.Id)
    return; // Our own seed list names us.
  learn(M.Sender, From.Host, Now);
  Table.heard(M, Now);
  for (const MemberUpdate &U : M.Updates)
    learn(U, From.Host, Now);
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

void Membership::Impl::learn(const MemberUpdate &U, const HostId &From,
                             Instant Now) {
  if (U.Who.Id.Host == Self.Who.Id.Host)
    return learnOfSelf(U, From, Now);
  RecordBefore Before = Table.before(U.Who.Id.Host);
  internal::MergeResult Merged = Table.merge(U, Now);
  if (Merged == internal::MergeResult::Full)
    event(MembershipEventKind::TableFull, U.Who.Id, From,
          fmt::format("{} members are known", MaxMembers));
  if (Merged == internal::MergeResult::Doubt)
    doubt(U.Who.Id.Host);
  if (Merged != internal::MergeResult::News)
    return;
  News.add(U.Who.Id.Host);
  tell(Before, *Table.find(U.Who.Id.Host), From, Now);
}

void Membership::Impl::learnOfSelf(const MemberUpdate &U, const HostId &From,
                                   Instant Now) {
  if (U.Who.Id.Incarnation > Self.Who.Id.Incarnation && !IsSuperseded) {
    IsSuperseded = true;
    event(MembershipEventKind::Superseded, U.Who.Id, From,
          "the fleet knows a later run of this host");
  }
  if (U.Who.Id != Self.Who.Id || U.ObservedHealth == Health::Trusted ||
      Self.Who.State == MemberState::Left)
    return;
  // Also when it was refuted already: some may have gone on to Failed on an
  // accusation of which we heard only the beginning. Once for each version.
  if (U.ObservedHealth == Health::Failed && U.Version >= NextFailedVersion) {
    NextFailedVersion = U.Version + 1;
    showSelfFailed(Now);
  }
  if (U.Version < Self.Version)
    return;
  saySelf(Self.Who.State, U.Version + 1, Now);
  worsenHealth();
  event(MembershipEventKind::Accused, Self.Who.Id, U.Accuser,
        fmt::format("{} held this daemon {}, told by {}; refuted with version "
                    "{}",
                    U.Accuser.str(),
                    U.ObservedHealth == Health::Failed ? "failed" : "suspect",
                    From.str(), Self.Version));
}

void Membership::Impl::tell(const RecordBefore &Before,
                            const MemberRecord &After, const HostId &From,
                            Instant Now) {
  using Kind = MembershipEventKind;
  const DaemonId &Who = After.Fact.Who.Id;
  std::string Origin = From == Who.Host ? std::string("its own word")
                                        : fmt::format("told by {}", From.str());
  bool NewRun = Before.Known && Before.Incarnation != Who.Incarnation;
  bool WasLive = Before.Known && Before.Shown != MemberState::Failed &&
                 Before.Shown != MemberState::Left;
  if (!WasLive && internal::isLive(After)) {
    LastJoinAt = Now;
    enterOrder(Who.Host);
  }
  if (!Before.Known) {
    event(Kind::Joined, Who, From, Origin);
    return applyListed(Who.Host);
  }
  if (NewRun)
    event(Kind::Restarted, Who, From, Origin);
  else if (Before.ObservedHealth == Health::Failed &&
           After.Fact.ObservedHealth != Health::Failed)
    event(Kind::Recovered, Who, From, Origin);
  else if (Before.ObservedHealth == Health::Trusted &&
           After.Fact.ObservedHealth == Health::Suspect)
    event(Kind::Suspected, Who, After.Fact.Accuser, Origin);
  else if (Before.ObservedHealth == Health::Suspect &&
           After.Fact.ObservedHealth == Health::Trusted)
    event(Kind::Refuted, Who, From, Origin);
  if (Before.Declared == After.Fact.Who.State && !NewRun)
    return;
  if (After.Fact.Who.State == MemberState::Alive)
    event(Kind::Ready, Who, From, Origin);
  if (After.Fact.Who.State == MemberState::Leaving)
    event(Kind::Leaving, Who, From, Origin);
  if (After.Fact.Who.State == MemberState::Left)
    event(Kind::Left, Who, From, Origin);
}

void Membership::Impl::event(MembershipEventKind Kind, const DaemonId &Who,
                             const HostId &By, std::string Evidence) {
  Out.Events.push_back({Kind, Who, By, std::move(Evidence)});
}

void Membership::Impl::saySelf(MemberState State, std::uint64_t Version,
                               Instant Now) {
  Self.Who.State = State;
  Self.Version = Version;
  Table.setSelf(Self, Now);
  News.add(Self.Who.Id.Host);
}

/// News waits for the next probe only once it is known to many: a suspicion
/// has to be everywhere before its time runs out, and so has its refutation.
void Membership::Impl::tickNews(Instant Now) {
  if (Now < NextNewsAt || !News.anyBelow(FreshSends))
    return;
  NextNewsAt = Now + FreshNewsPeriod;
  notify(1);
}

void Membership::Impl::notify(std::size_t Peers) {
  for (const DaemonId &Peer : randomPeers(Peers))
    send(Table.find(Peer.Host)->Fact.Who.Gossip, Peer,
         message(GossipKind::Notice, 0));
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

/// Fills \p M up with news. What the receiver has to refute goes first: a
/// suspect that learns of it from the very probe can answer with a refutation,
/// however much other news there is.
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
  bool Outdated = R && ToId.Incarnation < R->Fact.Who.Id.Incarnation;
  if (R && (R->Fact.ObservedHealth != Health::Trusted || Outdated))
    Add(R->Fact);
  News.pass(newsLimit(), [&](const HostId &Host) {
    const MemberRecord *Known = Table.find(Host);
    bool InSender = Host == Self.Who.Id.Host || Host == ToId.Host;
    return !Known || InSender || Add(Known->Fact);
  });
  Out.Sends.push_back({To, std::move(M)});
}

/// A few times the logarithm of the fleet, after SWIM: enough for all to have
/// heard of it but for a small part, which the comparison of tables finds.
unsigned Membership::Impl::newsLimit() const {
  return 3 * static_cast<unsigned>(std::bit_width(Table.live()));
}

/// A random member whose table equals ours needs none of our news, so most
/// others will not either. Without this, a daemon that learned of a whole
/// fleet at once would pass all of it on for an hour. Suspicions are not in
/// what was compared and stay.
void Membership::Impl::ageNews() {
  News.age(newsLimit() / 3, newsLimit(), [&](const HostId &Host) {
    const MemberRecord *R = Table.find(Host);
    return R && R->Fact.ObservedHealth != Health::Trusted;
  });
}

MembershipOutput Membership::Impl::take(std::uint64_t NumberBefore) {
  Out.Changed = Table.view().Number != NumberBefore;
  return std::exchange(Out, {});
}

} // namespace shallot
