//===- shallotshift/daemon.h - One daemon of the fleet ----------*- C++ -*-===//
//
// The public header of package daemon: settings, options and the daemon itself,
// which joins the decisions of the core packages to sockets and timers.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_H
#define SHALLOTSHIFT_DAEMON_H

#include "daemon/Daemon.h"
#include "daemon/HolderChoice.h"
#include "daemon/Options.h"
#include "daemon/Requests.h"
#include "daemon/Settings.h"
#include "daemon/UpstreamClient.h"

#endif // SHALLOTSHIFT_DAEMON_H
