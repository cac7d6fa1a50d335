//===- RestoreRecovery.h - State that a restore took back -------*- C++ -*-===//
//
// A store that was restored from a copy lacks the changes of its last seconds.
// Whoever wrote them writes them again, but until then the store shows a state
// that has passed. This class decides, for the objects of one kind, what stays
// in force meanwhile:
//
//   read before, now absent     kept (KeepLost) until it is written again: a
//                               replica that registered lately is alive
//   removed before, now there   withheld (WithholdRemoved) until it is removed
//                               again: a replica that left must get nothing
//   there with another content  the store's, unless the owner of the kind says
//                               that the held state outlives it: an operator's
//                               version only grows
//
// Any change of the new epoch counts at once. What nobody wrote again by the
// end of these times is taken for what the store shows.
//
// Each daemon decides by what it has read itself. Peers are passed the store's
// objects, except for those that the held state outlives.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_RESTORERECOVERY_H
#define SHALLOTSHIFT_STORE_RESTORERECOVERY_H

#include "store/ObjectStore.h"

#include <map>

namespace shallot {

struct RestoreOptions {
  /// Writers of lost objects have two seconds to write them again. 0: the owner
  /// of the kind keeps what it needs of them.
  Duration KeepLost = Millis(2500);
  /// The store removes a registration after three heartbeats without one, which
  /// are some four seconds.
  Duration WithholdRemoved = Seconds(5);

  friend bool operator==(const RestoreOptions &,
                         const RestoreOptions &) = default;
};

/// How long a removal is remembered: longer than a copy can be old.
inline constexpr Duration RemovalRetention = Seconds(60);
/// Removals that are remembered; the oldest are dropped first. A restart of
/// 10,000 replicas fits.
inline constexpr std::size_t MaxRemovals = 20000;

/// A restore of the store, as one daemon saw it.
struct RestoreReport {
  StoreRevision Listed;     ///< The first list of the new epoch.
  StoreRevision Read;       ///< What was read before.
  std::size_t Kept = 0;     ///< Objects that the store has lost.
  std::size_t Withheld = 0; ///< Objects that are back after their removal.

  friend bool operator==(const RestoreReport &,
                         const RestoreReport &) = default;
};

using ObjectsByName = std::map<std::string, KindObject>;

class RestoreRecovery {
public:
  /// Whether \p Held stays although the store holds \p Stored, or nothing if
  /// that is null.
  using OutlivesFn =
      std::function<bool(const KindObject &Held, const KindObject *Stored)>;

  /// \p Outlives may be empty: no object outlives the store's.
  RestoreRecovery(RestoreOptions O, OutlivesFn Outlives)
      : Options(O), OutlivesStored(std::move(Outlives)) {}

  bool outlives(const KindObject &Held, const KindObject *Stored) const {
    return OutlivesStored && OutlivesStored(Held, Stored);
  }

  /// Applies a list at \p Revision to \p Cached, the objects read before.
  /// \p Restored: it is the first of a new epoch. Returns the objects to cache.
  std::vector<KindObject> listed(const ObjectsByName &Cached,
                                 std::vector<KindObject> Now,
                                 StoreRevision Revision, bool Restored,
                                 Instant At);
  /// The objects in force, given \p Cached, the result of listed().
  std::vector<KindObject> inForce(std::vector<KindObject> Cached) const;
  /// Takes note of a change that the store reports.
  void changed(const KindChange &C, Instant At);
  /// Ends what is due: changes of what is in force. Call it at nextEnd().
  std::vector<KindChange> settle(Instant Now);
  std::optional<Instant> nextEnd() const;

  /// Objects that are in the store again after their removal was read.
  const ObjectsByName &withheld() const { return Withheld; }
  /// Objects that the store has lost and that are kept in force.
  const ObjectsByName &kept() const { return Kept; }

private:
  void recordRemoval(const std::string &Name, Instant At);
  void forgetRemovals(Instant At);
  void findLost(const ObjectsByName &Cached, const ObjectsByName &Listed);
  void findWithheld(const ObjectsByName &Cached, const ObjectsByName &Listed);

  RestoreOptions Options;
  OutlivesFn OutlivesStored;
  std::map<std::string, Instant> Removals;
  ObjectsByName Kept;
  ObjectsByName Withheld;
  Instant KeepUntil{};
  Instant WithholdUntil{};
};

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_RESTORERECOVERY_H
