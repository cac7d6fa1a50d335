//===- Membership.h - Group membership and failure detection ----*- C++ -*-===//
//
// Failure detection and dissemination after SWIM (Das, Gupta, Motivala 2002)
// with local health awareness after Lifeguard (Dadgar, Phillips, Currey 2018),
// as a state machine without I/O, clock or threads:
//
//   - Each period one member is probed. If it does not answer, three other
//     members probe it indirectly. If none gets an answer it is suspected.
//   - A suspect that does not refute within a timeout, which grows with the
//     logarithm of the fleet size, is Failed. A daemon never marks a member
//     Failed because another daemon did: each one runs the full timeout itself.
//   - A daemon that is slow or was paused accuses other members more slowly.
//   - From time to time the whole table is compared with one member by digests,
//     which repairs lost updates (anti-entropy).
//   - Failed members are kept as tombstones and probed at a bounded rate, so
//     that regions merge after a partition without a burst of messages.
//
// The number of messages that each daemon sends per second is bounded at any
// fleet size. The platform's host list provides seeds and marks members as
// leaving. It lags, so it never makes a member Failed.
//
// The driver calls onTick() every TickPeriod and onMessage() for each datagram,
// and sends the messages that they return.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_MEMBERSHIP_H
#define SHALLOTSHIFT_FLEET_MEMBERSHIP_H

#include "fleet/GossipMessage.h"
#include "shallotshift/base.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shallot {

/// The period at which onTick() should be called.
inline constexpr Duration TickPeriod = Millis(100);

/// The most members that a daemon keeps; further ones are ignored and reported
/// by an event. Twice the target of 1,700 members, with their tombstones.
inline constexpr std::size_t MaxMembers = 4096;

struct MembershipOptions {
  /// One member is probed per period. The period is drawn at random from this
  /// range, so that daemons started together do not probe in lockstep.
  Duration MinPeriod = Millis(500);
  Duration MaxPeriod = Millis(1000);
  /// Bounds of the wait for a direct answer before indirect probes are sent.
  /// Between them it follows the measured round-trip time.
  Duration MinProbeTimeout = Millis(100);
  Duration MaxProbeTimeout = Millis(400);
  unsigned IndirectProbes = 3;
  /// A member of another region is probed in one of this many rounds; its own
  /// region probes it in every round. Small regions are probed by all members.
  unsigned CrossRegionProbeRounds = 1;
  /// Suspicion timeout = SuspicionPeriods x log10(members, at least 10) x mean
  /// period when several members accuse, twice as long when only one does.
  double SuspicionPeriods = 3;
  /// A longer time between two calls of the driver (ticks, messages) means that
  /// this process was suspended.
  Duration PauseThreshold = Millis(1500);
  /// How long Failed and Left members are kept. Must exceed the longest
  /// expected partition between regions.
  Duration TombstoneTime = std::chrono::hours(2);
  /// Period of probes to one Failed member, or to one seed that is no member.
  Duration TombstoneProbePeriod = Seconds(2);
  /// Period of table comparisons while the tables are equal.
  Duration SyncPeriod = Seconds(10);
  /// Sustained rate and burst of datagrams with member updates that are sent in
  /// answer to table comparisons. 295 daemons that start together know each
  /// other after 12 s and 191 KB sent by each with a burst of 12, and after
  /// 3.3 s and 152 KB with a burst of 250 and ReplyBurst for the seeds
  /// (simulated time). 250 datagrams of 1,200 bytes take an eighth of a second
  /// on a link of 20 Mbit/s.
  double SyncDatagramsPerSecond = 4;
  double SyncBurst = 250;
  /// The view is settled when no new member was found for this long.
  Duration SettleTime = Seconds(2);
};

/// A daemon's entry in the platform's host list.
struct ListedHost {
  HostId Host;
  Endpoint Gossip;
  AvailabilityZone Zone;
  bool Leaving = false;

  friend bool operator==(const ListedHost &, const ListedHost &) = default;
};

enum class MembershipEventKind : std::uint8_t {
  Joined,     ///< A new member was found.
  Restarted,  ///< A known host has a new incarnation.
  Ended,      ///< With Restarted: its run before had not announced its end.
  Suspected,  ///< It did not answer; it may refute.
  Refuted,    ///< A suspect refuted the suspicion.
  Failed,     ///< A suspect did not refute in time.
  Recovered,  ///< A Failed member is back with the same incarnation.
  Ready,      ///< It announced that it is Alive.
  Leaving,    ///< It or the host list announced that it is leaving.
  Left,       ///< It completed a planned stop.
  Forgotten,  ///< Its tombstone expired.
  Accused,    ///< Others accused this daemon, which refuted.
  Paused,     ///< This process was suspended and may be out of date.
  CaughtUp,   ///< Enough peers answered after a pause.
  Superseded, ///< The fleet has a later incarnation of this host.
  TableFull,  ///< A member was ignored because of MaxMembers.
};

/// Returns the name of the event in logs, such as "member_failed".
std::string_view eventName(MembershipEventKind Kind);

/// Returns true for events that an operator should look at, false for those of
/// normal operation.
bool isWarning(MembershipEventKind Kind);

