//===- shallotshift/base.h - Types every package shares ---------*- C++ -*-===//
//
// The public header of package base: names of things (Ids.h), where
// something may be served (AllowedRegions.h), time without a
// clock (Time.h), numbered result codes (ResultCode.h), results (Result.h),
// header lines (HttpHeader.h), the rule for heads of HTTP/1.1 messages
// (HttpHead.h), the query of a URL (QueryText.h), counted faults of this
// program (Faults.h), hashing (Hash.h), random numbers that are
// passed in (Random.h), bounded rates (TokenBucket.h) and the order of a
// store's changes (StoreRevision.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_H
#define SHALLOTSHIFT_BASE_H

#include "base/AllowedRegions.h"
#include "base/Faults.h"
#include "base/Hash.h"
#include "base/HttpHead.h"
#include "base/HttpHeader.h"
#include "base/Ids.h"
#include "base/Member.h"
#include "base/QueryText.h"
#include "base/Random.h"
#include "base/Result.h"
#include "base/ResultCode.h"
#include "base/StoreAccess.h"
#include "base/StoreRevision.h"
#include "base/Time.h"
#include "base/TokenBucket.h"

#endif // SHALLOTSHIFT_BASE_H
