//===- CarrierChoice.h - Which hosts carry callers --------------*- C++ -*-===//
//
// Of the daemons that could serve a zone's callers, a few do: as many as the
// load needs, the largest first. The loads that this answers:
//
//   - many hosts, each with little to do: their connections to replicas are
//   cold,
//     they judge replicas by old evidence, and their shares of connections and
//     retries are next to nothing.
//   - growth: carriers announce how busy they are (Member::Load), and more
//   hosts are
//     named while they are busier than TargetUse.
//   - the loss of carriers: the next hosts in order take over, for the load
//     that the lost ones had.
//   - a start, when nobody knows the load: hosts with PriorPart of the zone's
//     capacity carry until they have announced it.
//
// A pure function of the fleet's picture, so daemons that see the same name the
// same hosts. Hosts of one size are taken in the order of their ids, so that a
// change of the load adds or drops the last ones and moves nobody else.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_CARRIERCHOICE_H
#define SHALLOTSHIFT_FLEET_CARRIERCHOICE_H

#include "shallotshift/base.h"

#include <vector>

namespace shallot {

/// Part of its capacity that a carrier should use, when all are equally busy: a
/// query over many shards occupies a small host for tens of milliseconds, and
/// others wait meanwhile.
inline constexpr double TargetUse = 0.15;

/// Use up to which large hosts are not joined by smaller ones: beside these
/// they get no more than an equal share, and the small ones answer more slowly.
inline constexpr double MostUse = 0.4;

/// Part of a zone's capacity that carries its callers before any carrier has
/// said what they take. Enough for a busy fleet to be served while it finds its
/// size: the load then grows the set within seconds.
inline constexpr double PriorPart = 0.2;

/// One carrier's loss leaves another one that knows the replicas.
inline constexpr std::size_t LeastCarriers = 2;

/// Where equal hosts are there, the loss of two at once leaves one.
inline constexpr std::size_t SpareCarriers = 3;

/// The carriers among \p Candidates, which may serve; at most \p Most. \p Zone
/// holds all members whose callers these serve, the lost ones too.
///
/// Callers pick among the named hosts at random, so each gets the same share:
/// a set holds as many times its smallest host.
std::vector<const Member *>
chooseEntryHosts(std::vector<const Member *> Candidates,
               const std::vector<const Member *> &Zone, std::size_t Most);

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_CARRIERCHOICE_H
