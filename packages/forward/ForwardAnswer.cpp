//===- ForwardAnswer.cpp - When and how a ForwardRun answers --------------===//
//
// Also how its open sends end.
//
//===----------------------------------------------------------------------===//
#include "forward/ForwardRun.h"

#include "forward/RecordMerge.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

namespace {

/// How long open sends may complete after the answer. A closed connection costs
/// the replica a new handshake, a reply of 400 bytes nothing. Requests that a
/// caller abandoned must end within half a second.
constexpr Duration LingerTime = Millis(220);

/// Retry-After when no replica is usable or nothing ran; an ejected replica is
/// first probed after about this time.
constexpr Duration NoReplicaRetry = Millis(250);
/// Retry-After when only replicas in other regions are usable: those in the
/// allowed regions must restart first, which takes longer than a probe.
constexpr Duration NoAllowedReplicaRetry = Seconds(1);

/// Statuses by which callers know that a request has not run and never will.
bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

LocalAnswer stopRefusal() {
  return {ResultCode::Leaving,
          {},
          "the daemon stops and may exit before the answer comes"};
}

LocalAnswer routeChangedRefusal() {
  return {ResultCode::RouteChanged,
          {},
          "a new configuration changed or removed the route before the request "
          "was sent"};
}

bool ForwardRun::rejectImmediately(ForwardShared &S, RunOutput &Out,
                                   Instant Now) {
  if (!acceptedByStop(S, Now)) {
    finish(Out, stopRefusal(), Now);
    return true;
  }
  if (Now >= AnswerDeadline) {
    finish(Out,
           LocalAnswer{ResultCode::WouldMissDeadline,
                       {},
                       "the deadline passes before any replica could answer"},
           Now);
    return true;
  }
  std::size_t Servable = servableParts(S, ServingRegions, Now);
  if (meetsMinCoverage(Servable))
    return false;
  finish(Out, noReplicaAnswer(S, Servable, Now), Now);
  return true;
}

std::size_t ForwardRun::servableParts(ForwardShared &S,
                                      const AllowedRegions &Regions,
                                      Instant Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Parts, [&](const Part &P) {
        return S.Replicas.servable(serviceOf(P), Regions, Now);
      }));
}

LocalAnswer ForwardRun::noReplicaAnswer(ForwardShared &S, std::size_t Servable,
                                        Instant Now) const {
  std::string Why = fmt::format("{} of {} services have a usable replica",
                                Servable, Parts.size());
  AllowedRegions Anywhere = AllowedRegions::anywhere();
  if (!ServingRegions.restricted() ||
      !meetsMinCoverage(servableParts(S, Anywhere, Now)))
    return {ResultCode::NoReplica, NoReplicaRetry, std::move(Why)};
  return {
      ResultCode::NoAllowedReplica, NoAllowedReplicaRetry,
      fmt::format("{} in the allowed regions ({})", Why, ServingRegions.str())};
}

RunOutput ForwardRun::callerGone(Instant Now) {
  RunOutput Out;
  if (Answered)
    return Out;
  Answered = true;
  // A request that may run only once is left to complete: a partial execution
  // is worse than a full one.
  DropAt = Request.Matched->Kind == RetrySemantics::Idempotent
               ? Now + LingerTime
               : AnswerDeadline;
  return Out;
}

RunOutput ForwardRun::abandon(Instant Now) {
  RunOutput Out;
  Answered = true;
  dropOpen(Out, Now);
  return Out;
}

/// Whether an answer of \p Count parts has the minimum coverage.
bool ForwardRun::meetsMinCoverage(std::size_t Count) const {
  double Least = Fan ? Fan->MinCoverage : 1;
  return static_cast<double>(Count) / static_cast<double>(Parts.size()) >=
         Least;
}

bool ForwardRun::hasMinCoverage() const {
  return Stats.PartsSucceeded > 0 && meetsMinCoverage(Stats.PartsSucceeded);
}

void ForwardRun::answerIfReady(RunOutput &Out, Instant Now) {
  if (Answered)
    return;
  bool Waiting = std::ranges::any_of(
      Parts, [](const Part &P) { return !P.Succeeded && !P.Exhausted; });
  if (hasMinCoverage() && (!Waiting || Now >= Cutoff)) {
    answerParts(Out, Now);
    return;
  }
  if (!Waiting || Now >= AnswerDeadline) {
    answerFailure(Out, Now, Waiting);
    return;
  }
  // Fail as soon as the minimum coverage cannot be reached.
  if (!Fan)
    return;
  std::size_t Possible = static_cast<std::size_t>(std::ranges::count_if(
      Parts, [](const Part &P) { return P.Succeeded || !P.Exhausted; }));
  if (!meetsMinCoverage(Possible))
    answerFailure(Out, Now, false);
}

