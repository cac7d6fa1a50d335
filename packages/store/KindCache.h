//===- KindCache.h - The objects of a kind, and what changed ----*- C++ -*-===//
//
// What a KindWatch has seen, kept so that it can be passed on: one daemon in
// each region asks the store, and the others ask that one in the same form. The
// store's revisions are passed on unchanged, so a daemon may change from one
// source to another without missing a change.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_KINDCACHE_H
#define SHALLOTSHIFT_STORE_KINDCACHE_H

#include "store/ObjectStore.h"

#include <deque>
#include <map>

namespace shallot {

/// Changes that are kept for those who watch on from an older revision; beyond
/// it they list anew. A rolling replacement of 10,000 replicas fits.
inline constexpr std::size_t MaxKeptChanges = 20000;
/// Objects in one page of a list: about 100 KB of registrations.
inline constexpr std::size_t PageObjects = 500;

class KindCache {
public:
  void replaceAll(const std::vector<KindObject> &Now, std::uint64_t Revision);
  void apply(const KindChange &C);
  /// Nothing else has changed up to \p Revision.
  void advance(std::uint64_t Revision);

  std::uint64_t revision() const { return Revision; }
  /// Of the newest change that was seen. revision() grows with changes of other
  /// kinds too.
  std::uint64_t lastChange() const { return LastChange; }
  std::size_t size() const { return ByName.size(); }
  KindPage page(const std::string &After) const;
  /// What changed after \p Since; nothing when that history is not kept.
  std::optional<KindChanges> since(std::uint64_t Since) const;

private:
  std::map<std::string, KindObject> ByName;
  std::deque<KindChange> Changes; ///< By revision.
  std::uint64_t ChangesFrom = 0;  ///< Complete after this revision.
  std::uint64_t Revision = 0;
  std::uint64_t LastChange = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_KINDCACHE_H
