//===- RunCtl.h - One run of shallotctl -------------------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_CTL_RUNCTL_H
#define SHALLOTSHIFT_CTL_RUNCTL_H

namespace shallot {

/// Runs the command, prints its report and returns the exit code of its result
/// (docs/ERRORS.md).
int runCtl(int Argc, char **Argv);

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_RUNCTL_H
