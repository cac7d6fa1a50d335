//===- FleetLink.h - The other front daemons --------------------*- C++ -*-===//
//
// Drives the membership of package fleet over UDP: who serves callers, who is
// leaving, who has failed. Nothing of it is stored and no daemon is special.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FLEETLINK_H
#define SHALLOTSHIFT_FRONT_FLEETLINK_H

#include "front/FrontSettings.h"
#include "shallotshift/fleet.h"
#include "shallotshift/net.h"
#include "shallotshift/peer.h"

#include <functional>
#include <memory>

namespace shallot {

/// How far a daemon has read what the store holds.
struct ReadState {
  std::uint64_t ConfigVersion = 0;
  std::uint64_t ReplicaRevision = 0;
  std::uint64_t QuarantineRevision = 0;
  std::uint64_t EvacuationRevision = 0;

  friend bool operator==(const ReadState &, const ReadState &) = default;
};

/// How the membership of front daemons is timed. A fleet whose callers learn of
/// a dead daemon only from us: it is left out of answers after about two
/// seconds, and the probes for it cost some hundred bytes a second.
MembershipOptions frontMembershipOptions();

/// What the host gives the process, in thousandths of a core.
std::uint32_t capacityOf(const FrontSettings &Set);

/// A peer that is ahead, and the revisions that it has read.
struct PeerAhead {
  Member Peer;
  ReadState Read;
};

class FleetLink {
public:
  /// Called when view() has changed.
  using ChangedFn = std::function<void()>;

  /// Opens the socket. Fails with AddressInUse or SettingsInvalid.
  static Result<std::unique_ptr<FleetLink>>
  open(EventLoop &Loop, const FrontSettings &Set, Random &Rng, ChangedFn Fn);
  FleetLink(const FleetLink &) = delete;
  FleetLink &operator=(const FleetLink &) = delete;

  void start();
  /// Announces this daemon's state.
  void setState(MemberState State);
  /// Announces this daemon's load (Member::Load).
  void setLoad(std::uint32_t Load);

  const FleetView &view() const { return Members.view(); }
  /// This daemon as it announces itself.
  const Member &self() const { return Members.self(); }
  /// Who shares the replicas' connections and the retry allowance.
  FleetShare sharing() const;
  WarmupSenders warmupSenders() const;
  /// This daemon's part of the retry allowance if all daemons had the same.
  double equalRetryPart() const;
  /// Tells the others, in every message, how far this daemon has read.
  void announce(const ReadState &S);
  /// What the membership sent and received.
  const GossipSocketStats &traffic() const { return Socket->stats(); }
  /// The newest revisions that live peers have read, of each kind.
  ReadState furthest() const;
  /// A live peer that has read further than \p S, if there is one: one of this
  /// region if there is one, and any of them, so that a fleet that is behind
  /// does not ask the same daemon.
  std::optional<PeerAhead> ahead(const ReadState &S) const;

private:
  FleetLink(EventLoop &Loop, const FrontSettings &Set, Random &Rng,
            Membership M, ChangedFn Fn);

  static Result<Membership> join(EventLoop &Loop, const FrontSettings &Set,
                                 Random &Rng, std::uint64_t Incarnation,
                                 MemberState State);
  void tick();
  void apply(const MembershipOutput &Out);
  void sayRead();
  void outrun(std::uint64_t Incarnation);

  EventLoop &Loop;
  FrontSettings Set;
  Random &Rng;
  Membership Members;
  ChangedFn OnChanged;
  std::unique_ptr<GossipSocket> Socket;
  Instant LastTick;
  ReadState Announced;
  std::uint64_t Superseder = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FLEETLINK_H
