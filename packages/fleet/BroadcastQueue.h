//===- BroadcastQueue.h - Queue of updates to broadcast ---------*- C++ -*-===//
//
// Internal to package fleet: the members with recent updates and how often each
// was sent. Updates sent least often go first. Each is sent a number of times
// that grows with the logarithm of the fleet size (SWIM); updates that are lost
// nevertheless are repaired by table comparison. At most one entry per member.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_BROADCASTQUEUE_H
#define SHALLOTSHIFT_FLEET_BROADCASTQUEUE_H

#include "shallotshift/base.h"

#include <map>
#include <set>
#include <vector>

namespace shallot::internal {

class BroadcastQueue {
public:
  /// Queues the update about \p Host ahead of all others.
  void add(const HostId &Host) {
    remove(Host);
    insert(Host, 0);
  }

  void remove(const HostId &Host) {
    auto It = ByHost.find(Host);
    if (It == ByHost.end())
      return;
    Order.erase({It->second.Sent, It->second.Age, Host});
    ByHost.erase(It);
  }

  /// Calls \p Take for hosts in order of fewest sends until it returns false,
  /// and counts one send for each host taken. Drops hosts sent \p Limit times.
  template <typename F> void transmit(unsigned Limit, F &&Take) {
    std::vector<Entry> Taken;
    for (const Entry &E : Order) {
      if (!Take(E.Host))
        break;
      Taken.push_back(E);
    }
    for (const Entry &E : Taken) {
      remove(E.Host);
      if (E.Sent + 1 < Limit)
        insert(E.Host, E.Sent + 1);
    }
  }

  /// Counts \p By more sends for every host for which \p Keep is false.
  template <typename F> void age(unsigned By, unsigned Limit, F &&Keep) {
    std::vector<Entry> All(Order.begin(), Order.end());
    // Reinsert the oldest first, so that the newest stay in front.
    for (auto E = All.rbegin(); E != All.rend(); ++E) {
      if (Keep(E->Host))
        continue;
      remove(E->Host);
      if (E->Sent + By < Limit)
        insert(E->Host, E->Sent + By);
    }
  }

  /// Returns true if any host was sent fewer than \p Sends times.
  bool anyBelow(unsigned Sends) const {
    return !Order.empty() && Order.begin()->Sent < Sends;
  }

  std::size_t size() const { return ByHost.size(); }

private:
  struct Entry {
    unsigned Sent = 0;
    std::uint64_t Age = 0; ///< Decreases over time: the newest go first.
    HostId Host;
    friend auto operator<=>(const Entry &, const Entry &) = default;
  };

  void insert(const HostId &Host, unsigned Sent) {
    Entry E{Sent, --NextAge, Host};
    Order.insert(E);
    ByHost.emplace(Host, E);
  }

  std::uint64_t NextAge = ~std::uint64_t(0);
  std::set<Entry> Order;
  std::map<HostId, Entry> ByHost;
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_FLEET_BROADCASTQUEUE_H
