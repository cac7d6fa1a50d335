#include "limits/SlowStart.h"

#include <algorithm>

namespace shallot {

namespace {

/// A random duration from \p D to twice \p D. Without jitter all daemons that
/// saw an overload would return at the same moment and cause the next.
Duration jittered(Duration D, Random &Rng) {
  double Factor = 1 + uniform01(Rng);
  return fromMillisF(toMillisF(D) * Factor);
}

} // namespace

void SlowStart::shed(Instant Now, Duration RetryAfter, Random &Rng) {
  if (Reduced && Now - LastSignal < ShedSignalInterval)
    return;
  reduceTo(weight(Now) * ShedFactor, Now,
           std::max(SlowStartHoldTime, RetryAfter), Rng);
}

void SlowStart::cold(Instant Now, Random &Rng) {
  // A cold upstream says so in every reply. If each one counted as a new
  // signal, its weight would never rise.
  if (weight(Now) < 1)
    return;
  reduceTo(ColdWeight, Now, Duration{0}, Rng);
}

void SlowStart::reduceTo(double NewWeight, Instant Now, Duration Hold,
                         Random &Rng) {
  Reduced = true;
  LastSignal = Now;
  StartWeight = std::clamp(NewWeight, MinWeight, 1.0);
  RampStart = Now + jittered(Hold, Rng);
  RampDuration = jittered(SlowStartRampTime, Rng);
}

double SlowStart::weight(Instant Now) const {
  if (!Reduced)
    return 1;
  if (Now <= RampStart)
    return StartWeight;
  double Progress = toMillisF(Now - RampStart) / toMillisF(RampDuration);
  return std::min(1.0, StartWeight + Progress * (1 - MinWeight));
}

bool SlowStart::admits(Instant Now, Random &Rng) const {
  return uniform01(Rng) < weight(Now);
}

} // namespace shallot
