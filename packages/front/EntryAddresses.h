//===- EntryAddresses.h - Where a caller should connect ---------*- C++ -*-===//
//
// Callers of this tier pick one of the addresses that they are given at random,
// so a list is not an order of preference but a share of the load: a distant
// address in it takes traffic. A caller is therefore given the daemons of its
// own zone, and others only where there is none.
//
// Of these it is given the few that carry the load (CarrierChoice.h).
//
// (The directory of package fleet serves callers that try a short list in
// order, and so may put a distant one last.)
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_ENTRYADDRESSES_H
#define SHALLOTSHIFT_FRONT_ENTRYADDRESSES_H

#include "shallotshift/base.h"
#include "shallotshift/forward.h"

#include <vector>

namespace shallot {

/// Addresses in one answer; callers use no more.
inline constexpr std::size_t MaxEntryAddresses = 64;

/// The addresses for a caller at \p Caller whose requests may be served in
/// \p Regions: of its zone, else of its region, else of those regions, else of
/// all; healthy ones before suspected ones. Empty when no daemon takes callers.
///
/// A daemon elsewhere sends such requests to replicas in the allowed regions
/// only, so when these have lost all their daemons a distant one still serves.
std::vector<Endpoint>
entryAddresses(const FleetView &View, const Place &Caller,
               const AllowedRegions &Regions = AllowedRegions::anywhere());

/// Who shares what replicas take, at this moment. Their
/// connections and most of the retry allowance are shared by the carriers of
/// all zones, and those that are leaving, with \p Self in any case. Counting
/// every daemon instead leaves a carrier of a mixed fleet (12 of 62 hosts
/// carry) one connection to each replica, and its second request at a time goes
/// to another region; and of an allowance of 630 second sends in ten seconds
/// two to each of 295 daemons, most never used.
Sharing sharingAmongCarriers(const FleetView &View, const HostId &Self,
                             const Region &Here);

/// Who sends to cold replicas: the carriers. Nobody when less than half of the
/// fleet is seen: this daemon may be cut off from the rest, which goes on
/// sending.
WarmupSenders warmupSenders(const FleetView &View, const HostId &Self);

/// Part of the retry allowance's constant that daemons share which carry
/// nobody: callers that kept an older answer still come to them.
inline constexpr double OthersRetryPart = 0.2;

/// What a daemon may count on before it has been in the fleet for a window of
/// the allowance: its part if all daemons had the same.
double equalRetryPart(const FleetView &View, const HostId &Self);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_ENTRYADDRESSES_H
