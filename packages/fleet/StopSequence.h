//===- StopSequence.h - Phases of a planned stop ----------------*- C++ -*-===//
//
//   Serving     connections are accepted, and requests as StopPlan says
//   Finishing   no connection is accepted, idle ones are closed, the requests
//               in flight are finished
//   Closing     all listeners are closed, the last replies are written
//   Gone        the process may exit
//
// A state machine without I/O, for both kinds of daemon.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_STOPSEQUENCE_H
#define SHALLOTSHIFT_FLEET_STOPSEQUENCE_H

#include "shallotshift/limits.h"

namespace shallot {

enum class StopPhase : std::uint8_t { Serving, Finishing, Closing, Gone };

/// What is open at the time of a step.
struct StopFacts {
  std::size_t InFlight = 0;    ///< Requests without an answer.
  std::size_t Connections = 0; ///< Callers' connections.
  std::size_t Lookups = 0;     ///< Connections of the directory and of checks.

  friend bool operator==(const StopFacts &, const StopFacts &) = default;
};

class StopSequence {
public:
  explicit StopSequence(StopPlan Plan) : Plan(Plan) {}

  /// Advances as far as \p F allows at \p Now, and returns the phase.
  StopPhase advance(const StopFacts &F, Instant Now);
  StopPhase phase() const { return P; }
  const StopPlan &plan() const { return Plan; }

private:
  StopPhase next(const StopFacts &F, Instant Now) const;

  StopPlan Plan;
  StopPhase P = StopPhase::Serving;
  /// When the phase began or, if that is later, a request was last in flight.
  Instant QuietSince;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_STOPSEQUENCE_H
