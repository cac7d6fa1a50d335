//===- Mutation.h - Inputs that are almost good -----------------*- C++ -*-===//
//
// Random bytes are refused at the first look and test little. An input that is
// good but for one or a few places gets deep into a decoder, so inputs are
// changed along the structure that they have.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_FUZZ_MUTATION_H
#define SHALLOTSHIFT_TESTS_FUZZ_MUTATION_H

#include "shallotshift/base.h"

#include <string>

namespace shallot::fuzz {

enum class Shape : std::uint8_t {
  Bytes,
  Json, ///< Values are replaced, removed, repeated, nested; sometimes bytes.
  Http, ///< Header lines are repeated, removed, changed; sometimes bytes.
};

/// \p Good with one to four changes.
std::string mutated(const std::string &Good, Shape Form, Random &Rng);

} // namespace shallot::fuzz

#endif // SHALLOTSHIFT_TESTS_FUZZ_MUTATION_H
