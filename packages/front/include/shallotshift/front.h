//===- shallotshift/front.h - A daemon that forwards ------------*- C++ -*-===//
//
// The public header of package front: its settings (FrontSettings.h), the
// daemon (FrontDaemon.h), what a deployment calls its headers (HeaderNames.h)
// and how the store's objects reach the daemon (ServingFeed.h), through
// peers where that saves calls (FeedSources.h, RelayedStore.h, FeedServer.h,
// CatchUp.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_H
#define SHALLOTSHIFT_FRONT_H

#include "front/CatchUp.h"
#include "front/EntryAddresses.h"
#include "front/FeedServer.h"
#include "front/FeedSources.h"
#include "front/FeedWire.h"
#include "front/FollowedKind.h"
#include "front/FrontDaemon.h"
#include "front/FrontSettings.h"
#include "front/HeaderNames.h"
#include "front/RelayedStore.h"
#include "front/ReplyReading.h"
#include "front/ServingFeed.h"

#endif // SHALLOTSHIFT_FRONT_H
