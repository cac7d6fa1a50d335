//===- FuzzTarget.h - One decoder under hostile bytes -----------*- C++ -*-===//
//
// A target is a decoder of bytes that come from outside, with examples of good
// input to start from and a property that holds whatever it is fed: it does not
// crash or throw, and what it accepts means one thing only.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_FUZZ_FUZZTARGET_H
#define SHALLOTSHIFT_TESTS_FUZZ_FUZZTARGET_H

#include "fuzz/Mutation.h"

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace shallot::fuzz {

/// The property does not hold for the input.
struct Broken : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void require(bool Holds, const char *Property) {
  if (!Holds)
    throw Broken(Property);
}

struct FuzzTarget {
  std::string Name;
  Shape Form = Shape::Bytes; ///< How its input is changed.
  std::vector<std::string> Examples;
  /// Throws Broken; anything else that it throws is a finding too.
  std::function<void(const std::string &Input)> Run;
};

/// Decoders of what the store and peers say, and of settings.
std::vector<FuzzTarget> documentTargets();
/// Decoders of HTTP messages, datagrams and peers' frames.
std::vector<FuzzTarget> messageTargets();

} // namespace shallot::fuzz

#endif // SHALLOTSHIFT_TESTS_FUZZ_FUZZTARGET_H
