//===- ClippedMean.h - Moving average with clipped outliers -----*- C++ -*-===//
//
// An exponentially weighted moving average that clips each value to a small
// multiple of the mean. Without clipping, one reply in a hundred that is 30
// times slower makes the queues refuse requests that would have been in time.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_CLIPPEDMEAN_H
#define SHALLOTSHIFT_LIMITS_CLIPPEDMEAN_H

#include "shallotshift/base.h"

#include <algorithm>

namespace shallot::internal {

class ClippedMean {
public:
  /// \p Initial is the mean before the first value; if it is 0, the mean starts
  /// at the first value. The newest value has the weight 1 / \p InverseWeight.
  explicit ClippedMean(Duration Initial, int InverseWeight = 8)
      : Mean(Initial), InverseWeight(InverseWeight) {}

  void add(Duration D) {
    if (Mean == Duration{0})
      Mean = D;
    Mean += (std::min(D, Mean * ClipFactor) - Mean) / InverseWeight;
  }

  Duration value() const { return Mean; }

private:
  static constexpr int ClipFactor = 3;

  Duration Mean;
  int InverseWeight;
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_LIMITS_CLIPPEDMEAN_H
