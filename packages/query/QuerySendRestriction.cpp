// Limits on what a search sends while it is suspected of crashing upstreams.
#include "query/QueryMachine.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

bool QueryMachine::anyOpen() const {
  return std::ranges::any_of(Subs,
                             [](const SubQuery &Sub) { return Sub.hasOpen(); });
}

/// True while the search is suspected of crashing every upstream that runs it.
/// Hedges, and retries for each service whose upstream crashed, would then
/// crash all upstreams within one request. Therefore a suspected search is sent
/// only when no other attempt is open, until an attempt succeeds.
bool QueryMachine::isSuspect() const {
  bool Suspected =
      Spec.Restriction != SendRestriction::None || Sender->cost().Crashed > 0;
  return Suspected && !AnyAttemptSucceeded;
}

/// True if nothing more of the search may be sent. Open attempts are awaited
/// first, because one may succeed: upstreams of many services can exit at the
/// same time for another reason.
bool QueryMachine::crashLimitReached() const {
  if (Finished || !isSuspect() || anyOpen())
    return false;
  unsigned Crashed = Sender->cost().Crashed;
  if (Spec.Restriction == SendRestriction::OneSend)
    return Sender->cost().reachedUpstreams();
  return Crashed > 0 && Spec.CrashedBefore + Crashed >= CrashThreshold;
}

bool QueryMachine::mustDefer() const {
  return isSuspect() && (anyOpen() || crashLimitReached());
}

void QueryMachine::holdBack(std::size_t I, TraceKind Kind, Instant Now) {
  SubQuery &Sub = Subs[I];
  Sub.HeldBack = Kind;
  Sub.HedgeAt = Never;
  AnyHeldBack = true;
  Sender->trace(TraceKind::HeldBack, Sub, Now);
}

/// Sends the held-back requests: all of them, or, while the search is
/// suspected, one at a time when no other attempt is open.
void QueryMachine::sendHeldBack(Instant Now) {
  if (!AnyHeldBack)
    return;
  std::size_t First = below(Context.Rng, Subs.size());
  for (std::size_t N = 0; N < Subs.size(); ++N) {
    std::size_t I = (First + N) % Subs.size();
    if (!Subs[I].HeldBack || !Subs[I].waiting())
      continue;
    if (mustDefer())
      return;
    sendAgain(I, *std::exchange(Subs[I].HeldBack, std::nullopt), Now);
  }
  AnyHeldBack = false;
}

/// Selects an upstream again, because the one selected before the request was
/// held back may no longer be usable.
void QueryMachine::sendAgain(std::size_t I, TraceKind Kind, Instant Now) {
  SubQuery &Sub = Subs[I];
  bool HasTime = FinishBy - Now >= MinUsefulTime;
  auto To = HasTime ? pickForRetry(Sub, Now) : std::nullopt;
  if (To)
    return sendTo(I, *To, Kind, Now);
  ResultCode Why =
      Sub.Reason == ResultCode::Ok ? ResultCode::NoReplica : Sub.Reason;
  giveUp(Sub, Why,
         fmt::format("{}: deferred because upstreams crashed during this "
                     "search; no other replica is usable",
                     Sub.name().str()),
         Now);
}

/// Finishes a search that is not sent to the remaining upstreams.
void QueryMachine::finishSuspect(Instant Now) {
  for (SubQuery &Sub : Subs)
    if (Sub.waiting())
      giveUp(Sub,
             Sub.Reason == ResultCode::Ok ? ResultCode::NoReplica : Sub.Reason,
             fmt::format("{}: not sent because upstreams crashed during this "
                         "search",
                         Sub.name().str()),
             Now);
  if (Sender->cost().Crashed == 0)
    return finish(codeAtEnd(false), Now);
  finish(Spec.Restriction == SendRestriction::OneSend
             ? ResultCode::RequestCrashes
             : ResultCode::ReplicasCrashed,
         Now);
}

} // namespace shallot
