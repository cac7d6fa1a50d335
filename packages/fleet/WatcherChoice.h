//===- WatcherChoice.h - Selects the watchers of the platform ---*- C++ -*-===//
//
// The platform counts every open watch, and its rate limits grow more slowly
// than the fleet, so only WatchersPerZone daemons of each availability zone
// watch the configuration head. They are selected by rendezvous hashing over
// the local view, without messages or leases. Daemons with different views may
// select different watchers for a few seconds. This costs a few more watches
// and is otherwise harmless, since a watch only reports newer generations.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_WATCHERCHOICE_H
#define SHALLOTSHIFT_FLEET_WATCHERCHOICE_H

#include "shallotshift/base.h"

#include <vector>

namespace shallot {

/// When one watcher fails the other still sees a change at once. A third would
/// only cost calls, since zones also learn of changes from each other.
inline constexpr std::size_t WatchersPerZone = 2;

/// Returns the watchers of \p Zone, highest weight first. Candidates are the
/// members that take new work or, if there are none, those that are starting.
std::vector<DaemonId> watchersOf(const AvailabilityZone &Zone,
                                 const std::vector<Member> &Members);

/// Returns true if \p Self is one of the watchers of \p Zone, or if \p Members
/// has no candidate in the zone: then every daemon of the zone watches.
bool isWatcher(const DaemonId &Self, const AvailabilityZone &Zone,
               const std::vector<Member> &Members);

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_WATCHERCHOICE_H
