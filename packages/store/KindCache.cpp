//===- KindCache.cpp ------------------------------------------------------===//
#include "store/KindCache.h"

#include <algorithm>

namespace shallot {

void KindCache::replaceAll(const std::vector<KindObject> &Now,
                           std::uint64_t NewRevision) {
  ByName.clear();
  for (const KindObject &O : Now) {
    ByName.emplace(O.Name, O);
    LastChange = std::max(LastChange, O.Revision);
  }
  Changes.clear();
  Revision = NewRevision;
  ChangesFrom = NewRevision;
}

void KindCache::apply(const KindChange &C) {
  if (C.Removed)
    ByName.erase(C.Object.Name);
  else
    ByName.insert_or_assign(C.Object.Name, C.Object);
  Changes.push_back(C);
  LastChange = std::max(LastChange, C.Object.Revision);
  if (Changes.size() <= MaxKeptChanges)
    return;
  ChangesFrom = std::max(ChangesFrom, Changes.front().Object.Revision);
  Changes.pop_front();
}

void KindCache::advance(std::uint64_t To) { Revision = std::max(Revision, To); }

KindPage KindCache::page(const std::string &After) const {
  KindPage P;
  P.Revision = Revision;
  auto At = After.empty() ? ByName.begin() : ByName.upper_bound(After);
  for (; At != ByName.end() && P.Objects.size() < PageObjects; ++At)
    P.Objects.push_back(At->second);
  P.More = At != ByName.end();
  return P;
}

std::optional<KindChanges> KindCache::since(std::uint64_t Since) const {
  if (Since < ChangesFrom)
    return std::nullopt;
  KindChanges Out;
  Out.Revision = std::max(Revision, Since);
  for (const KindChange &C : Changes)
    if (C.Object.Revision > Since)
      Out.Changes.push_back(C);
  return Out;
}

} // namespace shallot
