//===- Preset.h - Policies for classes of callers ---------------*- C++ -*-===//
//
// A preset defines for each class of callers the trade-off between latency,
// coverage and load. Exactly one preset is in force at a time (Head.h).
// Operators switch between ordinary day, peak and maintenance instead of tuning
// servers.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_PRESET_H
#define SHALLOTSHIFT_MODEL_PRESET_H

#include "model/Immutable.h"
#include "shallotshift/base.h"

#include <map>

namespace shallot {

/// Upper limit on the deadline of any request.
inline constexpr Duration MaxDeadline = Seconds(30);
inline constexpr unsigned MaxQueueLimit = 10000;
inline constexpr unsigned LowestPriority = 9;

/// How a class treats an answer that lacks a book or pool.
enum class CoverageRule : std::uint8_t {
  Full,    ///< Refuse it with CoverageRefused.
  Partial, ///< Return it with a list of what is missing.
};

/// How requests of one class are treated.
struct ClassPolicy {
  unsigned Priority = 5; ///< 0 is served first, LowestPriority last.
  /// Default for requests without a deadline, and upper limit for the others.
  Duration Deadline = Seconds(1);
  CoverageRule Coverage = CoverageRule::Partial;
  /// With Partial: answer at this age with the replies so far. 0: at the
  /// deadline.
  Duration PartialAfter{0};
  unsigned QueueLimit = 64; ///< Requests that may queue in a daemon.
  /// Maximum time in the queue, after which the request is refused without
  /// running.
  Duration QueueWait = Millis(100);
  /// Hedges as a share of first sub-requests, in percent. 0: no hedges.
  double HedgeBudgetPercent = 5;
  /// Retries as a share of first sub-requests, in percent.
  double RetryBudgetPercent = 10;

  friend bool operator==(const ClassPolicy &, const ClassPolicy &) = default;
};

struct PresetFields {
  PresetName Name;
  std::map<CallerClass, ClassPolicy> Classes;
  /// A sub-request is hedged when its age exceeds this quantile of its
  /// service's latency. 0.5 to 0.999.
  double HedgeQuantile = 0.95;
  /// Maximum share of a service's upstreams that may be ejected as outliers, in
  /// percent. 0 to 50.
  unsigned EjectMaxPercent = 34;

  friend bool operator==(const PresetFields &, const PresetFields &) = default;
};

class Preset : public Immutable<PresetFields> {
public:
  /// Fails with BadName or OutOfRange and gives the class and the field.
  static Result<Preset> make(PresetFields F);

  /// Returns the policy of \p Class, or null.
  const ClassPolicy *find(const CallerClass &Class) const;

private:
  using Immutable::Immutable;
};

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_PRESET_H
