#include "daemon/SlotScheduler.h"

namespace shallot {

SlotScheduler::SlotScheduler(EventLoop &Loop, HttpClient &Http,
                             UpstreamClient &Upstreams)
    : Loop(Loop), Http(Http), Upstreams(Upstreams) {}

SlotScheduler::TicketId
SlotScheduler::serve(SubRequest Request, const Endpoint &To, Callback Done) {
  TicketId Id = ++LastId;
  UpstreamId Target = Request.Target;
  Instant Now = Loop.now();
  if (auto Known = Rows.find(Target); Known != Rows.end())
    Known->second.To = To;
  SlotRequest Entry{Id, Request.Priority, Now + Request.Remaining};
  Tickets[Id] = {std::move(Request), To, std::move(Done), Now, Now};
  auto At = Rows.find(Target);
  AdmissionDecision V =
      At == Rows.end()
          ? AdmissionDecision::refuse(ResultCode::NoHolder, MinRetryAfter)
          : At->second.Queue.offer(Entry, Now);
  if (V.What == AdmissionAction::Start)
    start(Id);
  else if (V.What == AdmissionAction::Refuse)
    refuse(Id, V);
  if (At != Rows.end())
    startWaiting(Target);
  return Id;
}

void SlotScheduler::start(TicketId Id) {
  Ticket &T = Tickets.at(Id);
  T.StartedAt = Loop.now();
  // What is left of the deadline now, not when it was asked for: the upstream
  // would otherwise work past the moment when anybody still waits.
  T.Request.Remaining -= T.StartedAt - T.OfferedAt;
  T.Call = Upstreams.send(T.Request, T.To,
                          [this, Id](SubReply R) { ended(Id, std::move(R)); });
}

void SlotScheduler::ended(TicketId Id, SubReply Reply) {
  auto Node = Tickets.extract(Id);
  if (Node.empty())
    return;
  Ticket &T = Node.mapped();
  const UpstreamId &Target = T.Request.Target;
  Reply.Queued = T.StartedAt - T.OfferedAt;
  if (auto At = Rows.find(Target); At != Rows.end()) {
    At->second.Queue.done(Id, Loop.now() - T.StartedAt);
    Reply.HolderQueue = At->second.Queue.report().Waiting;
    startWaiting(Target);
  }
  if (T.Done)
    T.Done(std::move(Reply));
}

void SlotScheduler::refuse(TicketId Id, const AdmissionDecision &V) {
  auto Node = Tickets.extract(Id);
  if (Node.empty() || !Node.mapped().Done)
    return;
  Ticket &T = Node.mapped();
  SubReply Reply;
  Reply.Code = V.Code;
  Reply.RetryAfter = V.RetryAfter;
  Reply.Queued = Loop.now() - T.OfferedAt;
  Reply.HolderQueue = report(T.Request.Target).Waiting;
  Loop.post([Done = std::move(T.Done), Reply = std::move(Reply)]() mutable {
    Done(std::move(Reply));
  });
}

void SlotScheduler::cancel(TicketId Id) {
  auto At = Tickets.find(Id);
  if (At == Tickets.end())
    return;
  Ticket &T = At->second;
  T.Done = nullptr;
  if (T.Call != 0)
    return Upstreams.cancel(T.Call);
  UpstreamId Target = T.Request.Target;
  Tickets.erase(At);
  if (auto R = Rows.find(Target); R != Rows.end()) {
    R->second.Queue.cancel(Id);
    startWaiting(Target);
  }
}

SlotQueueReport SlotScheduler::report(const UpstreamId &Id) const {
  auto At = Rows.find(Id);
  return At == Rows.end() ? SlotQueueReport{} : At->second.Queue.report();
}

void SlotScheduler::startWaiting(const UpstreamId &Id) {
  auto At = Rows.find(Id);
  if (At == Rows.end())
    return;
  for (const AdmissionEvent &E : At->second.Queue.poll(Loop.now())) {
    if (E.Final.What == AdmissionAction::Start)
      start(E.Id);
    else
      refuse(E.Id, E.Final);
  }
  Row &R = Rows.at(Id);
  R.Expiry.cancel();
  if (auto Next = R.Queue.nextExpiry())
    R.Expiry = Loop.after(*Next - Loop.now(), [this, Id] { startWaiting(Id); });
}

void SlotScheduler::update(const SlotAllocation &Allocation, const Preset &P) {
  Guard.setGuardTime(guardTime(P));
  apply(Guard.update(Allocation, Loop.now()));
  scheduleGuard();
}

void SlotScheduler::apply(const std::vector<ShareChange> &Changes) {
  for (const ShareChange &C : Changes) {
    Row &R = Rows[C.Id];
    R.Queue.setShare(C.Now);
    startWaiting(C.Id);
    // Idle connections of a lost slot count against the upstream's cap, which
    // the new holder now fills.
    if (C.Now.Slots == 0 && R.To.Port != 0)
      Http.forget(R.To);
  }
}

void SlotScheduler::scheduleGuard() {
  GuardTimer.cancel();
  auto Next = Guard.nextDue();
  if (!Next)
    return;
  GuardTimer = Loop.after(*Next - Loop.now(), [this] {
    apply(Guard.due(Loop.now()));
    scheduleGuard();
  });
}

} // namespace shallot
