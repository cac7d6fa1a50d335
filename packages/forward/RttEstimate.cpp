//===- RttEstimate.cpp - Estimated round-trip time ------------------------===//
#include "forward/RttEstimate.h"

#include <algorithm>

namespace shallot {

namespace {

/// How far a longer connect time moves the estimate: network paths change
/// rarely and in steps, and of ten connections that open late, nine met a busy
/// host.
constexpr double UpStep = 0.05;
/// Increases by more than this factor are treated as this factor.
constexpr double MaxRatio = 2;

} // namespace

void RttEstimate::opened(Duration Took) {
  if (!Observed || Took < Value) {
    Value = Took;
    Observed = true;
    return;
  }
  double Ms = toMillisF(Value);
  double Increase = std::min(toMillisF(Took), Ms * MaxRatio) - Ms;
  Value = fromMillisF(Ms + UpStep * Increase);
}

void RttEstimate::replied(Duration Took) {
  if (Took < Value)
    Value = Took;
}

} // namespace shallot
