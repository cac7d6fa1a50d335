//===- FeedTree.h - Place of a daemon in the feed ---------------*- C++ -*-===//
//
// The tree in which the daemons of a region read the store's data from each
// other (FeedSources.h): a pure function of the fleet view. It is the same for
// all kinds of objects and is computed once for a view. The cost is that of
// sorting the ranks of the region's members.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDTREE_H
#define SHALLOTSHIFT_FRONT_FEEDTREE_H

#include "shallotshift/base.h"

#include <memory>
#include <vector>

namespace shallot {

/// Maximum number of daemons that read from one daemon: 16 changes of 20 KB
/// take 0.2 s at 14 Mbit/s, and 1,700 daemons in 7 regions need three levels.
inline constexpr std::size_t FeedFanOut = 16;

struct FeedTree {
  std::vector<Member> Peers; ///< Sources in order of preference.
  /// All members that can be a source, by id.
  std::shared_ptr<const std::vector<DaemonId>> Serving;
  bool IsWatcher = true; ///< Reads from the store for its region.
  bool Relays = false;   ///< Other daemons of the region read from this one.

  /// The place of \p Self, a daemon in region \p Here.
  static FeedTree of(const FleetView &View, const HostId &Self,
                     const Region &Here);
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDTREE_H
