// What a search holds back while it may be what crashes upstreams.
#include "query/QueryMachine.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

bool QueryMachine::anyOpen() const {
  return std::ranges::any_of(Subs,
                             [](const SubQuery &Sub) { return Sub.hasOpen(); });
}

/// The failure: one search crashes whatever runs it. Retried for each service
/// that it lost, and hedged, it ends all upstreams in one attempt; so it is at
/// one upstream at a time until a run of it ends well.
bool QueryMachine::careful() const {
  bool Suspected =
      Spec.Care != SendRestriction::None || Sender->cost().Crashed > 0;
  return Suspected && !AnyRunEndedWell;
}

/// Nothing more of it is sent. What is still open may end well: upstreams of
/// many services may end at one moment for another reason.
bool QueryMachine::crashesEnough() const {
  if (Finished || !careful() || anyOpen())
    return false;
  unsigned Crashed = Sender->cost().Crashed;
  if (Spec.Care == SendRestriction::OneSend)
    return Sender->cost().reachedUpstreams();
  return Crashed > 0 && Spec.CrashedBefore + Crashed >= CrashThreshold;
}

bool QueryMachine::mustWait() const {
  return careful() && (anyOpen() || crashesEnough());
}

void QueryMachine::holdBack(std::size_t I, TraceKind Kind, Instant Now) {
  SubQuery &Sub = Subs[I];
  Sub.HeldBack = Kind;
  Sub.HedgeAt = Never;
  AnyHeldBack = true;
  Sender->trace(TraceKind::HeldBack, Sub, Now);
}

/// Sends what was held back: all of it, or while careful() one, when nothing
/// else of the search is open.
void QueryMachine::sendHeld(Instant Now) {
  if (!AnyHeldBack)
    return;
  std::size_t First = below(Tools.Rng, Subs.size());
  for (std::size_t N = 0; N < Subs.size(); ++N) {
    std::size_t I = (First + N) % Subs.size();
    if (!Subs[I].HeldBack || !Subs[I].waiting())
      continue;
    if (mustWait())
      return;
    sendAgain(I, *std::exchange(Subs[I].HeldBack, std::nullopt), Now);
  }
  AnyHeldBack = false;
}

/// What was free when it was held back may not be any more.
void QueryMachine::sendAgain(std::size_t I, TraceKind Kind, Instant Now) {
  SubQuery &Sub = Subs[I];
  bool Time = FinishBy - Now >= MinUsefulTime;
  auto To = Time ? pickForRetry(Sub, Now) : std::nullopt;
  if (To)
    return sendTo(I, *To, Kind, Now);
  ResultCode Why =
      Sub.Reason == ResultCode::Ok ? ResultCode::NoReplica : Sub.Reason;
  giveUp(Sub, Why,
         fmt::format("{}: asked late, since upstreams crashed under this "
                     "search; no other replica is usable",
                     Sub.name().str()),
         Now);
}

/// The answer of a search that is kept from the upstreams that are left.
void QueryMachine::finishSuspect(Instant Now) {
  for (SubQuery &Sub : Subs)
    if (Sub.waiting())
      giveUp(Sub,
             Sub.Reason == ResultCode::Ok ? ResultCode::NoReplica : Sub.Reason,
             fmt::format("{}: not asked, since upstreams crashed under this "
                         "search",
                         Sub.name().str()),
             Now);
  if (Sender->cost().Crashed == 0)
    return finish(codeAtEnd(false), Now);
  finish(Spec.Care == SendRestriction::OneSend ? ResultCode::RequestCrashes
                                               : ResultCode::ReplicasCrashed,
         Now);
}

} // namespace shallot
