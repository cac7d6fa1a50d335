//===- RttEstimate.h - Estimated round-trip time ----------------*- C++ -*-===//
//
// Estimates the RTT to the replicas of one availability zone from the time that
// a new connection takes to open. No reply arrives sooner than that. Congestion
// and busy hosts only add to it, so the estimate falls at once and rises
// slowly.
//
// The estimate is learned because regions may be further apart than assumed. If
// a reply after 90 ms is judged by an RTT of 17 ms, it looks ten times too
// slow, its replica is avoided, and a hedge to another remote replica is sent
// too late.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_RTTESTIMATE_H
#define SHALLOTSHIFT_FORWARD_RTTESTIMATE_H

#include "shallotshift/base.h"

namespace shallot {

class RttEstimate {
public:
  /// \p Initial is used until the first observation.
  explicit RttEstimate(Duration Initial) : Value(Initial) {}

  /// A connection took \p Took to open.
  void opened(Duration Took);
  /// A reply arrived \p Took after its request was sent, which bounds the RTT.
  void replied(Duration Took);

  Duration value() const { return Value; }

private:
  Duration Value;
  bool Observed = false;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_RTTESTIMATE_H
