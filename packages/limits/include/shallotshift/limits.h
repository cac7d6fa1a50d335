//===- shallotshift/limits.h - Who may send how much ------------*- C++ -*-===//
//
// The public header of package limits. Fleet-wide caps without a coordinator:
// who holds which slots (SlotAllocation.h), how slots change hands
// (HandoverGuard.h), how shares of a bound in every window do (GrantedShare.h),
// and who waits for one at its holder (SlotQueue.h). Overload at the entry:
// admission by class (Admission.h) over an adaptive limit (ConcurrencyLimit.h),
// budgets for hedges and retries (Budget.h) and the gradual return of an
// upstream that shed work or started cold (SlowStart.h). No I/O, no clock.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_H
#define SHALLOTSHIFT_LIMITS_H

#include "limits/Admission.h"
#include "limits/AdmissionDecision.h"
#include "limits/Budget.h"
#include "limits/ConcurrencyLimit.h"
#include "limits/GrantedShare.h"
#include "limits/HandoverGuard.h"
#include "limits/SlotAllocation.h"
#include "limits/SlotQueue.h"
#include "limits/SlowStart.h"

#endif // SHALLOTSHIFT_LIMITS_H
