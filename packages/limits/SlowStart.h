//===- SlowStart.h - Gradual increase of an upstream's load -----*- C++ -*-===//
//
// An upstream that sheds load or is cold gets less work. Each time it sheds,
// its weight is halved, and after a hold time it rises linearly to 1; a cold
// upstream starts at ColdWeight without a hold time. Every daemon draws random
// hold and ramp times, because many daemons that return at the same moment
// would repeat the overload that made the upstream shed.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_SLOWSTART_H
#define SHALLOTSHIFT_LIMITS_SLOWSTART_H

#include "shallotshift/base.h"

namespace shallot {

inline constexpr double MinWeight = 0.05; ///< Enough to notice its recovery.
inline constexpr double ShedFactor = 0.5;
inline constexpr double ColdWeight = 0.1;
/// Signals within this time count once: they are the replies to one burst.
inline constexpr Duration ShedSignalInterval = Millis(100);
/// Minimum hold time before the weight rises, longer if the upstream sent
/// Retry-After. The actual time is random, up to twice as long.
inline constexpr Duration SlowStartHoldTime = Seconds(1);
/// Minimum time for the rise from MinWeight to 1. The actual time is random, up
/// to twice as long.
inline constexpr Duration SlowStartRampTime = Seconds(10);

class SlowStart {
public:
  /// Records that the upstream shed load. \p RetryAfter is its Retry-After, 0
  /// if it sent none.
  void shed(Instant Now, Duration RetryAfter, Random &Rng);

  /// Records that the upstream reported to be cold. Has no effect while the
  /// weight is below 1.
  void cold(Instant Now, Random &Rng);

  /// The fraction of normal load to send, MinWeight to 1.
  double weight(Instant Now) const;

  /// Returns true with probability weight().
  bool admits(Instant Now, Random &Rng) const;

  bool recovered(Instant Now) const { return weight(Now) >= 1; }

private:
  void reduceTo(double NewWeight, Instant Now, Duration Hold, Random &Rng);

  double StartWeight = 1; ///< Weight at the start of the ramp.
  Instant RampStart;
  Duration RampDuration{0}; ///< From MinWeight to 1.
  Instant LastSignal;
  bool Reduced = false;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_SLOWSTART_H
