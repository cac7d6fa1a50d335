//===- ForwardAnswer.cpp --------------------------------------------------===//
//
// When a ForwardRun answers, with what, and how its open sends end.
//
//===----------------------------------------------------------------------===//
#include "forward/ForwardRun.h"

#include "forward/RecordMerge.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

namespace {

/// Replies that nobody waits for may arrive this long after the answer. A
/// closed connection costs the replica a new handshake, a reply of 400 bytes
/// nothing; work that a caller left must end within half a second.
constexpr Duration LingerTime = Millis(220);

/// Callers come back after this when no replica can be used: trial connections
/// to resting replicas are that far apart at first.
constexpr Duration NoReplicaRetry = Millis(250);
/// Replicas elsewhere are of no use to the request: those that may run it have
/// to come back, which takes a restart and not a trial.
constexpr Duration NoAllowedReplicaRetry = Seconds(1);

} // namespace

bool ForwardRun::refuseAtOnce(ForwardShared &S, RunOutput &Out, Instant Now) {
  if (Now >= End) {
    finish(Out,
           LocalAnswer{ResultCode::WouldMissDeadline,
                       {},
                       "the deadline passes before any replica could answer"},
           Now);
    return true;
  }
  std::size_t Servable = servableParts(S, Where, Now);
  if (suffices(Servable))
    return false;
  finish(Out, noReplicas(S, Servable, Now), Now);
  return true;
}

std::size_t ForwardRun::servableParts(ForwardShared &S,
                                      const AllowedRegions &In,
                                      Instant Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Parts, [&](const Part &P) {
        return S.Replicas.servable(serviceOf(P), In, Now);
      }));
}

LocalAnswer ForwardRun::noReplicas(ForwardShared &S, std::size_t Servable,
                                   Instant Now) const {
  std::string Why = fmt::format("{} of {} services have a usable replica",
                                Servable, Parts.size());
  AllowedRegions Anywhere = AllowedRegions::anywhere();
  if (!Where.restricted() || !suffices(servableParts(S, Anywhere, Now)))
    return {ResultCode::NoReplica, NoReplicaRetry, std::move(Why)};
  return {ResultCode::NoAllowedReplica, NoAllowedReplicaRetry,
          fmt::format("{} in the allowed regions ({})", Why, Where.str())};
}

RunOutput ForwardRun::callerGone(Instant Now) {
  RunOutput Out;
  if (Answered)
    return Out;
  Answered = true;
  // What may run only once is left to run: half of it is worse than all.
  DropAt = Request.Matched->Kind == RetrySemantics::Idempotent
               ? Now + LingerTime
               : End;
  return Out;
}

/// An answer of \p Count parts has the least share of them.
bool ForwardRun::suffices(std::size_t Count) const {
  double Least = Fan ? Fan->MinCoverage : 1;
  return static_cast<double>(Count) / static_cast<double>(Parts.size()) >=
         Least;
}

bool ForwardRun::enough() const {
  return Story.PartsSucceeded > 0 && suffices(Story.PartsSucceeded);
}

void ForwardRun::settle(RunOutput &Out, Instant Now) {
  if (Answered)
    return;
  bool Waiting = std::ranges::any_of(
      Parts, [](const Part &P) { return !P.In && !P.GivenUp; });
  if (enough() && (!Waiting || Now >= Cutoff)) {
    answerParts(Out, Now);
    return;
  }
  if (!Waiting || Now >= End) {
    answerFailure(Out, Now, Waiting);
    return;
  }
  // No longer possible: as many parts are given up as may not be missing.
  if (!Fan)
    return;
  std::size_t Possible = static_cast<std::size_t>(std::ranges::count_if(
      Parts, [](const Part &P) { return P.In || !P.GivenUp; }));
  if (!suffices(Possible))
    answerFailure(Out, Now, false);
}

