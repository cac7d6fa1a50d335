//===- RequestAdmission.cpp -----------------------------------------------===//
//
// Requests before their first send: those under which replicas crashed, and the
// wait for a turn at the replicas.
//
//===----------------------------------------------------------------------===//
#include "front/AnswerWriting.h"
#include "front/RequestHandlerImpl.h"

namespace shallot {

namespace {

LocalAnswer overloadAnswer(const AdmissionDecision &V) {
  return {V.Code, V.RetryAfter, "more than the replicas can take"};
}

} // namespace

/// A request under which replicas crashed is refused at once, or waits for the
/// grant of a trial; it takes no place among those that wait for replicas.
void RequestHandler::Impl::vet(const JobPtr &J) {
  switch (Gate.quarantineState(J->Name)) {
  case QuarantineState::Clear:
  case QuarantineState::Suspect:
    admit(J);
    return;
  case QuarantineState::OnTrial:
    askTrial(J);
    return;
  case QuarantineState::Quarantined:
    turnAway(J, quarantinedAnswer());
    return;
  }
}

void RequestHandler::Impl::askTrial(const JobPtr &J) {
  auto OnDecision = [this, Weak = std::weak_ptr(J),
                     Name = J->Name](bool Granted) {
    JobPtr J = Weak.lock();
    if (!J || J->Run.answered()) {
      // Its caller has gone, or was told to come back.
      if (Granted)
        Gate.trialUnused(Name);
      return;
    }
    Timers.cancel(J->Timer);
    J->Timer = 0;
    J->Trial = Granted;
    if (Granted)
      return admit(J);
    // Others may have cleared or proven it meanwhile.
    if (Gate.quarantineState(J->Name) != QuarantineState::OnTrial)
      return vet(J);
    turnAway(J, noTrialAnswer());
  };
  J->Timer = Timers.after(MaxTrialWait, [OnDecision] { OnDecision(false); });
  Gate.requestTrial(J->Name, OnDecision);
}

/// Starts it, lets it wait for its turn, or turns it away at once.
void RequestHandler::Impl::admit(const JobPtr &J) {
  const ForwardRequest &Request = J->Run.request();
  J->Ticket = ++LastTicket;
  AdmissionDecision V =
      Admit.offer(*Request.Matched, J->Ticket,
                  Request.Arrived + Request.CallerWaits, Timers.now());
  switch (V.What) {
  case AdmissionAction::Start:
    start(J);
    return;
  case AdmissionAction::Wait:
    Waiting.emplace(J->Ticket, J);
    pollAdmission();
    return;
  case AdmissionAction::Refuse:
    J->Ticket = 0; // It has no place there.
    turnAway(J, overloadAnswer(V));
    return;
  }
}

/// Other attempts may have crashed replicas while this one waited.
void RequestHandler::Impl::start(const JobPtr &J) {
  QuarantineState Now = Gate.quarantineState(J->Name);
  if (Now == QuarantineState::Quarantined && !J->Trial)
    return turnAway(J, quarantinedAnswer());
  if (Now == QuarantineState::OnTrial && !J->Trial)
    return turnAway(J, noTrialAnswer());
  J->Run.setCaution(Gate.restrictionFor(J->Name, J->Trial),
                   Gate.crashesOf(J->Name));
  apply(J, J->Run.begin(Shared, Timers.now()));
}

/// Nothing of it was sent: it leaves as if its caller had gone, and the caller
/// is told when to come back, if it should.
void RequestHandler::Impl::turnAway(const JobPtr &J, LocalAnswer A) {
  if (TicketId Ticket = std::exchange(J->Ticket, 0))
    Admit.done(Ticket, {}, Timers.now());
  J->Run.callerGone(Timers.now());
  answer(J, std::move(A));
  Jobs.erase(J);
}

/// It no longer takes a place among those that run.
void RequestHandler::Impl::leave(const JobPtr &J) {
  TicketId Ticket = std::exchange(J->Ticket, 0);
  if (Ticket == 0)
    return;
  if (Waiting.erase(Ticket) > 0)
    Admit.cancel(Ticket);
  else
    Admit.done(Ticket, J->Run.load(Timers.now()), Timers.now());
  pollAdmission();
}

/// Starts and turns away those whose time has come.
void RequestHandler::Impl::pollAdmission() {
  for (const AdmissionEvent &E : Admit.poll(Timers.now())) {
    auto At = Waiting.find(E.Id);
    if (At == Waiting.end())
      continue;
    JobPtr J = At->second;
    Waiting.erase(At);
    if (E.Final.What == AdmissionAction::Start) {
      start(J);
      continue;
    }
    J->Ticket = 0;
    turnAway(J, overloadAnswer(E.Final));
  }
  Shared.RequestsQueued = !Waiting.empty();
  Timers.cancel(AdmissionTimer);
  AdmissionTimer = 0;
  if (auto Next = Admit.nextExpiry())
    AdmissionTimer = Timers.at(*Next, [this] {
      AdmissionTimer = 0;
      pollAdmission();
    });
}

} // namespace shallot
