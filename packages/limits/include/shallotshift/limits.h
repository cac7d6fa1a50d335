//===- shallotshift/limits.h - Concurrency limits and budgets ---*- C++ -*-===//
//
// The public header of package limits.
//
// Fleet-wide caps without a coordinator: allocation of upstream slots to
// daemons (SlotAllocation.h), hand-over of slots when the fleet changes
// (HandoverGuard.h), hand-over of shares of a rate limit (GrantedShare.h), and
// the queue in front of a daemon's slots (SlotQueue.h).
//
// Quotas of organisations over the whole fleet (QuotaAgent.h).
//
// Overload control at the entry daemon: admission by class (Admission.h) under
// an adaptive concurrency limit (ConcurrencyLimit.h), budgets for hedges and
// retries (Budget.h), and slow start of an upstream that shed load or is cold
// (SlowStart.h).
//
// Fair shares of organisations in capacity that is too small for all
// (FairQueue.h), and who uses it (OrganisationTally.h).
//
// The package does no I/O and reads no clock: callers pass the time in.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_H
#define SHALLOTSHIFT_LIMITS_H

#include "limits/Admission.h"
#include "limits/AdmissionDecision.h"
#include "limits/Budget.h"
#include "limits/ConcurrencyLimit.h"
#include "limits/FairQueue.h"
#include "limits/GrantedShare.h"
#include "limits/HandoverGuard.h"
#include "limits/OrganisationTally.h"
#include "limits/OrganisationWeight.h"
#include "limits/Quota.h"
#include "limits/QuotaAgent.h"
#include "limits/SlotAllocation.h"
#include "limits/SlotQueue.h"
#include "limits/SlowStart.h"
#include "limits/StopPlan.h"

#endif // SHALLOTSHIFT_LIMITS_H
