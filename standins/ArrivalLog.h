//===- ArrivalLog.h - What reached the replicas -----------------*- C++ -*-===//
//
// One line for each request that a replica read, in order, with what became of
// it. Whoever checks a promise reads it: what ran, how often, where, and when.
// Times are milliseconds of the host's monotonic clock, which other processes
// of the host read as well.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_ARRIVALLOG_H
#define SHALLOTSHIFT_STANDINS_ARRIVALLOG_H

#include "standins/Json.h"

#include <cstdint>
#include <vector>

namespace shallot::standins {

/// What became of a request at a replica.
enum class Fate : std::uint8_t {
  Waiting,
  Running,
  Answered,
  Failed,    ///< It ran, and the reply says that it failed.
  Rejected,  ///< It did not run, and the reply says so.
  Misled,    ///< It was meant for another replica and did not run.
  Cancelled, ///< The connection closed first.
  Lost,      ///< It ran and its reply was held back.
  Crashed,   ///< Its replica ended while it ran or waited.
};

struct Arrival {
  std::string Request;
  std::string Service;
  std::string Replica;
  std::string Method;
  std::string Target; ///< Path and query.
  std::string Body;
  std::string Organisation;
  bool Credentials = false; ///< The key of the caller was sent along.
  double ReadAt = 0;
  double BeganAt = 0; ///< 0: it never ran.
  double EndedAt = 0; ///< 0: it has not ended.
  double WaitsMs = 0; ///< The deadline that it was handed; below 0: none.
  Fate How = Fate::Waiting;
};

/// Milliseconds of the monotonic clock.
double monotonicMs();

class ArrivalLog {
public:
  /// Returns the number of the new line.
  std::size_t add(Arrival A);
  Arrival &at(std::size_t Number) { return All[Number]; }
  std::size_t size() const { return All.size(); }
  /// Lines from \p First on, one JSON object each.
  Json since(std::size_t First) const;

private:
  std::vector<Arrival> All;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_ARRIVALLOG_H
