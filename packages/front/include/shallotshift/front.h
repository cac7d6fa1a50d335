//===- shallotshift/front.h - Request-forwarding daemon ---------*- C++ -*-===//
//
// Public header of package front: settings (FrontSettings.h), the daemon
// (FrontDaemon.h), the header names of a deployment (HeaderNames.h) and the
// delivery of store objects to the daemon (ServingFeed.h), relayed by peers to
// save calls to the store (FeedSources.h, RelayedStore.h, FeedServer.h,
// CatchUp.h, StoreTrials.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_H
#define SHALLOTSHIFT_FRONT_H

#include "front/CatchUp.h"
#include "front/EntryAddresses.h"
#include "front/FeedServer.h"
#include "front/FeedSources.h"
#include "front/FeedWire.h"
#include "front/FrontDaemon.h"
#include "front/FrontSettings.h"
#include "front/HeaderNames.h"
#include "front/QuotaLink.h"
#include "front/RelayedStore.h"
#include "front/ReplicaReportLink.h"
#include "front/ReplyReading.h"
#include "front/ServingFeed.h"
#include "front/StoreTrials.h"
#include "front/WatchedKind.h"

#endif // SHALLOTSHIFT_FRONT_H
