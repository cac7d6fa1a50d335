//===- KindCache.h - The objects of a kind, and what changed ----*- C++ -*-===//
//
// What a KindWatch has seen, kept so that it can be passed on: one daemon in
// each region reads from the store, and the others read from it in the same
// form. The store's revisions are passed on unchanged, so a daemon may change
// from one source to another without missing a change.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_KINDCACHE_H
#define SHALLOTSHIFT_STORE_KINDCACHE_H

#include "store/ObjectStore.h"

#include <map>

namespace shallot {

/// Objects whose changes are kept for those who watch on from an older
/// revision; beyond it they list anew. A rolling replacement of 10,000 replicas
/// fits.
inline constexpr std::size_t MaxKeptChanges = 20000;
/// Objects in one page of a list: about 100 KB of registrations.
inline constexpr std::size_t PageObjects = 500;

class KindCache {
public:
  void replaceAll(const std::vector<KindObject> &Now, StoreRevision Revision);
  void apply(const KindChange &C);
  /// Nothing else has changed up to \p Revision.
  void advance(StoreRevision Revision);

  StoreRevision revision() const { return Revision; }
  /// Of the newest change that was seen. revision() grows with changes of other
  /// kinds too.
  StoreRevision lastChange() const { return LastChange; }
  std::size_t size() const { return ByName.size(); }
  /// False when the history since \p Since is not kept.
  bool keepsSince(StoreRevision Since) const { return Since >= ChangesFrom; }
  KindPage page(const std::string &After) const;
  /// What changed after \p Since, each object once, in its newest state;
  /// nothing when that history is not kept.
  std::optional<KindChanges> since(StoreRevision Since) const;
  /// The objects by name.
  const std::map<std::string, KindObject> &objects() const { return ByName; }
  /// Null if there is no such object.
  const KindObject *find(const std::string &Name) const {
    auto Found = ByName.find(Name);
    return Found == ByName.end() ? nullptr : &Found->second;
  }

private:
  /// Sorted by revision.
  using Place = std::pair<StoreRevision, std::string>;

  void forgetChange(const std::string &Name);

  std::map<std::string, KindObject> ByName;
  /// The newest change of each object that changed after ChangesFrom. The
  /// failure: kept change by change, five versions of a configuration of 0.7 MB
  /// are 3.5 MB for whoever is behind, who so falls further behind, and a
  /// daemon's memory grows with each version (49 MB at the peak of a process
  /// after five of them, 40 MB with the newest alone).
  /// Readers go by the newest state of an object, so nothing is missed.
  std::map<Place, KindChange> Changes;
  std::map<std::string, StoreRevision> ChangedAt; ///< Its place in Changes.
  StoreRevision ChangesFrom; ///< Complete after this revision.
  StoreRevision Revision;
  StoreRevision LastChange;
};

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_KINDCACHE_H
