//===- Backoff.h - Waiting before another try -------------------*- C++ -*-===//
//
// Exponential backoff with full jitter. Without the jitter all daemons that
// lost the platform at one moment would come back to it at one moment, and the
// herd would bring it down again; spread over a whole interval they arrive at a
// rate that the last interval bounds.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_BACKOFF_H
#define SHALLOTSHIFT_STORE_BACKOFF_H

#include "shallotshift/base.h"

namespace shallot {

class Backoff {
public:
  /// Waits start within \p First and never exceed \p Most.
  Backoff(Duration First, Duration Most)
      : First(First), Most(Most), Ceiling(First) {}

  /// The next wait: uniform between half of First and a ceiling that doubles
  /// with each call.
  Duration next(Random &Rng);
  /// To be called after a success.
  void reset() { Ceiling = First; }

private:
  Duration First;
  Duration Most;
  Duration Ceiling;
};

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_BACKOFF_H
