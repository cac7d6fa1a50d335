//===- HalfLife.h - Exponential decay ---------------------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_FORWARD_HALFLIFE_H
#define SHALLOTSHIFT_FORWARD_HALFLIFE_H

#include "shallotshift/base.h"

#include <algorithm>
#include <cmath>

namespace shallot::internal {

/// \p Value after \p Age, with a half-life of \p HalfLifeMs.
inline double decayed(double Value, Duration Age, double HalfLifeMs) {
  return Value * std::exp2(-std::max(0.0, toMillisF(Age)) / HalfLifeMs);
}

} // namespace shallot::internal

#endif // SHALLOTSHIFT_FORWARD_HALFLIFE_H
