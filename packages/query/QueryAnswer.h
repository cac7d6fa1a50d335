//===- QueryAnswer.h - The result of one search -----------------*- C++ -*-===//
//
// Records of one snapshot and the coverage that they provide. Coverage is
// derived only from the replies in the answer, so it cannot report "complete"
// when a service returned nothing.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_QUERYANSWER_H
#define SHALLOTSHIFT_QUERY_QUERYANSWER_H

#include "shallotshift/model.h"

#include <string>
#include <vector>

namespace shallot {

/// A book or pool that the answer does not cover, and the reason.
struct MissingBook {
  std::string Book;
  ServiceName Service;
  ResultCode Reason = ResultCode::NoReplica;
  std::string Text; ///< Human-readable description of the failure.

  friend bool operator==(const MissingBook &, const MissingBook &) = default;
};

/// The part of the requested services and books that the answer covers.
struct Coverage {
  std::size_t ServicesAsked = 0;
  std::size_t ServicesAnswered = 0;
  std::size_t BooksAsked = 0;
  std::size_t BooksAnswered = 0;
  std::vector<MissingBook> Missing; ///< In the order of the request.

  bool complete() const { return Missing.empty(); }
  /// Returns the answered share of the requested books, 0 to 1.
  double share() const;

  friend bool operator==(const Coverage &, const Coverage &) = default;
};

/// The body of one service's reply, as included in the answer.
struct ServiceRecords {
  ServiceName Service;
  UpstreamId From;
  std::string Body; ///< The upstream's {"records":[...]}.

  friend bool operator==(const ServiceRecords &,
                         const ServiceRecords &) = default;
};

/// Requests that one search sent to upstreams, by kind.
struct QueryCost {
  unsigned FirstSends = 0; ///< At most one for each requested service.
  unsigned Hedges = 0;
  unsigned Retries = 0;
  /// Requests sent to another upstream after a refusal that cost no upstream
  /// any work (a 409, or no daemon with a free slot) or after a reply from a
  /// snapshot other than the pin. They do not draw on the retry budget.
  unsigned Reasks = 0;
  unsigned Restarts = 0; ///< Sub-requests sent again for another pin.
  unsigned Crashed = 0;  ///< Upstreams whose process exited during the request.
  unsigned NotReceived = 0; ///< Requests above that no upstream received.

  /// True if an upstream received a request of this search, or may have.
  bool reachedUpstreams() const {
    return FirstSends + Hedges + Retries + Reasks + Restarts > NotReceived;
  }

  friend bool operator==(const QueryCost &, const QueryCost &) = default;
};

struct QueryAnswer {
  /// Ok, PartialCoverage, CoverageRefused, DeadlineExceeded, SnapshotGone,
  /// NoReplica, UpstreamUnreachable, WouldMissDeadline, CallerGone,
  /// ReplicasCrashed or RequestCrashes.
  ResultCode Code = ResultCode::Ok;
  std::string Text; ///< Human-readable, when Code is not Ok.
  /// The snapshot of all records; 0.0 if no service answered.
  Snapshot Served;
  /// In the order of the requested services. Empty unless Code is Ok or
  /// PartialCoverage.
  std::vector<ServiceRecords> Records;
  Coverage Covered;
  Duration RetryAfter{0}; ///< 0 if none is suggested.
  QueryCost Cost;
  Duration Took{0};

  friend bool operator==(const QueryAnswer &, const QueryAnswer &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_QUERYANSWER_H
