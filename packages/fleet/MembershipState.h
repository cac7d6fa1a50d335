//===- MembershipState.h - State of the membership machine ------*- C++ -*-===//
//
// Inside of package fleet: the state behind Membership. Its steps are in three
// files: MembershipNews.cpp (pauses and news), MembershipProbes.cpp (who
// answers) and MembershipSync.cpp (comparison of tables, seeds).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_MEMBERSHIPSTATE_H
#define SHALLOTSHIFT_FLEET_MEMBERSHIPSTATE_H

#include "fleet/BroadcastQueue.h"
#include "fleet/MemberTable.h"
#include "fleet/Membership.h"

#include <deque>
#include <optional>
#include <set>

namespace shallot {

namespace internal {

/// localHealth() is at most this; the probe period is then nine times as long.
inline constexpr unsigned MaxSlowness = 8;

/// The probe of the running period.
struct RunningProbe {
  DaemonId Target;
  Endpoint To;
  std::uint64_t Version = 0; ///< Of the target when the probe was sent.
  std::uint64_t Sequence = 0;
  Instant SentAt;
  Duration Timeout{};
  bool AskedHelpers = false;
  unsigned Helpers = 0;
  unsigned Nacks = 0;
};

/// A probe that this daemon makes for another.
struct HelperProbe {
  std::uint64_t Sequence = 0; ///< Of our probe.
  DaemonId Target;
  Endpoint Asker;
  DaemonId AskerId;
  std::uint64_t AskerSequence = 0;
  Instant NackAt;
  bool Nacked = false; ///< A late answer is passed on all the same.
};

/// A comparison of tables that waits for its reply.
struct RunningSync {
  std::uint64_t Sequence = 0;
  Instant Until;
};

} // namespace internal

struct Membership::Impl {
  using MemberRecord = internal::MemberRecord;
  using RecordBefore = internal::RecordBefore;

  Impl(const MembershipOptions &Options, Member Self,
       std::vector<Endpoint> Seeds, std::uint64_t RandomSeed, Instant Now);

  // MembershipNews.cpp: time, news and messages.
  void liveThrough(Instant Now);
  void wake(Duration Gap, Instant Now);
  void tick(Instant Now);
  void receive(const GossipMessage &M, Instant Now);
  void learn(const MemberUpdate &U, const HostId &From, Instant Now);
  void learnOfSelf(const MemberUpdate &U, const HostId &From, Instant Now);
  void tell(const RecordBefore &Before, const MemberRecord &After,
            const HostId &From, Instant Now);
  void event(MembershipEventKind Kind, const DaemonId &Who, const HostId &By,
             std::string Evidence);
  void saySelf(MemberState State, std::uint64_t Version, Instant Now);
  void notify(std::size_t Peers);
  void tickNews(Instant Now);
  void ageNews();
  void doubt(const HostId &Host);
  void showSelfFailed(Instant Now);
  void tickCatchUp(Instant Now);
  void heardAnew(const HostId &Host, std::uint64_t Sequence, Instant Now);
  std::size_t peersHeard() const;
  bool settled(Instant Now) const;
  std::string refusalReason(Instant Now) const;
  MembershipOutput take(std::uint64_t NumberBefore);