/// Returns the name of the state in JSON and for people, such as "leaving".
std::string_view stateName(MemberState S);

/// A change of membership and the evidence for it.
struct MembershipEvent {
  MembershipEventKind Kind = MembershipEventKind::Joined;
  DaemonId Who;
  /// The member that reported or observed it, possibly this daemon; empty for
  /// pauses, the host list and expired tombstones.
  HostId By;
  /// For people: "no answer in 412 ms; 3 of 3 helpers had none either".
  std::string Evidence;

  friend bool operator==(const MembershipEvent &,
                         const MembershipEvent &) = default;
};

struct GossipSend {
  Endpoint To;
  GossipMessage Message;
};

struct MembershipOutput {
  std::vector<GossipSend> Sends;
  std::vector<MembershipEvent> Events;
  bool Changed = false; ///< The number of view() has changed.
};

/// The configuration that a peer last announced.
struct PeerConfig {
  DaemonId Who;
  std::uint64_t Generation = 0;
  std::uint64_t Head = 0;
  StoreRevisions Revisions;
  Instant HeardAt;
};

class Membership {
public:
  /// Starts with only \p Self (Starting or Alive) as a member and the gossip
  /// endpoints \p Seeds. Seeds its own generator from \p Rng. Fails with
  /// SettingsInvalid when an option is out of range.
  static Result<Membership> make(const MembershipOptions &Options, Member Self,
                                 std::vector<Endpoint> Seeds, Random &Rng,
                                 Instant Now);
  ~Membership();
  Membership(Membership &&) noexcept;
  Membership &operator=(Membership &&) noexcept;

  MembershipOutput onTick(Instant Now);
  /// Messages that fail checkMessage() are dropped.
  MembershipOutput onMessage(const GossipMessage &M, Instant Now);
  /// Replaces the previous host list of the platform.
  MembershipOutput onHostList(const std::vector<ListedHost> &Hosts,
                              Instant Now);
  /// Replaces the gossip endpoints of the seeds.
  void setSeeds(std::vector<Endpoint> Seeds, Instant Now);
  /// Sets the state of this daemon (Starting, Alive, Leaving or Left) and
  /// notifies a few members at once. Has no effect once the state is Left.
  MembershipOutput setSelfState(MemberState State, Instant Now);
  /// Sets the announced load of this host (Member::Load). It reaches the other
  /// members within a second or two: like other updates, it is piggybacked on
  /// probes and sent in Notices while it is fresh.
  MembershipOutput setSelfLoad(std::uint32_t Load, Instant Now);
  /// Sets whether this daemon can read the store (Member::Store), and tells
  /// \p First at once; the others as for setSelfLoad().
  MembershipOutput setSelfStoreAccess(StoreAccess Access,
                                      const std::vector<DaemonId> &First,
                                      Instant Now);
  /// Sends the state and configuration of this daemon and recent updates to
  /// \p Peers at once. Unknown peers are skipped.
  MembershipOutput announce(const std::vector<DaemonId> &Peers, Instant Now);
  /// Sets the configuration that later messages announce.
  void setConfig(std::uint64_t Generation, std::uint64_t Head);
  /// Sets the store revisions that later messages announce as read.
  void setRevisions(const StoreRevisions &Read);

  /// The current view: this daemon and every known member, with tombstones.
  const FleetView &view() const;
  const Member &self() const;
  /// Returns false after a pause until two peers (or all, if there are fewer)
  /// have answered again, and forever once a later incarnation of this host is
  /// known. Check it before every action that others rely on. It compares
  /// \p Now with the last call of the driver, so it is correct even before the
  /// first tick after a pause.
  bool mayAct(Instant Now) const;
  /// The reason why mayAct() is false; empty when it is true.
  std::string refusalReason(Instant Now) const;
  /// Returns true when the view can be relied on after a start: either a peer's
  /// table equals ours (almost, in a large fleet) and no new member was found
  /// for SettleTime, or no other member is known SettleTime after every seed
  /// was asked.
  bool settled(Instant Now) const;
  /// When a member was last found that was new or had been taken for gone.
  Instant lastJoinAt() const;
  /// When the last message of another member arrived.
  Instant heardAt() const;
  /// Live members that have answered a table comparison since the start or the
  /// last pause.
  std::size_t peersHeard() const;
  /// Live members other than this daemon.
  std::size_t peersKnown() const;
  /// The configurations that live members last announced.
  std::vector<PeerConfig> peerConfigs() const;
  /// 0 when healthy, at most 8. Higher values mean that this daemon is slow and
  /// should accuse others more slowly.
  unsigned localHealth() const;
  /// Returns the entry weight of a member from 0 to 1. It grows over \p WarmUp
  /// after this daemon saw the member become Alive, and is 1 for members that
  /// were Alive when first seen.
  double warmUpFraction(const DaemonId &Who, Duration WarmUp,
                        Instant Now) const;
  /// Estimate of the memory in use.
  std::size_t memoryBytes() const;

private:
  struct Impl;
  explicit Membership(std::unique_ptr<Impl> I);
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_MEMBERSHIP_H
