//===- shallotshift/fleet.h - Membership and configuration ------*- C++ -*-===//
//
// The public header of package fleet: group membership and failure detection
// (Membership.h, GossipMessage.h), how parts of a fleet find each other
// (Rendezvous.h), the addresses that callers connect to (EntryDirectory.h) and
// the hosts that serve them (EntryHostChoice.h, LoadLevel.h), the start and
// shutdown of a daemon (Lifecycle.h), and the distribution of the configuration
// (ConfigSync.h, WatcherChoice.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_H
#define SHALLOTSHIFT_FLEET_H

#include "fleet/ConfigSync.h"
#include "fleet/EntryDirectory.h"
#include "fleet/EntryHostChoice.h"
#include "fleet/GossipMessage.h"
#include "fleet/Lifecycle.h"
#include "fleet/LoadLevel.h"
#include "fleet/Membership.h"
#include "fleet/Rendezvous.h"
#include "fleet/StopSequence.h"
#include "fleet/WatcherChoice.h"

#endif // SHALLOTSHIFT_FLEET_H
