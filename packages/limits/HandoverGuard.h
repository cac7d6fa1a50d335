//===- HandoverGuard.h - Delays the use of reassigned slots -----*- C++ -*-===//
//
// Daemons learn of a change of the fleet at different times, so the old holder
// of a slot may still use it while the new one already considers it its own.
// The guard derives the slots that this daemon may use from those it holds
// (SlotAllocation): a gained slot becomes usable only after guardTime(), a lost
// one stops being usable at once. Requests that still run on a lost slot count
// against the share until they end (SlotQueue).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_HANDOVERGUARD_H
#define SHALLOTSHIFT_LIMITS_HANDOVERGUARD_H

#include "limits/SlotAllocation.h"

#include <optional>

namespace shallot {

/// The time after which all reachable daemons have the same view of the fleet:
/// failure detection and propagation by gossip.
inline constexpr Duration ViewPropagationTime = Seconds(3);

/// Maximum time that the guard allows for sub-requests still running on a lost
/// slot. Those of a class with a longer deadline may overlap with the new
/// holder; without this bound one batch class with a deadline of 30 s would
/// keep every reassigned slot idle for half a minute.
inline constexpr Duration MaxDrainWait = Seconds(2);

/// The delay before a gained slot may be used: ViewPropagationTime plus the
/// longest class deadline of \p P, the latter at most MaxDrainWait.
Duration guardTime(const Preset &P);

/// A change of the usable share of an upstream.
struct ShareChange {
  UpstreamId Id;
  Share Now;

  friend bool operator==(const ShareChange &, const ShareChange &) = default;
};

class HandoverGuard {
public:
  explicit HandoverGuard(Duration GuardTime) : GuardTime(GuardTime) {}

  /// Sets the guard time for slots gained from now on; pending slots keep
  /// theirs.
  void setGuardTime(Duration D) { GuardTime = D; }

  /// Applies a new allocation and returns the changes that take effect at once:
  /// losses, and earlier gains whose guard time has passed.
  std::vector<ShareChange> update(const SlotAllocation &A, Instant Now);

  /// Returns the gains whose guard time has passed by \p Now.
  std::vector<ShareChange> due(Instant Now);

  /// When the next pending gain becomes usable.
  std::optional<Instant> nextDue() const;

  /// The usable share of an upstream as of the last update() or due().
  Share usable(const UpstreamId &Id) const;

  /// Slots gained but not usable yet, over all upstreams.
  unsigned pending() const;

private:
  struct Gain {
    Instant UsableAt;
    unsigned Slots = 0;
  };
  struct Entry {
    Share Held;          ///< By the last update().
    unsigned Usable = 0; ///< Slots.
    /// Oldest first. Their slots and Usable add up to Held.Slots.
    std::vector<Gain> Pending;
  };

  static Share shareOf(const Entry &E);
  void addPending(Entry &E, unsigned Slots, Instant Now);
  static void removeSlots(Entry &E, unsigned Slots);
  static bool activateDue(Entry &E, Instant Now);

  Duration GuardTime;
  std::unordered_map<UpstreamId, Entry> Entries;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_HANDOVERGUARD_H
