//===- FleetLink.h - Membership of front daemons ----------------*- C++ -*-===//
//
// Runs the membership protocol of package fleet over UDP: which daemons serve
// callers, are leaving or have failed. No state is stored, and no daemon has a
// special role.
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

/// Positions up to which a daemon has read the store, by kind.
struct ReadRevisions {
  std::uint64_t ConfigVersion = 0; ///< The operator's number.
  StoreRevision Replicas;
  StoreRevision Quarantine;
  StoreRevision Evacuations;

  friend bool operator==(const ReadRevisions &,
                         const ReadRevisions &) = default;
};

/// Membership timing for front daemons. Callers learn of a dead daemon only
/// from the directory: it is left out of replies after about two seconds, and
/// the probes for this cost some hundred bytes per second.
MembershipOptions frontMembershipOptions();

/// Shorter than MembershipOptions::SettleTime, since callers wait for a daemon
/// that has restarted with its whole fleet.
inline constexpr Duration ViewQuietTime = Millis(250);

/// Share of the host for this process, in thousandths of a core.
std::uint32_t capacityOf(const FrontSettings &Set);

/// A peer that is ahead, and the revisions that it has read.
struct PeerAhead {
  Member Peer;
  ReadRevisions Read;
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
  /// Announces whether this daemon can read the store, to \p First at once.
  void setStoreAccess(StoreAccess Access, const std::vector<DaemonId> &First);

  const FleetView &view() const { return Members.view(); }
  /// Membership::mayAct(), settled() and heardAt().
  bool mayAct(Instant Now) const { return Members.mayAct(Now); }
  bool settled(Instant Now) const { return Members.settled(Now); }
  Instant heardAt() const { return Members.heardAt(); }
  /// Whether the view holds (almost) all of the fleet: no new member was found
  /// for ViewQuietTime, or the view is settled.
  bool viewComplete(Instant Now) const;
  /// Asks \p Contacts as the seeds are asked, besides these.
  void setContacts(const std::vector<ListedHost> &Contacts);
  /// Asks these seeds from now on.
  void setSeeds(const std::vector<Endpoint> &Seeds);
  /// Whether no other live daemon is known.
  bool alone() const { return Members.peersKnown() == 0; }
  /// Whether that is known to be true of the whole fleet (Rendezvous.h).
  bool confirmedAlone() const { return ConfirmedAlone; }
  void setConfirmedAlone(bool Is) { ConfirmedAlone = Is; }
  /// This daemon as it announces itself.
  const Member &self() const { return Members.self(); }
  /// Daemons that share the connections to replicas and the retry allowance.
  FleetShare sharing() const;
  WarmupSenders warmupSenders() const;
  /// Fraction of the retry allowance if all daemons had an equal part.
  double equalRetryPart() const;
  /// Sets the revisions that every membership message carries.
  void announce(const ReadRevisions &S);
  /// How many runs of other daemons were seen to have ended unannounced.
  std::uint64_t endsSeen() const { return EndsSeen; }
  /// Traffic counters of the membership protocol.
  const DatagramStats &traffic() const { return Socket->stats(); }
  /// Newest revision of each kind that any live peer has read.
  ReadRevisions newestPeerRevisions() const;
  /// A live peer whose revisions \p IsAhead accepts, if any: from this region
  /// if possible, and chosen at random, so that the daemons of a fleet that is
  /// behind do not all call the same one.
  std::optional<PeerAhead> findPeerAhead(
      const std::function<bool(const ReadRevisions &)> &IsAhead) const;

private:
  FleetLink(EventLoop &Loop, const FrontSettings &Set, Random &Rng,
            Membership M, ChangedFn Fn);

  static Result<Membership>
  makeMembership(EventLoop &Loop, const FrontSettings &Set, Random &Rng,
                 std::uint64_t Incarnation, MemberState State);
  void tick();
  void advance(Instant Now);
  void apply(const MembershipOutput &Out);
  void publishRevisions();
  void rejoinAbove(std::uint64_t Incarnation);

  EventLoop &Loop;
  FrontSettings Set;
  Random &Rng;
  Membership Members;
  ChangedFn OnChanged;
  std::unique_ptr<GossipSocket> Socket;
  Instant LastTick;
  ReadRevisions Announced;
  std::uint64_t SupersedingIncarnation = 0;
  std::uint64_t EndsSeen = 0;
  std::vector<ListedHost> Contacts;
  bool ConfirmedAlone = true; ///< Until somebody knows better.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FLEETLINK_H
