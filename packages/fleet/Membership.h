//===- Membership.h - Who is in the fleet -----------------------*- C++ -*-===//
//
// Failure detection and spreading of news after SWIM (Das, Gupta, Motivala
// 2002) with the local health of Lifeguard (Dadgar, Phillips, Currey 2018), as
// a state machine without input, output, clock or threads:
//
//   - each period one member is probed; if it does not answer, three others
//     probe it for us; if none gets an answer it is suspected;
//   - a suspect that does not refute within a time that grows with the
//     logarithm of the fleet is Failed. Nobody is Failed on hearsay: every
//     daemon gives every suspect its own full time;
//   - a daemon that is slow or was paused accuses more slowly;
//   - now and then the whole table is compared by digests with one member, so
//     that news that got lost is found;
//   - Failed members are kept for a while and probed at a bounded rate, so
//     that regions that lost each other meet again without a storm.
//
// Each daemon sends a bounded number of messages a second at any fleet size.
// The platform's host list is a source of seeds and of the word "leaving"; it
// lags, so it never makes a member Failed.
//
// How to drive it: call onTick every TickPeriod, onMessage for each datagram,
// and send what comes back.
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

/// How often onTick wants to be called.
inline constexpr Duration TickPeriod = Millis(100);

/// The most members that a daemon keeps; further ones are ignored and counted
/// by an event. Twice the target of 1,700 with its tombstones.
inline constexpr std::size_t MaxMembers = 4096;

struct MembershipOptions {
  /// One probe in each period, drawn anew from this range so that daemons
  /// started together do not probe in step.
  Duration MinPeriod = Millis(500);
  Duration MaxPeriod = Millis(1000);
  /// Bounds of the wait for an answer before others are asked to probe; in
  /// between it follows the round trips seen.
  Duration MinProbeTimeout = Millis(100);
  Duration MaxProbeTimeout = Millis(400);
  unsigned IndirectProbes = 3;
  /// A member of another region is probed in one round of so many; its own
  /// region probes it in each. Regions of a few members are probed by all.
  unsigned CrossRegionProbeRounds = 1;
  /// Time to refute = SuspicionPeriods x log10(members, at least 10) x mean
  /// period when several accuse, twice as long when one does.
  double SuspicionPeriods = 3;
  /// A longer time between ticks means that this process did not run.
  Duration PauseThreshold = Millis(1500);
  /// How long Failed and Left members are remembered: longer than regions
  /// lose each other.
  Duration TombstoneTime = std::chrono::hours(2);
  /// How often one Failed member, and one seed that is no member, is probed.
  Duration TombstoneProbePeriod = Seconds(2);
  /// How often the table is compared with one member when nothing differs.
  Duration SyncPeriod = Seconds(10);
  /// Datagrams of members sent in answer to comparisons: what runs over a long
  /// time, and what a start may take at once. With a burst of 12, 295 daemons
  /// that start together know each other after 12 s and 191 KB sent by each;
  /// with 250, and ReplyBurst for the seeds, after 3.3 s and 152 KB (virtual
  /// time). 250 of 1,200 bytes are an eighth of a second of a link of 20
  /// Mbit/s.
  double SyncDatagramsPerSecond = 4;
  double SyncBurst = 250;
  /// A view is settled when nobody new was found for this long.
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
  Joined,     ///< Not known before.
  Restarted,  ///< The same host with a new incarnation.
  Suspected,  ///< No answer; it may refute.
  Refuted,    ///< A suspect answered.
  Failed,     ///< A suspect did not refute in time.
  Recovered,  ///< A Failed member is back in the same run.
  Ready,      ///< It says that it is Alive.
  Leaving,    ///< It says, or the host list says, that it is leaving.
  Left,       ///< It stopped as planned.
  Forgotten,  ///< A tombstone ran out.
  Accused,    ///< Others accused this daemon; it refuted.
  Paused,     ///< This process did not run for a while and may be out of date.
  CaughtUp,   ///< Enough peers answered after a pause.
  Superseded, ///< A later run of this same host is in the fleet.
  TableFull,  ///< A member was ignored (MaxMembers).
};

