//===- TokenBucket.h - A bounded rate of messages ---------------*- C++ -*-===//
//
// Inside of package fleet: lets Burst messages go at once and PerSecond for
// good, so that no number of askers makes a daemon send more.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_TOKENBUCKET_H
#define SHALLOTSHIFT_FLEET_TOKENBUCKET_H

#include "shallotshift/base.h"

#include <algorithm>

namespace shallot::internal {

class TokenBucket {
public:
  TokenBucket(double PerSecond, double Burst, Instant Now)
      : PerSecond(PerSecond), Burst(Burst), Tokens(Burst), At(Now) {}

  /// True, and one token less, when one was left.
  bool take(Instant Now) {
    double Passed = std::chrono::duration<double>(Now - At).count();
    Tokens = std::min(Burst, Tokens + std::max(0.0, Passed) * PerSecond);
    At = Now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  double PerSecond;
  double Burst;
  double Tokens;
  Instant At;
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_FLEET_TOKENBUCKET_H
