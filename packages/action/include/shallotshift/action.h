//===- shallotshift/action.h - Actions that run at most once ----*- C++ -*-===//
//
// The public header of package action: what travels (ActionTypes.h), the
// identity of an action (ActionKey.h), the commands and events of one action
// (ActionRun.h), and ActionRegistry.h, which a daemon feeds with deliveries,
// peers' messages and results. No I/O; docs/design/at-most-once.md says why.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_ACTION_H
#define SHALLOTSHIFT_ACTION_H

#include "action/ActionKey.h"
#include "action/ActionMemory.h"
#include "action/ActionRegistry.h"
#include "action/ActionRun.h"
#include "action/ActionTypes.h"
#include "action/ClaimRecord.h"

#endif // SHALLOTSHIFT_ACTION_H
