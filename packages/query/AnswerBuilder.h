//===- AnswerBuilder.h - Records and coverage from the parts ----*- C++ -*-===//
//
// The only place that computes coverage, from the state of every requested
// service: a book is covered if its service's reply is in the answer, and is
// listed as missing otherwise. Internal to package query.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_ANSWERBUILDER_H
#define SHALLOTSHIFT_QUERY_ANSWERBUILDER_H

#include "query/SubQuery.h"

#include <span>

namespace shallot {

/// Returns the coverage of \p Subs. A service that is still waiting counts as
/// missing with TransferTimeout; \p Waited is the time since the search began.
Coverage coverageOf(std::span<const SubQuery> Subs, Duration Waited);

/// Moves the bodies of the answered services out of \p Subs.
std::vector<ServiceRecords> takeRecords(std::span<SubQuery> Subs);

/// Returns, for example, "3 of 25 books or pools are missing: legacy-a,
/// legacy-b, legacy-c".
std::string missingText(const Coverage &C);

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_ANSWERBUILDER_H
