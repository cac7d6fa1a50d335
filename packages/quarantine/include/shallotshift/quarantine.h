//===- shallotshift/quarantine.h - Queries of death -------------*- C++ -*-===//
//
// The public header of package quarantine: what identifies a request across
// attempts (RequestFingerprint.h), what the fleet knows of one under which
// replicas crashed (QuarantineRecord.h), and what a daemon does with such
// requests (Quarantine.h). No I/O, no clock.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUARANTINE_H
#define SHALLOTSHIFT_QUARANTINE_H

#include "quarantine/Quarantine.h"
#include "quarantine/QuarantineRecord.h"
#include "quarantine/RequestFingerprint.h"

#endif // SHALLOTSHIFT_QUARANTINE_H
