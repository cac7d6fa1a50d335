//===- FeedTree.h - Place of a daemon in the feed ---------------*- C++ -*-===//
//
// The tree in which the daemons of a region read the store's data from each
// other (FeedSources.h): a pure function of the fleet view. It is the same for
// all kinds of objects and is computed once for a view. The cost is that of
// sorting the ranks of the region's members.
//
// Evidence goes before rank: the first of a region is the largest host, unless
// it is known that the store refuses some daemons of the region. Then it is the
// largest one that is known to read. While none is known, the largest host
// stays first, fed by another region, and the others look for one that can read
// (StoreTrials.h).
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

/// What the daemons of a region announce about their access to the store.
struct RegionAccess {
  std::size_t Readers = 0;
  std::size_t Refused = 0;
  /// The first of the region is refused, and no other is known to read.
  bool Searching = false;
  /// The first of another region is not known to be refused.
  bool OtherRegionReads = false;
  /// Place of this daemon among the untried ones in a search: of its region
  /// while another region reads, otherwise of the fleet. The order is random
  /// with regard to size, since hosts of one size may be refused together; only
  /// the largest of the region is first.
  std::size_t SearchPlace = 0;
  /// Number of daemons that share the rate of repeated trials: those that are
  /// refused, and at least those that make the first trials of a search.
  std::size_t Sharing = 0;
  /// This daemon ranks before all others that read.
  bool OutranksReaders = false;

  friend bool operator==(const RegionAccess &, const RegionAccess &) = default;
};

/// Number of daemons that make trials in the groups at the beginning of a
/// search (StoreTrials.h).
inline constexpr std::size_t RegionSearchSize = 14;
inline constexpr std::size_t FleetSearchSize = 30;

struct FeedTree {
  std::vector<Member> Peers; ///< Sources in order of preference.
  /// All members that can be a source, by id.
  std::shared_ptr<const std::vector<DaemonId>> Serving;
  bool IsWatcher = true;    ///< Reads from the store for its region.
  bool Relays = false;      ///< Other daemons of the region read from this one.
  std::size_t InRegion = 0; ///< Daemons of this region, this one included.
  StoreAccess Own = StoreAccess::Untried; ///< Of this daemon.
  RegionAccess Access;
  std::vector<DaemonId> Refused; ///< Of all regions, by id.
  /// Daemons that should learn first of a change of this daemon's access: those
  /// that read from the first of the region, and the first of other regions.
  std::vector<DaemonId> Informed;

  /// The place of \p Self, a daemon in region \p Here.
  static FeedTree of(const FleetView &View, const HostId &Self,
                     const Region &Here);
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDTREE_H
