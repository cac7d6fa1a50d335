//===- QueryAnswer.h - What a caller gets for a search ----------*- C++ -*-===//
//
// Records of one snapshot and a truthful account of what they cover. Coverage
// is derived from the replies that were used and from nothing else, so it
// cannot say "complete" when a service gave none.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_QUERYANSWER_H
#define SHALLOTSHIFT_QUERY_QUERYANSWER_H

#include "shallotshift/model.h"

#include <string>
#include <vector>

namespace shallot {

/// A book or pool that the answer does not cover, and why.
struct MissingBook {
  std::string Book;
  ServiceName Service;
  ResultCode Reason = ResultCode::NoReplica;
  std::string Text; ///< For people: what happened at that service.

  friend bool operator==(const MissingBook &, const MissingBook &) = default;
};

/// How much of what was asked is in the answer.
struct Coverage {
  std::size_t ServicesAsked = 0;
  std::size_t ServicesAnswered = 0;
  std::size_t BooksAsked = 0;
  std::size_t BooksAnswered = 0;
  std::vector<MissingBook> Missing; ///< In the order of the services asked.

  bool complete() const { return Missing.empty(); }
  /// Answered books as a share of those asked, 0 to 1.
  double share() const;

  friend bool operator==(const Coverage &, const Coverage &) = default;
};

/// The body of one service's reply that went into the answer.
struct ServiceRecords {
  ServiceName Service;
  UpstreamId From;
  std::string Body; ///< The upstream's {"records":[...]}.

  friend bool operator==(const ServiceRecords &,
                         const ServiceRecords &) = default;
};

/// What one search cost the upstreams.
struct QueryCost {
  unsigned FirstSends = 0; ///< One for each service asked.
  unsigned Hedges = 0;
  unsigned Retries = 0;
  /// The same pin at another upstream, after a refusal that cost no upstream
  /// any work: a 409, or no daemon with a free slot.
  unsigned Reasks = 0;
  unsigned Restarts = 0; ///< Sub-requests of a second run, newer snapshot.
  unsigned Crashed = 0;  ///< Upstreams whose process ended while they had it.
  unsigned Unseen = 0;   ///< Of all of these, those that no upstream saw.

  /// An upstream saw it, or may have.
  bool reachedUpstreams() const {
    return FirstSends + Hedges + Retries + Reasks + Restarts > Unseen;
  }

  friend bool operator==(const QueryCost &, const QueryCost &) = default;
};

struct QueryAnswer {
  /// Ok, PartialCoverage, CoverageRefused, DeadlineExceeded, SnapshotGone,
  /// NoReplica, WouldMissDeadline, CallerGone, ReplicasCrashed or
  /// RequestCrashes.
  ResultCode Code = ResultCode::Ok;
  std::string Text; ///< For people, when Code is not Ok.
  /// The one snapshot of all records; 0.0 when nothing answered.
  Snapshot Served;
  /// In the order of the services asked. Empty for every code but Ok and
  /// PartialCoverage.
  std::vector<ServiceRecords> Records;
  Coverage Covered;
  Duration RetryAfter{0}; ///< When to come back; 0: not said.
  QueryCost Cost;
  Duration Took{0};

  friend bool operator==(const QueryAnswer &, const QueryAnswer &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_QUERYANSWER_H
