//===- EntryHostChoice.h - Selects the entry hosts of a zone ----*- C++ -*-===//
//
// Entry hosts are the daemons that a zone's callers are sent to. Only as many
// as the load needs are selected, the largest first. Spreading callers over
// all hosts would leave each of them with little traffic: cold connections to
// replicas, outdated samples of replica health, and shares of the connection
// and retry budgets that are close to zero. With 295 daemons at half a query
// per second each and 675 replicas, 0.90 of the load is served; with the same
// load on 18 of the daemons, 0.98.
//
//   - Growth: entry hosts announce their load (Member::Load), and more hosts
//     are added while utilization exceeds TargetUtilization.
//   - Failure: when entry hosts fail, the next hosts in order replace them. The
//     load that the failed hosts announced is still counted.
//   - Start: before any load is known, the largest hosts that together have
//     InitialCapacityFraction of the zone's capacity serve its callers.
//
// The selection is a pure function of the fleet view, so daemons with equal
// views select the same hosts. Hosts of equal capacity are ordered by id, so a
// change in load adds or removes hosts at the end of the list and moves no
// other callers.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_ENTRYHOSTCHOICE_H
#define SHALLOTSHIFT_FLEET_ENTRYHOSTCHOICE_H

#include "shallotshift/base.h"

#include <vector>

namespace shallot {

/// Target utilization of an entry host when all are equally busy. A query over
/// ninety shards occupies a host with an eighth of a core for 40 ms. At this
/// utilization one query in seven waits for another, and six times the load can
/// be served until more hosts are selected.
inline constexpr double TargetUtilization = 0.15;

/// Utilization up to which smaller hosts are not added to larger ones. Callers
/// are spread evenly, so the larger hosts would only get an equal share, and
/// the smaller ones answer more slowly.
inline constexpr double MaxUtilization = 0.4;

/// Fraction of a zone's capacity that serves its callers before any entry host
/// has announced a load. Enough for a busy fleet to be served at once; the
/// announced load then grows the set within seconds.
inline constexpr double InitialCapacityFraction = 0.2;

/// When one entry host fails, another with known replica health remains.
inline constexpr std::size_t MinEntryHosts = 2;

/// With hosts of equal capacity, one remains when two fail at once.
inline constexpr std::size_t EqualEntryHosts = 3;

/// Selects at most \p MaxHosts entry hosts from \p Candidates, the members that
/// may serve. \p Zone holds all members of the zone, including failed ones.
///
/// Callers choose among the selected hosts at random, so each gets an equal
/// share, and the usable capacity is the number of hosts times the capacity of
/// the smallest one.
std::vector<const Member *>
chooseEntryHosts(std::vector<const Member *> Candidates,
                 const std::vector<const Member *> &Zone, std::size_t MaxHosts);

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_ENTRYHOSTCHOICE_H