void ForwardRun::answerParts(RunOutput &Out, Instant Now) {
  withdraw(Out, Now);
  if (!Fan) {
    finish(Out, RelayedAnswer{std::move(Parts.front().Reply)}, Now);
    return;
  }
  MergedAnswer A;
  std::vector<std::string_view> Bodies;
  for (const Part &P : Parts) {
    if (!P.In)
      continue;
    A.Signatures.push_back(P.Reply.Signature);
    Bodies.push_back(P.Reply.Body);
  }
  A.Missing = Parts.size() - Story.PartsSucceeded;
  A.Records = greatestRecords(Bodies, Fan->MaxRecords);
  finish(Out, std::move(A), Now);
}

bool ForwardRun::nothingRan() const {
  return std::ranges::all_of(Parts,
                             [](const Part &P) { return P.MayHaveRun == 0; });
}

void ForwardRun::answerFailure(RunOutput &Out, Instant Now, bool TimedOut) {
  withdraw(Out, Now);
  if (!Fan && Parts.front().HasReply) {
    finish(Out, RelayedAnswer{std::move(Parts.front().Reply)}, Now);
    return;
  }
  bool NothingRan = nothingRan();
  std::string Why = fmt::format(
      "{} of {} parts in, {} sends, {} rejected, {} lost, {} not sent, {} "
      "replicas crashed",
      Story.PartsSucceeded, Parts.size(), Story.Sends, Story.Rejected,
      Story.Lost, Story.NotSent, Story.Crashed);
  if (NothingRan)
    finish(Out, LocalAnswer{ResultCode::UpstreamShed, NoReplicaRetry, Why},
           Now);
  else if (Request.Care == Caution::OneSend && Story.Crashed > 0)
    finish(Out, LocalAnswer{ResultCode::RequestCrashes, {}, Why}, Now);
  else if (Request.Matched->Kind == RetrySemantics::AtMostOnce)
    finish(Out, LocalAnswer{ResultCode::OutcomeUnknown, {}, Why}, Now);
  else if (crashesEnough())
    finish(Out, LocalAnswer{ResultCode::ReplicasCrashed, {}, Why}, Now);
  else if (TimedOut)
    finish(Out, LocalAnswer{ResultCode::DeadlineExceeded, {}, Why}, Now);
  else
    finish(Out, LocalAnswer{ResultCode::ConnectionClosed, {}, Why}, Now);
}

void ForwardRun::finish(RunOutput &Out, ForwardAnswer Answer, Instant Now) {
  Answered = true;
  Out.Answer = std::move(Answer);
  DropAt = Request.Matched->Kind == RetrySemantics::Idempotent
               ? Now + LingerTime
               : End;
}

void ForwardRun::dropOpen(RunOutput &Out, Instant Now) {
  for (unsigned I = 0; I < Sends.size(); ++I) {
    Sent &X = Sends[I];
    if (!X.Open)
      continue;
    X.Open = false;
    X.To->sendEnded(X.Started, SendStatus::Abandoned, Duration(0), Now);
    Out.Drop.push_back(I);
  }
  OpenSends = 0;
}

/// Takes back the sends that were to start in this step: the answer is known,
/// and one that says "not run" must stay true.
void ForwardRun::withdraw(RunOutput &Out, Instant Now) {
  for (const StartSend &W : Out.Start) {
    Sent &X = Sends[W.Send];
    Part &P = Parts[X.Part];
    X.Open = false;
    --P.Open;
    --P.MayHaveRun;
    --OpenSends;
    X.To->sendEnded(X.Started, SendStatus::Abandoned, Duration(0), Now);
  }
  Out.Start.clear();
}

Instant ForwardRun::nextTick() const {
  if (Answered)
    return DropAt;
  Instant Next = End;
  if (Fan && !CutoffSeen)
    Next = std::min(Next, Cutoff);
  for (const Sent &X : Sends)
    if (X.Open && !Parts[X.Part].In && !careful())
      Next = std::min(Next, X.HedgeAt);
  for (const Part &P : Parts)
    Next = std::min(Next, P.RetryAt);
  return Next;
}

} // namespace shallot
