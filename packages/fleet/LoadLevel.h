//===- LoadLevel.h - The load that a daemon announces -----------*- C++ -*-===//
//
// Converts the measured utilization of a host to the load that its daemon
// announces (Member::Load). Entry hosts are selected by it, and each change is
// broadcast to every daemon, so it follows the utilization slowly and in
// steps. It rises and falls at the same speed: while callers move from one host
// to another the sum over both stays right, and the set of entry hosts does not
// oscillate.
//
// A host whose utilization exceeds one half announces it without this delay:
// its callers are already queueing, and other hosts have to help within
// seconds.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_LOADLEVEL_H
#define SHALLOTSHIFT_FLEET_LOADLEVEL_H

#include "shallotshift/base.h"

namespace shallot {

class LoadLevel {
public:
  /// \p Capacity: CPU capacity of the host in millicores.
  explicit LoadLevel(std::uint32_t Capacity) : Capacity(Capacity) {}

  /// Takes the fraction of the time since the last call in which the process
  /// was busy, and whether it has served any callers. Call at least once a
  /// second. Returns the load to announce in millicores; 0 until callers have
  /// been served for a few seconds or the utilization exceeds one half.
  std::uint32_t observe(double BusyFraction, bool Served, Instant Now);

private:
  std::uint32_t Capacity;
  double SlowAverage = 0; ///< Utilization averaged over SlowTimeConstant.
  double FastAverage = 0; ///< Utilization averaged over FastTimeConstant.
  Instant ServingSince = Instant::max();
  Instant LastAt{};
  std::uint32_t Announced = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_LOADLEVEL_H
