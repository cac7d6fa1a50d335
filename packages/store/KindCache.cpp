//===- KindCache.cpp ------------------------------------------------------===//
#include "store/KindCache.h"

#include <algorithm>

namespace shallot {

void KindCache::replaceAll(const std::vector<KindObject> &Now,
                           StoreRevision NewRevision) {
  ByName.clear();
  LastChange = std::max(LastChange, StoreRevision{NewRevision.Epoch, 0});
  for (const KindObject &O : Now) {
    ByName.emplace(O.Name, O);
    LastChange = std::max(LastChange, O.Revision);
  }
  Changes.clear();
  ChangedAt.clear();
  Revision = NewRevision;
  ChangesFrom = NewRevision;
}

void KindCache::apply(const KindChange &C) {
  if (C.Removed)
    ByName.erase(C.Object.Name);
  else
    ByName.insert_or_assign(C.Object.Name, C.Object);
  const std::string &Name = C.Object.Name;
  forgetChange(Name);
  Changes.emplace(Place(C.Object.Revision, Name), C);
  ChangedAt[Name] = C.Object.Revision;
  LastChange = std::max(LastChange, C.Object.Revision);
  if (Changes.size() <= MaxKeptChanges)
    return;
  auto Oldest = Changes.begin();
  ChangesFrom = std::max(ChangesFrom, Oldest->first.first);
  ChangedAt.erase(Oldest->first.second);
  Changes.erase(Oldest);
}

void KindCache::forgetChange(const std::string &Name) {
  auto At = ChangedAt.find(Name);
  if (At == ChangedAt.end())
    return;
  Changes.erase({At->second, Name});
  ChangedAt.erase(At);
}

void KindCache::advance(StoreRevision To) { Revision = std::max(Revision, To); }

KindPage KindCache::page(const std::string &After) const {
  KindPage P;
  P.Revision = Revision;
  auto At = After.empty() ? ByName.begin() : ByName.upper_bound(After);
  for (; At != ByName.end() && P.Objects.size() < PageObjects; ++At)
    P.Objects.push_back(At->second);
  P.More = At != ByName.end();
  return P;
}

std::optional<KindChanges> KindCache::since(StoreRevision Since) const {
  if (!keepsSince(Since))
    return std::nullopt;
  KindChanges Out;
  Out.Revision = std::max(Revision, Since);
  StoreRevision Next{Since.Epoch, Since.Number + 1};
  for (auto At = Changes.lower_bound({Next, {}}); At != Changes.end(); ++At)
    Out.Changes.push_back(At->second);
  return Out;
}

} // namespace shallot
