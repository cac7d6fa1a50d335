//===- shallotshift/fleet.h - Decisions of the fleet ------------*- C++ -*-===//
//
// The public header of package fleet: who is a member (Membership.h) and what
// members say to each other (GossipMessage.h), where callers connect
// (EntryDirectory.h), which hosts carry them (CarrierChoice.h, LoadLevel.h),
// how a daemon starts and stops (Lifecycle.h), and how the configuration
// reaches every daemon (ConfigSync.h, WatcherChoice.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_H
#define SHALLOTSHIFT_FLEET_H

#include "fleet/CarrierChoice.h"
#include "fleet/ConfigSync.h"
#include "fleet/EntryDirectory.h"
#include "fleet/GossipMessage.h"
#include "fleet/Lifecycle.h"
#include "fleet/LoadLevel.h"
#include "fleet/Membership.h"
#include "fleet/WatcherChoice.h"

#endif // SHALLOTSHIFT_FLEET_H
