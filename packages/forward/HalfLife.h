//===- HalfLife.h - What is forgotten by half in a time ---------*- C++ -*-===//
#ifndef SHALLOTSHIFT_FORWARD_HALFLIFE_H
#define SHALLOTSHIFT_FORWARD_HALFLIFE_H

#include "shallotshift/base.h"

#include <algorithm>
#include <cmath>

namespace shallot::internal {

/// What is left of \p Value after \p Age when it falls by half in
/// \p HalfLifeMs.
inline double half(double Value, Duration Age, double HalfLifeMs) {
  return Value * std::exp2(-std::max(0.0, toMillisF(Age)) / HalfLifeMs);
}

} // namespace shallot::internal

#endif // SHALLOTSHIFT_FORWARD_HALFLIFE_H
