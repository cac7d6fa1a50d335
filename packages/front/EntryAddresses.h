//===- EntryAddresses.h - Where a caller should connect ---------*- C++ -*-===//
//
// Callers of this tier pick one of the addresses that they are given at random,
// so a list is not an order of preference but a share of the load: a distant
// address in it takes traffic. A caller is therefore given the daemons of its
// own zone, and others only where there is none.
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

/// The addresses for a caller at \p Caller: of its zone, else of its region,
/// else of all; healthy ones before suspected ones. Empty when no daemon takes
/// callers.
std::vector<Endpoint> entryAddresses(const FleetView &View,
                                     const Place &Caller);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_ENTRYADDRESSES_H