  // MembershipProbes.cpp: who answers.
  void tickProbes(Instant Now);
  void endPeriod(Instant Now);
  void startPeriod(Instant Now);
  void askHelpers();
  void tickHelpers(Instant Now);
  void tickSuspects(Instant Now);
  void askSuspect(const Member &Who);
  void tickTombstones(Instant Now);
  void onProbe(const GossipMessage &M, Instant Now);
  void onAck(const GossipMessage &M, Instant Now);
  void onIndirectProbe(const GossipMessage &M, Instant Now);
  void onNack(const GossipMessage &M);
  void enterOrder(const HostId &Host);
  std::map<Region, std::size_t> regionSizes() const;
  bool drawsProbe(const Region &Reg,
                  const std::map<Region, std::size_t> &Sizes);
  /// Sends a probe and returns its sequence number.
  std::uint64_t sendProbe(const Endpoint &To, const DaemonId &Target);
  void observeRoundTrip(Duration Rtt);
  void worsenHealth();
  void improveHealth();
  Duration probeTimeout() const;
  Duration meanPeriod() const;
  Duration leastFailTime() const;
  Duration suspicionTimeout(const MemberRecord &R) const;
  const MemberRecord *nextTarget();
  const MemberRecord *nextDoubted();
  const MemberRecord *nextInRound();
  unsigned newsLimit() const;
  std::vector<DaemonId> randomPeers(std::size_t Count,
                                    const HostId &Except = HostId());

  // MembershipSync.cpp: comparison of tables, seeds and host list.
  void tickSync(Instant Now);
  std::optional<DaemonId> comparisonPeer();
  void tickSeeds(Instant Now);
  void sendSyncRequest(const Endpoint &To, const DaemonId &Target, Instant Now);
  void onSyncRequest(const GossipMessage &M, Instant Now);
  void onSyncReply(const GossipMessage &M, Instant Now);
  void sendBuckets(GossipKind Kind, const GossipMessage &To, std::uint64_t Mask,
                   std::uint64_t Wanted, Instant Now);
  void takeHostList(const std::vector<ListedHost> &Hosts);
  const ListedHost *listed(const HostId &Host) const;
  void applyListed(const HostId &Host);
  std::vector<Endpoint> unknownSeeds() const;
  bool isLiveMemberAt(const Endpoint &E) const;

  // All three.
  GossipMessage message(GossipKind Kind, std::uint64_t Sequence) const;
  void send(const Endpoint &To, const DaemonId &ToId, GossipMessage M);
  std::size_t peersKnown() const;

  MembershipOptions Options;
  MemberUpdate Self;
  Random Rng;
  internal::MemberTable Table;
  internal::BroadcastQueue News;
  Instant NextNewsAt;
  MembershipOutput Out;
  std::uint64_t NextSequence = 1;
  std::uint64_t ConfigGeneration = 0;
  std::uint64_t ConfigHead = 0;
  StoreRevisions Revisions;

  // Probes.
  std::vector<HostId> Order; ///< Shuffled; each live peer once.
  std::size_t NextInOrder = 0;
  std::deque<HostId> Doubted; ///< To be probed out of turn.
  bool LastWasDoubted = false;
  std::optional<internal::RunningProbe> Probe;
  std::deque<internal::HelperProbe> Helping;
  Instant NextPeriodAt;
  Instant NextTombstoneAt;
  Duration SmoothedRtt = Millis(0);
  Duration RttDeviation = Millis(0);
  unsigned Slowness = 0; ///< localHealth().
  TokenBucket Replies;

  // Comparison of tables.
  TokenBucket SyncDatagrams;
  std::vector<internal::RunningSync> Syncs;
  Instant NextSyncAt;
  bool TablesEqual = false; ///< The last comparison found (nearly) nothing.

  // Seeds.
  std::vector<Endpoint> Seeds;
  std::vector<ListedHost> Listed;
  std::size_t NextSeed = 0;
  Instant NextSeedAt;
  Instant SeedsTriedAt; ///< When the last of them was first asked.
  bool SeedsTried = false;

  // Starts and pauses.
  Instant LastRunAt;
  Instant LastJoinAt;
  Instant LastExpiryAt;
  bool Stale = false;
  bool IsSuperseded = false;
  Instant NextCatchUpAt;
  std::uint64_t WakeSequence = 0;
  std::set<HostId> HeardSinceWake;
  Instant SelfFailedUntil;
  bool SelfShownFailed = false;
  std::uint64_t NextFailedVersion = 0; ///< Lower ones were shown.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_MEMBERSHIPSTATE_H
