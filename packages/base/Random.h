//===- Random.h - Random numbers that are passed in -------------*- C++ -*-===//
//
// The core draws from a generator that its owner seeds, so that a test or a
// bench repeats exactly.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_RANDOM_H
#define SHALLOTSHIFT_BASE_RANDOM_H

#include <cstdint>
#include <pcg_random.hpp>

namespace shallot {

using Random = pcg64;

/// A number in [0, 1).
inline double uniform01(Random &Rng) {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Rng() >> 11) * Scale;
}

/// A number in [0, Bound); 0 when \p Bound is 0.
inline std::uint64_t below(Random &Rng, std::uint64_t Bound) {
  return Bound == 0 ? 0 : Rng() % Bound;
}

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_RANDOM_H
