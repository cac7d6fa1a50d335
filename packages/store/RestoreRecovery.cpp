//===- RestoreRecovery.cpp ------------------------------------------------===//
#include "store/RestoreRecovery.h"

#include <algorithm>

namespace shallot {

std::vector<KindObject> RestoreRecovery::listed(const ObjectsByName &Cached,
                                                std::vector<KindObject> Now,
                                                StoreRevision Revision,
                                                bool Restored, Instant At) {
  forgetRemovals(At);
  ObjectsByName Listed;
  for (KindObject &O : Now)
    Listed.insert_or_assign(O.Name, std::move(O));
  if (Restored) {
    findLost(Cached, Listed);
    findWithheld(Cached, Listed);
    KeepUntil = At + Options.KeepLost;
    WithholdUntil = At + Options.WithholdRemoved;
  } else {
    std::erase_if(Kept,
                  [&](const auto &K) { return Listed.contains(K.first); });
    std::erase_if(Withheld,
                  [&](const auto &W) { return !Listed.contains(W.first); });
  }
  for (const auto &[Name, Held] : Cached) {
    auto Found = Listed.find(Name);
    const KindObject *Stored = Found == Listed.end() ? nullptr : &Found->second;
    if (outlives(Held, Stored)) {
      KindObject Stays = Held;
      Stays.Revision = Stored ? Stored->Revision : Revision;
      Listed.insert_or_assign(Name, std::move(Stays));
      Kept.erase(Name);
    } else if (!Stored && !Kept.contains(Name)) {
      recordRemoval(Name, At);
    }
  }
  std::vector<KindObject> All;
  for (auto &[Name, O] : Listed) {
    if (!Withheld.contains(Name))
      Removals.erase(Name);
    All.push_back(std::move(O));
  }
  return All;
}

void RestoreRecovery::findLost(const ObjectsByName &Cached,
                               const ObjectsByName &Listed) {
  std::erase_if(Kept, [&](const auto &K) { return Listed.contains(K.first); });
  if (Options.KeepLost <= Duration(0))
    return;
  for (const auto &[Name, Held] : Cached)
    if (!Listed.contains(Name) && !Withheld.contains(Name))
      Kept.insert_or_assign(Name, Held);
}

void RestoreRecovery::findWithheld(const ObjectsByName &Cached,
                                   const ObjectsByName &Listed) {
  ObjectsByName Before = std::exchange(Withheld, {});
  for (const auto &[Name, O] : Listed)
    if (Before.contains(Name) ||
        (Removals.contains(Name) && !Cached.contains(Name)))
      Withheld.emplace(Name, O);
}

std::vector<KindObject>
RestoreRecovery::inForce(std::vector<KindObject> Cached) const {
  std::erase_if(Cached,
                [&](const KindObject &O) { return Withheld.contains(O.Name); });
  for (const auto &[Name, O] : Kept)
    Cached.push_back(O);
  return Cached;
}

void RestoreRecovery::changed(const KindChange &C, Instant At) {
  const std::string &Name = C.Object.Name;
  Kept.erase(Name);
  Withheld.erase(Name);
  if (C.Removed)
    recordRemoval(Name, At);
  else
    Removals.erase(Name);
}

std::vector<KindChange> RestoreRecovery::settle(Instant Now) {
  std::vector<KindChange> Due;
  if (Now >= KeepUntil)
    for (auto &[Name, O] : std::exchange(Kept, {})) {
      recordRemoval(Name, Now);
      Due.push_back({O, true});
    }
  if (Now >= WithholdUntil)
    for (auto &[Name, O] : std::exchange(Withheld, {})) {
      Removals.erase(Name);
      Due.push_back({O, false});
    }
  return Due;
}

std::optional<Instant> RestoreRecovery::nextEnd() const {
  std::optional<Instant> Next;
  if (!Kept.empty())
    Next = KeepUntil;
  if (!Withheld.empty())
    Next = std::min(Next.value_or(WithholdUntil), WithholdUntil);
  return Next;
}

void RestoreRecovery::recordRemoval(const std::string &Name, Instant At) {
  Removals[Name] = At;
  if (Removals.size() > MaxRemovals)
    forgetRemovals(At);
  if (Removals.size() <= MaxRemovals)
    return;
  Removals.erase(std::ranges::min_element(
      Removals, {}, [](const auto &R) { return R.second; }));
}

void RestoreRecovery::forgetRemovals(Instant At) {
  std::erase_if(Removals, [&](const auto &R) {
    return At >= R.second + RemovalRetention && !Withheld.contains(R.first);
  });
}

} // namespace shallot
