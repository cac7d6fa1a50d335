//===- MembershipState.h - Implementation of Membership ---------*- C++ -*-===//
//
// Internal to package fleet: the state behind Membership. The methods are in
// three files: MembershipUpdates.cpp (pauses, updates and broadcasts),
// MembershipProbes.cpp (failure detection) and MembershipSync.cpp (table
// comparison, seeds and host list).
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

/// The maximum of localHealth(). The probe period is then nine times as long.
inline constexpr unsigned MaxHealthScore = 8;

/// The probe of the current period.
struct PendingProbe {
  DaemonId Target;
  Endpoint To;
  std::uint64_t Version = 0; ///< The target's version when it was sent.
  std::uint64_t Sequence = 0;
  Instant SentAt;
  Duration Timeout{};
  bool SentIndirect = false;
  unsigned Helpers = 0;
  unsigned Nacks = 0;
};

/// An indirect probe that this daemon makes on behalf of another.
struct HelperProbe {
  std::uint64_t Sequence = 0; ///< Sequence number of our own probe.
  DaemonId Target;
  Endpoint Requester;
  DaemonId RequesterId;
  std::uint64_t RequesterSequence = 0;
  Instant NackAt;
  bool Nacked = false; ///< A Nack was sent; a late Ack is still relayed.
};

/// A table comparison that is waiting for its reply.
struct PendingSync {
  std::uint64_t Sequence = 0;
  Instant Until;
};

} // namespace internal

struct Membership::Impl {
  using MemberRecord = internal::MemberRecord;
  using RecordSummary = internal::RecordSummary;

  Impl(const MembershipOptions &Options, Member Self,
       std::vector<Endpoint> Seeds, std::uint64_t RandomSeed, Instant Now);

  // MembershipUpdates.cpp: pauses, updates and broadcasts.
  void detectPause(Instant Now);
  void onResume(Duration Gap, Instant Now);
  void tick(Instant Now);
  void receive(const GossipMessage &M, Instant Now);
  void applyUpdate(const MemberUpdate &U, const HostId &From, Instant Now);
  void applyUpdateAboutSelf(const MemberUpdate &U, const HostId &From,
                            Instant Now);
  void emitChangeEvents(const RecordSummary &Before, const MemberRecord &After,
                        const HostId &From, Instant Now);
  void emitEvent(MembershipEventKind Kind, const DaemonId &Who,
                 const HostId &By, std::string Evidence);
  void updateSelf(MemberState State, std::uint64_t Version, Instant Now);
  void notify(std::size_t Peers);
  void notify(const std::vector<DaemonId> &Peers);
  void tickBroadcasts(Instant Now);
  void ageBroadcasts();
  void requestProbe(const HostId &Host);
  void showSelfFailed(Instant Now);
  void tickCatchUp(Instant Now);
  void onFreshReply(const HostId &Host, std::uint64_t Sequence, Instant Now);
  std::size_t peersHeard() const;
  bool settled(Instant Now) const;
  std::string refusalReason(Instant Now) const;
  MembershipOutput take(std::uint64_t NumberBefore);

  // MembershipProbes.cpp: failure detection.
  void tickProbes(Instant Now);
  void endPeriod(Instant Now);
  void startPeriod(Instant Now);
  void sendIndirectProbes();
  void tickHelpers(Instant Now);
  void tickSuspects(Instant Now);
  void probeSuspect(const Member &Who);
  void tickTombstones(Instant Now);
  void onProbe(const GossipMessage &M, Instant Now);
  void onAck(const GossipMessage &M, Instant Now);
  void onIndirectProbe(const GossipMessage &M, Instant Now);
  void onNack(const GossipMessage &M);
  void insertIntoOrder(const HostId &Host);
  std::map<Region, std::size_t> regionSizes() const;
  bool includeInRound(const Region &Reg,
                      const std::map<Region, std::size_t> &Sizes);
  /// Sends a probe and returns its sequence number.
  std::uint64_t sendProbe(const Endpoint &To, const DaemonId &Target);
  void observeRoundTrip(Duration Rtt);
  void worsenHealth();
  void improveHealth();
  Duration probeTimeout() const;
  Duration meanPeriod() const;
  Duration minFailTime() const;
  Duration suspicionTimeout(const MemberRecord &R) const;
  const MemberRecord *nextTarget();
  const MemberRecord *nextRequested();
  const MemberRecord *nextInRound();
  unsigned transmitLimit() const;
  std::vector<DaemonId> randomPeers(std::size_t Count,
                                    const HostId &Except = HostId());

