//===- ServiceTimeEstimate.h - Estimates of service times -------*- C++ -*-===//
//
// The median service time of the requests of one route at replicas, learned
// from answers. A mean would be raised by a replica that is ten times too slow,
// so that its answers would look usual and no longer be hedged. The slowest of
// the recent ones says how long such a request may take.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_SERVICETIMEESTIMATE_H
#define SHALLOTSHIFT_FORWARD_SERVICETIMEESTIMATE_H

#include "shallotshift/base.h"

#include <map>
#include <optional>
#include <string>

namespace shallot {

/// The estimate before the first answer, as a fraction of the route's latency
/// objective.
inline constexpr double InitialFraction = 0.1;

class ServiceTimeEstimate {
public:
  explicit ServiceTimeEstimate(Duration Initial) : Median(Initial) {}

  /// An answer took \p Took, without the RTT.
  void observe(Duration Took, Instant Now);
  Duration median() const { return Median; }
  /// The slowest answer of the last half minute at least; empty after few
  /// answers, which say little about the slowest.
  std::optional<Duration> slowestRecent(Instant Now) const;

private:
  /// The answers of one window.
  struct Window {
    Instant Began;
    Duration Slowest{};
    unsigned Answers = 0;
  };

  Duration Median;
  unsigned Answers = 0;
  Window Current;
  Window Previous;
};

/// Estimates by route.
class ServiceTimeEstimates {
public:
  ServiceTimeEstimate &of(const std::string &RouteName, Duration Objective);

private:
  /// Beyond this number of routes all estimates are reset.
  static constexpr std::size_t MaxRoutes = 4096;

  std::map<std::string, ServiceTimeEstimate> ByRoute;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_SERVICETIMEESTIMATE_H
