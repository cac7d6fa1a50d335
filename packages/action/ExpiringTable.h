//===- ExpiringTable.h - A bounded table that forgets by time ---*- C++ -*-===//
//
// Entries by identity, bounded in number, each with the time after which it may
// be forgotten. Nothing is forgotten early to make room: what is remembered
// here is what keeps an action from running twice, so a full table refuses.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_ACTION_EXPIRINGTABLE_H
#define SHALLOTSHIFT_ACTION_EXPIRINGTABLE_H

#include "shallotshift/base.h"

#include <map>
#include <string>
#include <unordered_map>

namespace shallot::internal {

template <typename Entry> class ExpiringTable {
public:
  explicit ExpiringTable(std::size_t Limit) : Limit(Limit) {}

  /// The entry, or null.
  Entry *find(const std::string &Identity) {
    auto It = Slots.find(Identity);
    return It == Slots.end() ? nullptr : &It->second.Value;
  }

  /// A new entry that may be forgotten after \p Until; null when full. The
  /// identity must be absent.
  Entry *add(const std::string &Identity, WallTime Until) {
    if (Slots.size() >= Limit)
      return nullptr;
    auto It = Slots.emplace(Identity, Slot{}).first;
    It->second.Due = ByTime.emplace(Until, &It->first);
    return &It->second.Value;
  }

  void keepUntil(const std::string &Identity, WallTime Until) {
    auto It = Slots.find(Identity);
    if (It == Slots.end())
      return;
    ByTime.erase(It->second.Due);
    It->second.Due = ByTime.emplace(Until, &It->first);
  }

  void remove(const std::string &Identity) {
    auto It = Slots.find(Identity);
    if (It == Slots.end())
      return;
    ByTime.erase(It->second.Due);
    Slots.erase(It);
  }

  /// Forgets the entries that are due at \p Now and for which \p MayForget.
  template <typename Predicate> void forget(WallTime Now, Predicate MayForget) {
    for (auto It = ByTime.begin(); It != ByTime.end() && It->first < Now;) {
      auto At = Slots.find(*It->second);
      if (!MayForget(At->second.Value)) {
        ++It;
        continue;
      }
      It = ByTime.erase(It);
      Slots.erase(At);
    }
  }

  std::size_t size() const { return Slots.size(); }

private:
  using TimeIndex = std::multimap<WallTime, const std::string *>;
  struct Slot {
    Entry Value;
    typename TimeIndex::iterator Due;
  };

  std::size_t Limit;
  // Nodes of an unordered_map do not move, so ByTime may point to their keys.
  std::unordered_map<std::string, Slot> Slots;
  TimeIndex ByTime;
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_ACTION_EXPIRINGTABLE_H
