//===- SuspendedTime.h - Time that the machine was suspended ----*- C++ -*-===//
#ifndef SHALLOTSHIFT_NET_SUSPENDEDTIME_H
#define SHALLOTSHIFT_NET_SUSPENDEDTIME_H

#include "shallotshift/base.h"

namespace shallot {

/// Time since the boot that EventLoop::now() did not count because the machine
/// was suspended.
Duration suspendedTime();

} // namespace shallot

#endif // SHALLOTSHIFT_NET_SUSPENDEDTIME_H
