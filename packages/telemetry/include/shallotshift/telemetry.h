//===- shallotshift/telemetry.h - Logs and metrics --------------*- C++ -*-===//
//
// The public header of package telemetry: structured logs on standard output
// (Log.h), a last line of a process that crashes (CrashLine.h), and histograms
// and counters (Metrics.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TELEMETRY_H
#define SHALLOTSHIFT_TELEMETRY_H

#include "telemetry/CrashLine.h"
#include "telemetry/Log.h"
#include "telemetry/Metrics.h"

#endif // SHALLOTSHIFT_TELEMETRY_H