  // MembershipSync.cpp: table comparison, seeds and host list.
  void tickSync(Instant Now);
  std::optional<DaemonId> syncPeer();
  void tickSeeds(Instant Now);
  void sendSyncRequest(const Endpoint &To, const DaemonId &Target, Instant Now);
  void onSyncRequest(const GossipMessage &M, Instant Now);
  void onSyncReply(const GossipMessage &M, Instant Now);
  void sendBuckets(GossipKind Kind, const GossipMessage &To, std::uint64_t Mask,
                   std::uint64_t Wanted, Instant Now);
  void applyHostList(const std::vector<ListedHost> &Hosts);
  const ListedHost *findListed(const HostId &Host) const;
  void applyListedState(const HostId &Host);
  struct Seed {
    Endpoint At;
    DaemonId Who; ///< Empty: any daemon there.
  };
  std::vector<Seed> unknownSeeds() const;
  bool isLiveMemberAt(const Endpoint &E) const;

  // Shared.
  GossipMessage message(GossipKind Kind, std::uint64_t Sequence) const;
  void send(const Endpoint &To, const DaemonId &ToId, GossipMessage M);
  std::size_t peersKnown() const;

  MembershipOptions Options;
  MemberUpdate Self;
  Random Rng;
  internal::MemberTable Table;
  internal::BroadcastQueue Broadcasts;
  Instant NextBroadcastAt;
  MembershipOutput Out;
  std::uint64_t NextSequence = 1;
  std::uint64_t ConfigGeneration = 0;
  std::uint64_t ConfigHead = 0;
  StoreRevisions Revisions;

  // Probes.
  std::vector<HostId> Order; ///< Shuffled probe order of one round.
  std::size_t NextInOrder = 0;
  std::deque<HostId> ProbeRequests; ///< Members to probe out of turn.
  bool LastWasRequested = false;
  std::optional<internal::PendingProbe> Probe;
  std::deque<internal::HelperProbe> HelperProbes;
  Instant NextPeriodAt;
  Instant NextTombstoneAt;
  Duration SmoothedRtt = Millis(0);
  Duration RttDeviation = Millis(0);
  unsigned HealthScore = 0; ///< localHealth().
  TokenBucket Replies;

  // Table comparison.
  TokenBucket SyncDatagrams;
  std::vector<internal::PendingSync> PendingSyncs;
  Instant NextSyncAt;
  bool TablesEqual = false; ///< True if (almost) equal when last compared.

  // Seeds.
  std::vector<Endpoint> Seeds;
  std::vector<ListedHost> Listed;
  std::size_t NextSeed = 0;
  Instant NextSeedAt;
  Instant SeedsTriedAt; ///< When the last seed was first asked.
  bool SeedsTried = false;

  // Start and pauses.
  Instant LastRunAt;
  Instant LastHeardAt;
  Instant LastJoinAt;
  Instant LastExpiryAt;
  bool NeedsCatchUp = false;
  bool IsSuperseded = false;
  Instant NextCatchUpAt;
  std::uint64_t ResumeSequence = 0;
  Instant AccuseFrom; ///< Nobody is accused before, after a pause.
  std::set<HostId> PeersSinceResume;
  Instant SelfFailedUntil;
  bool SelfShownFailed = false;
  std::uint64_t NextFailedVersion = 0; ///< Lower versions were handled.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_MEMBERSHIPSTATE_H
