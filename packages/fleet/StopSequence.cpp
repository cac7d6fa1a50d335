//===- StopSequence.cpp ---------------------------------------------------===//
#include "fleet/StopSequence.h"

namespace shallot {

StopPhase StopSequence::advance(const StopFacts &F, Instant Now) {
  if (F.InFlight > 0)
    QuietSince = Now;
  for (StopPhase Next = next(F, Now); Next != P; Next = next(F, Now)) {
    P = Next;
    QuietSince = Now;
  }
  return P;
}

StopPhase StopSequence::next(const StopFacts &F, Instant Now) const {
  const StopTimes &T = Plan.times();
  bool Idle = F.InFlight == 0 && F.Connections == 0;
  switch (P) {
  case StopPhase::Serving:
    if (Now >= T.ServeUntil)
      return StopPhase::Finishing;
    return Idle && Now >= T.ServeAtLeast ? StopPhase::Closing : P;
  case StopPhase::Finishing:
    return Idle || Now >= T.End ? StopPhase::Closing : P;
  case StopPhase::Closing: {
    if (Idle && F.Lookups == 0)
      return StopPhase::Gone;
    // A caller that connected while the listeners closed is answered; idle
    // connections are not waited for.
    Instant Answered = F.InFlight > 0 ? T.End : QuietSince;
    return Now >= Answered + T.LastWrites ? StopPhase::Gone : P;
  }
  case StopPhase::Gone:
    return P;
  }
  return P;
}

} // namespace shallot
