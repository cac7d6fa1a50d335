//===- ChangeCommands.h - create, apply, delete, preset use -----*- C++ -*-===//
#ifndef SHALLOTSHIFT_CTL_CHANGECOMMANDS_H
#define SHALLOTSHIFT_CTL_CHANGECOMMANDS_H

#include "ctl/Session.h"

namespace shallot {

Result<Report> runCreate(Session &S);
Result<Report> runApply(Session &S);
Result<Report> runDelete(Session &S);
Result<Report> runPresetUse(Session &S);

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_CHANGECOMMANDS_H
