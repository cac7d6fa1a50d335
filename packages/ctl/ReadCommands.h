//===- ReadCommands.h - show, diff, preset list, change, watch --*- C++ -*-===//
#ifndef SHALLOTSHIFT_CTL_READCOMMANDS_H
#define SHALLOTSHIFT_CTL_READCOMMANDS_H

#include "ctl/Session.h"

namespace shallot {

Result<Report> runShow(Session &S);
Result<Report> runDiff(Session &S);
Result<Report> runPresetList(Session &S);
Result<Report> runChange(Session &S);
/// Prints each change when it comes; ends after --count of them.
Result<Report> runWatch(Session &S);
Result<Report> runCheck(Session &S);

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_READCOMMANDS_H
