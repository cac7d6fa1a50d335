//===- TokenBucket.h - A bounded rate ---------------------------*- C++ -*-===//
//
// Lets Burst events happen at once and PerSecond for good, so that no number of
// askers makes a daemon do more of what costs others.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_TOKENBUCKET_H
#define SHALLOTSHIFT_BASE_TOKENBUCKET_H

#include "base/Time.h"

#include <algorithm>
#include <chrono>

namespace shallot {

class TokenBucket {
public:
  TokenBucket(double PerSecond, double Burst, Instant Now)
      : PerSecond(PerSecond), Burst(Burst), Tokens(Burst), At(Now) {}

  /// Whether take() would work.
  bool available(Instant Now) {
    refill(Now);
    return Tokens >= 1;
  }

  /// True, and one token less, when one was left.
  bool take(Instant Now) {
    if (!available(Now))
      return false;
    Tokens -= 1;
    return true;
  }

  /// From \p Now on tokens come at another rate.
  void setRate(double PerSecondNow, Instant Now) {
    refill(Now);
    PerSecond = PerSecondNow;
  }

private:
  void refill(Instant Now) {
    double Passed = std::chrono::duration<double>(Now - At).count();
    Tokens = std::min(Burst, Tokens + std::max(0.0, Passed) * PerSecond);
    At = Now;
  }

  double PerSecond;
  double Burst;
  double Tokens;
  Instant At;
};

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_TOKENBUCKET_H
