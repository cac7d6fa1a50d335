#include "daemon/SubRouter.h"

#include <tuple>

namespace shallot {
namespace {

/// Added to a relay's timeout, so that the holder's own "deadline passed"
/// arrives before we give the holder up as unreachable.
constexpr Duration RelaySlack = Millis(50);

SubReply replyOf(Attempt<SubReply> Answer) {
  if (Answer)
    return std::move(*Answer);
  SubReply R;
  R.Code = Answer.error().Code;
  return R;
}

SubReply noHolder() {
  SubReply R;
  R.Code = ResultCode::NoHolder;
  R.RetryAfter = MinRetryAfter;
  return R;
}

/// True when another holder may be asked for the same sub-request. An action
/// is passed on only when the holder itself said that it did nothing; a search
/// may also be repeated when nobody knows.
bool mayAskNext(const SubRequest &Request, ResultCode Code) {
  if (Code == ResultCode::NoHolder || Code == ResultCode::PeerBusy)
    return true;
  bool Unreached = Code == ResultCode::PeerUnreachable ||
                   Code == ResultCode::PeerWrongIncarnation;
  return Unreached && Request.IdempotencyKey.empty();
}

} // namespace

SubRouter::SubRouter(EventLoop &Loop, FleetState &Fleet,
                     SlotScheduler &Scheduler)
    : Loop(Loop), Fleet(Fleet), Scheduler(Scheduler) {}

const Holder *SubRouter::holderFor(const Call &C) const {
  const UpstreamId &Id = C.Request.Target;
  SlotQueueReport Report = Scheduler.report(Id);
  HolderChoice::Own Mine{Scheduler.usable(Id).Slots, Report.Waiting,
                         Report.InWork};
  return Choice.choose(
      {Id, Fleet.Allocation.holders(Id), Fleet.Self, Mine, Fleet.Zone, C.Tried},
      Loop.now());
}

SubRouter::CallId SubRouter::send(SubRequest Request, Callback Done) {
  CallId Id = ++LastId;
  Call &C = Calls[Id];
  C.Deadline = Loop.now() + Request.Remaining;
  C.Request = std::move(Request);
  C.Done = std::move(Done);
  dispatch(Id);
  return Id;
}

void SubRouter::dispatch(CallId Id) {
  Call &C = Calls.at(Id);
  const Upstream *To =
      Fleet.Conf ? Fleet.Conf->findUpstream(C.Request.Target) : nullptr;
  const Holder *Via = To ? holderFor(C) : nullptr;
  if (!Via) {
    ++Stats.NoHolder;
    Loop.post([this, Id] { end(Id, noHolder()); });
    return;
  }
  if (Via->Daemon->Id != Fleet.Self)
    return relay(Id, *Via->Daemon);
  ++Stats.Direct;
  C.Ticket = Scheduler.serve(C.Request, (*To)->Address,
                             [this, Id](SubReply R) { end(Id, std::move(R)); });
}

void SubRouter::relay(CallId Id, const Member &Via) {
  ++Stats.Relayed;
  Call &C = Calls.at(Id);
  C.Via = Via.Id;
  C.Tried.push_back(Via.Id);
  Choice.onRelayed(C.Request.Target, C.Via);
  C.Relay = Peers->search(Via, C.Request, C.Request.Remaining + RelaySlack,
                          [this, Id](Attempt<SubReply> Answer) {
                            onRelayed(Id, std::move(Answer));
                          });
}

void SubRouter::onRelayed(CallId Id, Attempt<SubReply> Answer) {
  auto At = Calls.find(Id);
  if (At == Calls.end())
    return;
  Call &C = At->second;
  std::optional<unsigned> Queue;
  if (Answer)
    Queue = Answer->HolderQueue;
  Instant Now = Loop.now();
  Choice.onRelayEnded(C.Request.Target, C.Via, Queue, Now);
  SubReply Reply = replyOf(std::move(Answer));
  C.Request.Remaining = C.Deadline - Now;
  if (!mayAskNext(C.Request, Reply.Code) || C.Request.Remaining <= Duration(0))
    return end(Id, std::move(Reply));
  Choice.onRefused(C.Request.Target, C.Via, Now);
  ++Stats.Rerouted;
  dispatch(Id);
}

void SubRouter::end(CallId Id, SubReply Reply) {
  auto Node = Calls.extract(Id);
  if (!Node.empty())
    Node.mapped().Done(std::move(Reply));
}

void SubRouter::cancel(CallId Id) {
  auto Node = Calls.extract(Id);
  if (Node.empty())
    return;
  const Call &C = Node.mapped();
  if (C.Ticket != 0)
    return Scheduler.cancel(C.Ticket);
  if (C.Relay == 0)
    return;
  Choice.onRelayEnded(C.Request.Target, C.Via, std::nullopt, Loop.now());
  Peers->cancel(C.Relay);
}

void SubRouter::serveRelayed(SubRequest Request,
                             const PeerResponder<SubReply> &Answer) {
  const Upstream *To =
      Fleet.Conf ? Fleet.Conf->findUpstream(Request.Target) : nullptr;
  if (!To)
    return Answer.reply(noHolder());
  ++Stats.Served;
  auto Ticket =
      Scheduler.serve(std::move(Request), (*To)->Address,
                      [Answer](SubReply R) { Answer.reply(std::move(R)); });
  Answer.onCancel([this, Ticket] { Scheduler.cancel(Ticket); });
}

UpstreamId SubRouter::nearest(const std::vector<UpstreamId> &Targets) const {
  UpstreamId Best;
  std::tuple<bool, unsigned> BestRank;
  for (const UpstreamId &Id : Targets) {
    bool Remote = Scheduler.usable(Id).Slots == 0;
    if (Remote && Fleet.Allocation.holders(Id).empty())
      continue;
    SlotQueueReport Queue = Scheduler.report(Id);
    std::tuple<bool, unsigned> Rank{Remote, Queue.InWork + Queue.Waiting};
    if (!Best.empty() && Rank >= BestRank)
      continue;
    Best = Id;
    BestRank = Rank;
  }
  return Best;
}

void SubRouter::replaceConnections(const UpstreamId &Id) {
  if (!Fleet.Conf)
    return;
  if (const Upstream *U = Fleet.Conf->findUpstream(Id))
    Scheduler.replaceConnections((*U)->Address);
}

} // namespace shallot
