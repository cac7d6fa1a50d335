//===- HandoverGuard.h - When a slot that changed hands is used -*- C++ -*-===//
//
// When the fleet changes, daemons learn of it at different times. For a while
// the old holder of a slot may still use it while the new one already believes
// it is its own. The guard turns what this daemon holds (SlotAllocation) into
// what it may use: a gained slot only after guardTime(), a lost one not from
// this moment on. Work that is already running on a lost slot is counted
// against the share until it is done (SlotQueue).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_HANDOVERGUARD_H
#define SHALLOTSHIFT_LIMITS_HANDOVERGUARD_H

#include "limits/SlotAllocation.h"

#include <optional>

namespace shallot {

/// The time in which every daemon that can be reached has the same picture of
/// the fleet: failure detection and spread by gossip.
inline constexpr Duration ViewPropagationTime = Seconds(3);

/// The most that the longest sub-request still running adds to the guard. A
/// class with a longer deadline may overlap with the new holder by the rest;
/// without this bound one batch class of 30 s would keep every slot that
/// changes hands idle for half a minute.
inline constexpr Duration MaxDrainWait = Seconds(2);

/// How long a gained slot rests: ViewPropagationTime and the longest class
/// deadline of \p P, at most MaxDrainWait.
Duration guardTime(const Preset &P);

/// What may be used of an upstream has changed.
struct ShareChange {
  UpstreamId Id;
  Share Now;

  friend bool operator==(const ShareChange &, const ShareChange &) = default;
};

class HandoverGuard {
public:
  explicit HandoverGuard(Duration GuardTime) : GuardTime(GuardTime) {}

  /// Another preset may have another guard time; slots that rest already keep
  /// the time they were given.
  void setGuardTime(Duration D) { GuardTime = D; }

  /// Takes a new deal and returns what changed at once: losses, and gains that
  /// had rested long enough.
  std::vector<ShareChange> update(const SlotAllocation &A, Instant Now);

  /// Gains that have rested long enough by \p Now.
  std::vector<ShareChange> due(Instant Now);

  /// When due() next has something to say.
  std::optional<Instant> nextDue() const;

  /// What may be used of an upstream as of the last update() or due().
  Share usable(const UpstreamId &Id) const;

  /// Slots gained and resting, over all upstreams.
  unsigned pending() const;

private:
  struct Gain {
    Instant UsableAt;
    unsigned Slots = 0;
  };
  struct Entry {
    Share Held;                ///< By the last deal.
    unsigned Usable = 0;       ///< Slots.
    std::vector<Gain> Resting; ///< Oldest first; their sum and Usable is Held.
  };

  static Share shareOf(const Entry &E);
  void gain(Entry &E, unsigned Slots, Instant Now);
  static void lose(Entry &E, unsigned Slots);
  static bool ripen(Entry &E, Instant Now);

  Duration GuardTime;
  std::unordered_map<UpstreamId, Entry> Entries;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_HANDOVERGUARD_H
