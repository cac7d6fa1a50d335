//===- FleetState.h - What every part of a daemon decides from --*- C++ -*-===//
//
// The configuration in force, the picture of the fleet and the allocation of
// slots that follows from both. ControlPlane writes it; the others read it.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_FLEETSTATE_H
#define SHALLOTSHIFT_DAEMON_FLEETSTATE_H

#include "shallotshift/limits.h"
#include "shallotshift/model.h"

namespace shallot {

struct FleetState {
  DaemonId Self;
  AvailabilityZone Zone;
  ConfigPtr Conf; ///< Null until the first was installed.
  FleetView View;
  SlotAllocation Allocation;

  /// The member of this identity, or null.
  const Member *find(const DaemonId &Id) const;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_FLEETSTATE_H
