//===- shallotshift/query.h - Decisions of one search -----------*- C++ -*-===//
//
// The public header of package query: one search as a pure state machine
// (QueryRun.h), its answer and coverage (QueryAnswer.h), per-upstream state
// from this daemon's own observations (ReplicaTable.h, LatencyModel.h), the
// choice of one snapshot (SnapshotChooser.h) and the trace of recent requests
// (TraceRing.h). Hedges and retries draw on the budgets of package limits. The
// package does no I/O and reads no clock.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_H
#define SHALLOTSHIFT_QUERY_H

#include "query/LatencyModel.h"
#include "query/QueryAnswer.h"
#include "query/QueryRun.h"
#include "query/ReplicaTable.h"
#include "query/SnapshotChooser.h"
#include "query/TraceRing.h"

#endif // SHALLOTSHIFT_QUERY_H