/// The event's name in logs, such as "member_failed".
std::string_view eventName(MembershipEventKind Kind);

/// True for events that an operator should look at; the others are the usual
/// coming and going.
bool isWarning(MembershipEventKind Kind);

/// The state's name for people and in JSON, such as "leaving".
std::string_view stateName(MemberState S);

/// Something the fleet decided, and on what evidence.
struct MembershipEvent {
  MembershipEventKind Kind = MembershipEventKind::Joined;
  DaemonId Who;
  HostId By;            ///< Whose word it was; empty for one's own.
  std::string Evidence; ///< For people: "no answer to 3 helpers in 412 ms".

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
  bool Changed = false; ///< view() has a new number.
};

/// What a peer last said of its configuration.
struct PeerConfig {
  DaemonId Who;
  std::uint64_t Generation = 0;
  std::uint64_t Head = 0;
  StoreRevisions Revisions;
  Instant HeardAt;
};

class Membership {
public:
  /// Starts alone, knowing only \p Self (in state Starting or Alive) and the
  /// gossip endpoints of \p Seeds. Draws its own seed from \p Rng. Fails with
  /// SettingsInvalid when an option is out of its range.
  static Result<Membership> make(const MembershipOptions &Options, Member Self,
                                 std::vector<Endpoint> Seeds, Random &Rng,
                                 Instant Now);
  ~Membership();
  Membership(Membership &&) noexcept;
  Membership &operator=(Membership &&) noexcept;

  MembershipOutput onTick(Instant Now);
  /// A datagram that failed checkMessage() is dropped.
  MembershipOutput onMessage(const GossipMessage &M, Instant Now);
  /// Replaces what was known of the platform's host list.
  MembershipOutput onHostList(const std::vector<ListedHost> &Hosts,
                              Instant Now);
  /// Says that this daemon is now Starting, Alive, Leaving or Left and tells
  /// a few members at once. Going back from Left is refused by doing nothing.
  MembershipOutput setSelfState(MemberState State, Instant Now);
  /// Says what serving callers takes of this host (Member::Load). It travels
  /// with the other news, within a second or two, and costs no message more.
  MembershipOutput setSelfLoad(std::uint32_t Load, Instant Now);
  /// Sends what this daemon says of itself, its configuration and its newest
  /// news to these members at once; unknown ones are left out.
  MembershipOutput announce(const std::vector<DaemonId> &Peers, Instant Now);
  /// The configuration that later messages announce.
  void setConfig(std::uint64_t Generation, std::uint64_t Head);
  /// How far later messages say that this daemon has read the store.
  void setRevisions(const StoreRevisions &Read);

  /// The picture: this daemon and every member known, tombstones included.
  const FleetView &view() const;
  const Member &self() const;
  /// False while this daemon was paused and has not yet heard anew from two
  /// peers (or from all), and for good once a later run of its host is known.
  /// To be checked before every act that others rely on: it compares \p Now
  /// with the last tick, so it is right even before the first tick after a
  /// pause.
  bool mayAct(Instant Now) const;
  /// Why mayAct() is false, for the refusal; empty when it is true.
  std::string refusalReason(Instant Now) const;
  /// True when the view is fit to decide from after a start: a peer's table
  /// equals ours, or every seed was tried and none answered, and nobody new
  /// was found for SettleTime.
  bool settled(Instant Now) const;
  /// Members that answered this daemon since it started (or woke).
  std::size_t peersHeard() const;
  /// Live members other than this daemon.
  std::size_t peersKnown() const;
  /// What live members said of their configuration, by member.
  std::vector<PeerConfig> peerConfigs() const;
  /// 0 when healthy; up to MaxLocalHealth when this daemon is slow itself and
  /// so accuses more slowly.
  unsigned localHealth() const;
  /// Share of full entry weight from 0 to 1: grows over \p WarmUp since the
  /// member became Alive as seen here; 1 for members found already Alive.
  double warmUpFraction(const DaemonId &Who, Duration WarmUp, Instant Now) const;
  /// Bytes held, estimated.
  std::size_t memoryBytes() const;

private:
  struct Impl;
  explicit Membership(std::unique_ptr<Impl> I);
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_MEMBERSHIP_H
