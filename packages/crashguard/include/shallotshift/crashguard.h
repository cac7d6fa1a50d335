//===- shallotshift/crashguard.h - Quarantine in a daemon -------*- C++ -*-===//
//
// The public header of package crashguard. It connects package quarantine to a
// daemon's requests, logs and metrics (QuarantineGate.h) and to the platform's
// store, through which the fleet shares the records (QuarantineSync.h). If the
// store has only single objects, all records are kept in one of them
// (RecordDocument.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_CRASHGUARD_H
#define SHALLOTSHIFT_CRASHGUARD_H

#include "crashguard/QuarantineGate.h"
#include "crashguard/QuarantineSync.h"
#include "crashguard/RecordDocument.h"

#endif // SHALLOTSHIFT_CRASHGUARD_H
