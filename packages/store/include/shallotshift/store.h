//===- shallotshift/store.h - The platform's object service -----*- C++ -*-===//
//
// The public header of package store: conditional reads, writes and watches
// of the platform's objects, its list of hosts, all objects of a
// kind as they change (KindWatch.h), what stays in force after a restore
// (RestoreRecovery.h), reading a whole configuration
// and writing one operator's change. docs/PLATFORM.md has the protocol.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_H
#define SHALLOTSHIFT_STORE_H

#include "store/Backoff.h"
#include "store/ChangeRules.h"
#include "store/ChangeWriter.h"
#include "store/ConfigReader.h"
#include "store/HostList.h"
#include "store/KindCache.h"
#include "store/KindWatch.h"
#include "store/ObjectStore.h"
#include "store/RestoreRecovery.h"
#include "store/StoreClient.h"

#endif // SHALLOTSHIFT_STORE_H
