//===- shallotshift/forward.h - Forwarding of callers' requests -*- C++ -*-===//
//
// The public header of package forward:
//
//   Route.h, RouteAdmission.h   routes and admission of requests
//   Organisation.h              organisations, their keys and quotas
//   Replica.h, IncarnationTable.h, ReplicaRegistry.h
//                               replicas, their incarnations, replica selection
//   AnswerEvidence.h, ReplicaObservation.h, ReplicaSharing.h,
//   SharedObservations.h        what daemons tell each other of slow replicas
//   WarmupShare.h               which daemon sends to a cold replica
//   RetryBudget.h, ServiceTimeEstimate.h
//                               retry budget and service time estimates
//   ForwardRun.h                one request from arrival to answer
//   RecordMerge.h               merging of the shards' records
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_H
#define SHALLOTSHIFT_FORWARD_H

#include "forward/ForwardRun.h"
#include "forward/IncarnationTable.h"
#include "forward/Organisation.h"
#include "forward/RecordMerge.h"
#include "forward/Replica.h"
#include "forward/ReplicaObservation.h"
#include "forward/ReplicaRegistry.h"
#include "forward/ReplicaSharing.h"
#include "forward/RetryBudget.h"
#include "forward/Route.h"
#include "forward/RouteAdmission.h"
#include "forward/ServiceTimeEstimate.h"
#include "forward/WarmupShare.h"

#endif // SHALLOTSHIFT_FORWARD_H
