//===- EntryAddresses.h - Entry addresses for callers -----------*- C++ -*-===//
//
// Callers of this tier pick one of the returned addresses at random, so a list
// is not an order of preference but a distribution of load: a distant address
// in it receives traffic. A caller is therefore given the daemons of its own
// zone, and others only if that zone has none.
//
// Of these, only the entry hosts are returned: the few daemons that take the
// load (EntryHostChoice.h).
//
// (The directory of package fleet serves callers that try a short list in
// order, so it can place a distant address last.)
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_ENTRYADDRESSES_H
#define SHALLOTSHIFT_FRONT_ENTRYADDRESSES_H

#include "shallotshift/base.h"
#include "shallotshift/forward.h"

#include <vector>

namespace shallot {

/// Maximum number of addresses in a reply; callers use no more.
inline constexpr std::size_t MaxEntryAddresses = 64;

/// Addresses for a caller at \p Caller whose requests may be served in
/// \p Regions: daemons of its zone, or else of its region, or else of those
/// regions, or else all. Suspected daemons are returned only if there is no
/// healthy one anywhere. Empty when no daemon accepts callers.
///
/// A daemon outside \p Regions forwards such requests only to replicas in the
/// allowed regions, so a distant daemon can still serve when these regions have
/// lost all their daemons.
std::vector<Endpoint>
entryAddresses(const FleetView &View, const Location &Caller,
               const AllowedRegions &Regions = AllowedRegions::anywhere());

/// Daemons that currently share the capacity of replicas. The connections to
/// replicas and most of the retry allowance are shared by the entry hosts of
/// all zones, by daemons that are leaving or suspected, and the connections
/// always by \p Self too. Counting every daemon instead would leave an entry
/// host of a mixed fleet (12 of its 62 hosts are entry hosts) one connection to
/// each replica, so that its second concurrent request goes to another region;
/// and an allowance of 630 retries in ten seconds would give two to each of 295
/// daemons, most never used.
FleetShare sharingAmongEntryHosts(const FleetView &View, const HostId &Self,
                                  const Region &Here);

/// Daemons that may send to cold replicas: the entry hosts. None when this
/// daemon sees less than half of the fleet: it may be partitioned from the
/// rest, which continues to send.
WarmupSenders warmupSenders(const FleetView &View, const HostId &Self);

/// Fraction of the constant retry allowance that is shared by daemons which are
/// not entry hosts: callers with an older directory reply still use them.
inline constexpr double NonEntryHostRetryShare = 0.2;

/// Fraction of the retry allowance if all daemons had an equal part. A daemon
/// uses at most this until one window of the allowance after its start, plus
/// ViewPropagationTime.
double equalRetryPart(const FleetView &View, const HostId &Self);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_ENTRYADDRESSES_H
