//===- shallotshift/ctl.h - The operator's tool -----------------*- C++ -*-===//
//
// The public header of package ctl: everything of shallotctl but main().
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_CTL_H
#define SHALLOTSHIFT_CTL_H

#include "ctl/ChangeCommands.h"
#include "ctl/DaemonCalls.h"
#include "ctl/FleetCommands.h"
#include "ctl/Help.h"
#include "ctl/Options.h"
#include "ctl/QuarantineCommands.h"
#include "ctl/ReadCommands.h"
#include "ctl/Report.h"
#include "ctl/RunCtl.h"
#include "ctl/Session.h"

#endif // SHALLOTSHIFT_CTL_H
