//===- shallotshift/quarantine.h - Requests that crash replicas -*- C++ -*-===//
//
// The public header of package quarantine, which keeps queries of death from
// the replicas: the identity of a request across attempts
// (RequestFingerprint.h), the fleet's shared record of a request during which
// replicas crashed (QuarantineRecord.h), and a daemon's table of these records
// (Quarantine.h). The package does no I/O and reads no clock.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUARANTINE_H
#define SHALLOTSHIFT_QUARANTINE_H

#include "quarantine/Quarantine.h"
#include "quarantine/QuarantineRecord.h"
#include "quarantine/RequestFingerprint.h"

#endif // SHALLOTSHIFT_QUARANTINE_H
