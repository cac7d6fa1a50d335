//===- StopPlan.h - What a stopping daemon still accepts --------*- C++ -*-===//
//
// A request that a stopping daemon accepts and does not answer before it exits
// is cut off, and its caller cannot tell whether it ran. One that is refused at
// once has not run, and its caller uses another daemon. So a request is
// accepted only if its answer is certain to come in time:
//
//   - its deadline is not later than the last answer: at worst it is answered
//     with an error at its deadline;
//   - or it is idempotent, and the time left is a multiple of what the slowest
//     of its kind took recently. If it takes longer all the same, it is
//     answered with an error that lets its caller repeat it elsewhere.
//
// How long a request that is not idempotent usually takes does not matter: the
// one that takes longer would be lost.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_STOPPLAN_H
#define SHALLOTSHIFT_LIMITS_STOPPLAN_H

#include "shallotshift/base.h"

#include <optional>

namespace shallot {

/// What is known about a request before it is sent.
struct StopClaim {
  Instant Deadline; ///< The latest time of its answer.
  bool Idempotent = false;
  /// The time in which its answer is wanted.
  Duration Objective{};
  /// The slowest recent request of its kind; empty if too few are known.
  std::optional<Duration> SlowestRecent;
};

struct StopTimes {
  /// Callers are served at least until then, as they may have cached the
  /// address of this daemon.
  Instant ServeAtLeast;
  /// No connection is accepted later.
  Instant ServeUntil;
  /// Requests that are accepted during the stop are answered by then.
  Instant AnswerUntil;
  /// Requests that were accepted before the stop are answered by then. Later
  /// than AnswerUntil if it is uncertain when the process will be killed.
  Instant End;
  /// Time after End, or after the last answer, to write what is left.
  Duration LastWrites{};

  friend bool operator==(const StopTimes &, const StopTimes &) = default;
};

class StopPlan {
public:
  /// Fails with SettingsInvalid if \p T is not in the order of its fields.
  static Result<StopPlan> make(StopTimes T);

  const StopTimes &times() const { return T; }
  bool accepts(const StopClaim &C, Instant Now) const;

  friend bool operator==(const StopPlan &, const StopPlan &) = default;

private:
  explicit StopPlan(StopTimes T) : T(T) {}

  StopTimes T;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_STOPPLAN_H
