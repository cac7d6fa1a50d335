//===- StartRate.h - Rate at which queued requests start --------*- C++ -*-===//
//
// Measures how many requests of one class start per second, only while some of
// them wait: only then is it the rate at which the queue drains. Unlike an
// estimate from queue lengths, it accounts for requests of better priority that
// are still to arrive.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_STARTRATE_H
#define SHALLOTSHIFT_LIMITS_STARTRATE_H

#include "shallotshift/base.h"

namespace shallot::internal {

class StartRate {
public:
  /// Reports whether any request waits in the queue.
  void setWaiting(bool AnyWaiting, Instant Now);
  /// Records that a waiting request has started.
  void started() { ++Starts; }
  /// Updates the rate if there is enough data for a new value.
  void update(Instant Now);

  /// The rate, or 0 if it is unknown or outdated: an old rate must not cause
  /// refusals after the overload is over.
  double perSecond(Instant Now) const;

private:
  bool Busy = false;
  bool Known = false;
  Instant BusySince;
  Duration BusyTime{0};
  unsigned Starts = 0;
  double Rate = 0;
  Instant UpdatedAt;
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_LIMITS_STARTRATE_H