void ForwardRun::answerParts(RunOutput &Out, Instant Now) {
  cancelUnstarted(Out, Now);
  if (!Fan) {
    finish(Out, RelayedAnswer{std::move(Parts.front().Reply)}, Now);
    return;
  }
  MergedAnswer A;
  std::vector<std::string_view> Bodies;
  for (const Part &P : Parts) {
    if (!P.Succeeded)
      continue;
    A.Signatures.push_back(P.Reply.Signature);
    Bodies.push_back(P.Reply.Body);
  }
  A.Missing = Parts.size() - Stats.PartsSucceeded;
  A.Records = greatestRecords(Bodies, Fan->MaxRecords);
  finish(Out, std::move(A), Now);
}

bool ForwardRun::nothingRan() const {
  return std::ranges::all_of(Parts,
                             [](const Part &P) { return P.MayHaveRun == 0; });
}

/// Relays the replica's failure as it is, but not to the caller of an action a
/// status that promises "not run": the reply does not state that, and the
/// caller would book again what may have been booked.
void ForwardRun::relayFailure(RunOutput &Out, Instant Now) {
  ReplicaReply &R = Parts.front().Reply;
  if (Request.Matched->Kind == RetrySemantics::Idempotent ||
      !promisesNotRun(R.Status)) {
    finish(Out, RelayedAnswer{std::move(R)}, Now);
    return;
  }
  std::string Why = fmt::format(
      "the replica answered {} and does not say that it has not run the action",
      R.Status);
  finish(Out, LocalAnswer{ResultCode::OutcomeUnknown, {}, std::move(Why)}, Now);
}

void ForwardRun::answerFailure(RunOutput &Out, Instant Now, bool TimedOut) {
  cancelUnstarted(Out, Now);
  if (!Fan && Parts.front().HasReply) {
    relayFailure(Out, Now);
    return;
  }
  bool NothingRan = nothingRan();
  std::string Why =
      fmt::format("{} of {} parts succeeded, {} sends, {} rejected, {} lost, "
                  "{} not sent, {} "
                  "replicas crashed",
                  Stats.PartsSucceeded, Parts.size(), Stats.Sends,
                  Stats.Rejected, Stats.Lost, Stats.NotSent, Stats.Crashed);
  if (NothingRan)
    finish(Out, LocalAnswer{ResultCode::UpstreamShed, NoReplicaRetry, Why},
           Now);
  else if (Request.Restriction == SendRestriction::OneSend && Stats.Crashed > 0)
    finish(Out, LocalAnswer{ResultCode::RequestCrashes, {}, Why}, Now);
  else if (Request.Matched->Kind == RetrySemantics::AtMostOnce)
    finish(Out, LocalAnswer{ResultCode::OutcomeUnknown, {}, Why}, Now);
  else if (crashLimitReached())
    finish(Out, LocalAnswer{ResultCode::ReplicasCrashed, {}, Why}, Now);
  else if (TimedOut && AnswerDeadline < PermittedDeadline)
    finish(Out, LocalAnswer{ResultCode::DaemonStopped, {}, Why}, Now);
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
               : AnswerDeadline;
}

void ForwardRun::dropOpen(RunOutput &Out, Instant Now) {
  for (unsigned I = 0; I < Sends.size(); ++I) {
    SendState &X = Sends[I];
    if (!X.Open)
      continue;
    X.Open = false;
    X.To->sendEnded(X.Started, SendStatus::Abandoned, X.ServiceTime, Now);
    Out.Drop.push_back(I);
  }
  OpenSends = 0;
}

/// Cancels the sends that were to start in this step: the answer is known, and
/// one that says "not run" must stay true.
void ForwardRun::cancelUnstarted(RunOutput &Out, Instant Now) {
  for (const StartSend &W : Out.Start) {
    SendState &X = Sends[W.Send];
    Part &P = Parts[X.Part];
    X.Open = false;
    --P.Open;
    --P.MayHaveRun;
    --OpenSends;
    X.To->sendEnded(X.Started, SendStatus::Abandoned, X.ServiceTime, Now);
  }
  Out.Start.clear();
}

Instant ForwardRun::nextTick() const {
  if (Answered)
    return DropAt;
  Instant Next = AnswerDeadline;
  if (Fan && !CutoffPassed)
    Next = std::min(Next, Cutoff);
  for (const SendState &X : Sends)
    if (X.Open && !Parts[X.Part].Succeeded && !suspected())
      Next = std::min(Next, X.HedgeAt);
  for (const Part &P : Parts)
    Next = std::min(Next, P.RetryAt);
  return Next;
}

} // namespace shallot
