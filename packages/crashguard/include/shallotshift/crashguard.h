//===- shallotshift/crashguard.h - Queries of death in a daemon -*- C++ -*-===//
//
// The public header of package crashguard. It joins what package quarantine
// decides to a daemon: its requests, logs and metrics (QuarantineGate.h), and
// the platform's store, in which the fleet shares it (QuarantineSync.h). Where
// that store knows single objects only, all records are in one of them
// (RecordDocument.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_CRASHGUARD_H
#define SHALLOTSHIFT_CRASHGUARD_H

#include "crashguard/QuarantineGate.h"
#include "crashguard/QuarantineSync.h"
#include "crashguard/RecordDocument.h"

#endif // SHALLOTSHIFT_CRASHGUARD_H
