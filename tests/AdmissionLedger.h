//===- AdmissionLedger.h - The end of every queue entry ---------*- C++ -*-===//
//
// Follows the verdicts and events of a queue and checks that each entry ends
// exactly once: started, refused, or cancelled while it waited.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_ADMISSIONLEDGER_H
#define SHALLOTSHIFT_TESTS_ADMISSIONLEDGER_H

#include "shallotshift/limits.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

namespace shallot::fixture {

class AdmissionLedger {
public:
  TicketId next() { return Next++; }

  void offered(TicketId Id, const AdmissionDecision &V) {
    if (V.What == AdmissionAction::Wait)
      Waiting.insert(Id);
    else
      end(Id, V);
  }

  void happened(const AdmissionEvents &Events) {
    for (const AdmissionEvent &E : Events) {
      CHECK(Waiting.erase(E.Id) == 1);
      CHECK(E.Final.What != AdmissionAction::Wait);
      end(E.Id, E.Final);
    }
  }

  /// The oldest that waits leaves by its owner's wish.
  TicketId takeWaiting() {
    TicketId Id = *Waiting.begin();
    Waiting.erase(Id);
    ++Ends[Id];
    return Id;
  }

  /// The oldest that runs is done.
  TicketId takeRunning() {
    TicketId Id = *Running.begin();
    Running.erase(Id);
    return Id;
  }

  void checkAllEndedOnce() const {
    CHECK(Waiting.empty());
    CHECK(Ends.size() == Next);
    for (const auto &[Id, N] : Ends)
      CHECK(N == 1);
  }

  std::set<TicketId> Running;
  std::set<TicketId> Waiting;

private:
  void end(TicketId Id, const AdmissionDecision &V) {
    ++Ends[Id];
    if (V.What == AdmissionAction::Start)
      Running.insert(Id);
    else
      CHECK(V.RetryAfter >= MinRetryAfter);
  }

  TicketId Next = 0;
  std::map<TicketId, int> Ends;
};

} // namespace shallot::fixture

#endif // SHALLOTSHIFT_TESTS_ADMISSIONLEDGER_H
