#include "query/QueryMachine.h"

#include "query/Replica.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

QueryMachine::QueryMachine(QuerySpec S, QueryContext T,
                           std::vector<const Service *> A)
    : Spec(std::move(S)), Context(std::move(T)), Targets(std::move(A)),
      Subs(Targets.size()) {
  for (std::size_t I = 0; I < Subs.size(); ++I)
    Subs[I].Svc = Targets[I];
  Waiting = Subs.size();
}

QueryMachine::~QueryMachine() {
  // A run destroyed before it finished would leave its requests outstanding in
  // the replica table, and their upstreams would look busy indefinitely.
  if (Sender && !Finished)
    for (SubQuery &Sub : Subs)
      Sender->cancelOpen(Sub, LastNow, Out);
}

ExtraBudgets &QueryMachine::budgets() {
  return Context.Budgets.of(Spec.Owner, Spec.Class,
                            Spec.Policy.HedgeBudgetPercent,
                            Spec.Policy.RetryBudgetPercent);
}

QueryCommands QueryMachine::takeCommands() {
  return std::exchange(Out, QueryCommands());
}

QueryCommands QueryMachine::start(Instant Now) {
  Begin = LastNow = Now;
  Duration Available = Spec.Deadline - Now;
  FinishBy =
      Spec.Deadline - std::min(MaxAnswerMargin, Available / AnswerMarginPart);
  if (Spec.Policy.Coverage == CoverageRule::Partial &&
      Spec.Policy.PartialAfter > Duration{0})
    PartialAt = Now + Spec.Policy.PartialAfter;
  if (Context.Traces)
    Context.Traces->begin(Spec.Id, Spec.Owner, Spec.Class);
  Sender.emplace(Spec, Context, Begin, FinishBy);
  if (Available < MinUsefulTime) {
    finish(ResultCode::WouldMissDeadline, Now);
    return takeCommands();
  }
  Out.reserve(Subs.size() + 1);
  choosePin(Now);
  sendAll(TraceKind::Sent, Now);
  progress(Now);
  schedule(Now);
  return takeCommands();
}

SubAttempt *QueryMachine::openAttempt(const AttemptKey &Key, std::size_t &I) {
  // A reply is accepted only for an open attempt with exactly this key. A late,
  // duplicate or mislabelled reply matches none and is discarded, so it cannot
  // be attributed to another request or to another service of this one.
  auto Place = Sender ? Sender->find(Key) : std::nullopt;
  if (!Place)
    return nullptr;
  I = Place->Sub;
  std::vector<SubAttempt> &Attempts = Subs[I].Attempts;
  if (Place->Attempt >= Attempts.size())
    return nullptr;
  SubAttempt &A = Attempts[Place->Attempt];
  return A.Open && A.Key == Key ? &A : nullptr;
}

QueryCommands QueryMachine::onReply(const AttemptKey &Key,
                                    const SubReply &Reply, Instant Now) {
  if (Finished)
    return {};
  LastNow = Now;
  std::size_t I = 0;
  SubAttempt *A = openAttempt(Key, I);
  if (!A)
    return {};
  Sender->close(Subs[I], *A, Reply, Now);
  handleReply(I, *A, Reply, Now);
  progress(Now);
  schedule(Now);
  return takeCommands();
}

void QueryMachine::handleReply(std::size_t I, const SubAttempt &A,
                               const SubReply &Reply, Instant Now) {
  SubQuery &Sub = Subs[I];
  UpstreamRetryAfter = std::max(UpstreamRetryAfter, Reply.RetryAfter);
  bool Ok = Reply.Code == ResultCode::Ok;
  AnyAttemptSucceeded = AnyAttemptSucceeded || Ok;
  if (Ok && awaitingPin()) {
    Sub.UnpinnedReply = Reply;
    Sub.From = A.Target;
    Sender->cancelOpen(Sub, Now, Out);
    if (PinDeadline == Never)
      PinDeadline = Now + std::min(MaxPinWait, (FinishBy - Now) / 2);
    return;
  }
  if (Ok && Reply.Served == *Pin)
    return acceptReply(Sub, A.Target, Reply, Now);
  recordFailure(Sub, A.Target, Reply);
  // An attempt sent before the pin was chosen does not count as tried for it.
  if (Ok && !A.Pinned)
    Sub.Tried.clear();
  if (Sub.hasOpen())
    return;
  bool OtherSnapshot = Ok || Reply.Code == ResultCode::UpstreamVersionGone;
  if (OtherSnapshot && !awaitingPin())
    return reask(I, Now);
  if (refusedBeforeUpstream(Reply.Code) && reroute(I, Now))
    return;
  retry(I, Now);
}

/// Sends to another upstream after a refusal that no upstream received, such as
/// that of a slot holder. This does not draw on the retry budget, because it
/// adds no load to the upstreams: otherwise the slots that are blocked after a
/// daemon has left would exhaust the budget and answers would be partial. Each
/// upstream is tried at most once, so this terminates.
bool QueryMachine::reroute(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  if (!Spec.Parts.Retry || FinishBy - Now < MinUsefulTime)
    return false;
  auto To = Sender->pick(Sub, Pin, Now);
  if (To)
    sendTo(I, *To, TraceKind::Reasked, Now);
  return To.has_value();
}

void QueryMachine::acceptReply(SubQuery &Sub, const UpstreamId &From,
                               const SubReply &Reply, Instant Now) {
  Sub.State = SubState::Answered;
  Sub.From = From;
  Sub.Body = Reply.Body;
  Sub.UnpinnedReply.reset();
  ++Answered;
  --Waiting;
  Sender->cancelOpen(Sub, Now, Out);
}

void QueryMachine::recordFailure(SubQuery &Sub, const UpstreamId &From,
                                 const SubReply &Reply) {
  if (Reply.Code != ResultCode::Ok) {
    Sub.Reason = Reply.Code;
    Sub.Text = fmt::format("{}: {}", From.str(), infoOf(Reply.Code).Text);
    return;
  }
  Sub.Reason = ResultCode::UpstreamVersionGone;
  Sub.Text = fmt::format("{}: answered from snapshot {}.{}, the pin is {}.{}",
                         From.str(), Reply.Served.IndexVersion,
                         Reply.Served.PartitionVersion, Pin->IndexVersion,
                         Pin->PartitionVersion);
}

std::optional<Pick> QueryMachine::pickForRetry(const SubQuery &Sub,
                                               Instant Now) {
  if (auto To = Sender->pick(Sub, Pin, Now))
    return To;
  // A closed or silent connection is no evidence against the replica: if there
  // is no other, the same one is tried again on a new connection.
  if (Sub.Reason != ResultCode::ConnectionClosed &&
      Sub.Reason != ResultCode::SilentConnection)
    return std::nullopt;
  SubQuery WithoutExclusions;
  WithoutExclusions.Svc = Sub.Svc;
  return Sender->pick(WithoutExclusions, Pin, Now);
}

void QueryMachine::retry(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  bool Allowed = Spec.Parts.Retry &&
                 Sub.CountedAttempts < MaxAttemptsPerService &&
                 FinishBy - Now >= MinUsefulTime;
  if (!Allowed)
    return giveUp(Sub, Sub.Reason, Sub.Text, Now);
  auto To = pickForRetry(Sub, Now);
  if (!To && Pin && Context.Replicas.pinGone(*Sub.Svc, *Pin, Now))
    return pinVanished(I, Now);
  if (!To)
    return giveUp(Sub, Sub.Reason, Sub.Text + "; no other replica is usable",
                  Now);
  if (!budgets().Retries.trySpend()) {
    Sender->trace(TraceKind::RetryDenied, Sub, Now);
    return giveUp(Sub, Sub.Reason, Sub.Text + "; the retry budget is exhausted",
                  Now);
  }
  sendTo(I, *To, TraceKind::Retried, Now);
}

void QueryMachine::reask(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  if (FinishBy - Now < MinUsefulTime)
    return giveUp(Sub, ResultCode::SnapshotGone, Sub.Text, Now);
  // Each upstream is tried at most once per pin, so this terminates. It does
  // not draw on the retry budget because refusals with 409 cost the upstreams
  // no work.
  if (auto To = Sender->pick(Sub, Pin, Now))
    return sendTo(I, *To, TraceKind::Reasked, Now);
  pinVanished(I, Now);
}

void QueryMachine::giveUp(SubQuery &Sub, ResultCode Reason, std::string Text,
                          Instant Now) {
  Sub.State = SubState::Missing;
  Sub.Reason = Reason;
  Sub.Text = std::move(Text);
  Sub.UnpinnedReply.reset();
  --Waiting;
  Sender->trace(TraceKind::GaveUp, Sub, Now, Reason);
}

QueryCommands QueryMachine::onWake(Instant Now) {
  if (Finished || !Sender)
    return {};
  LastNow = Now;
  Scheduled = Never;
  if (awaitingPin() && Now >= std::min(PinDeadline, PartialAt))
    choosePinFromReplies(Now);
  if (Now < FinishBy)
    for (std::size_t I = 0; I < Subs.size(); ++I) {
      checkSilence(I, Now);
      hedge(I, Now);
    }
  progress(Now);
  schedule(Now);
  return takeCommands();
}

QueryCommands QueryMachine::onCallerGone(Instant Now) {
  if (Finished || !Sender)
    return {};
  finish(ResultCode::CallerGone, Now);
  return takeCommands();
}

void QueryMachine::progress(Instant Now) {
  if (Finished)
    return;
  if (awaitingPin() && allReplied())
    choosePinFromReplies(Now);
  sendHeldBack(Now);
  if (crashLimitReached())
    return finishSuspect(Now);
  if (needsFull() && anyMissing())
    return finish(codeAtEnd(false), Now);
  if (Waiting == 0)
    return finish(codeAtEnd(false), Now);
  if (Now >= FinishBy)
    return finish(codeAtEnd(true), Now);
  if (Now >= PartialAt && Answered > 0)
    return finish(ResultCode::PartialCoverage, Now);
}

Instant QueryMachine::nextWake() const {
  Instant Next = std::min(FinishBy, PinDeadline);
  if (PartialAt > LastNow)
    Next = std::min(Next, PartialAt);
  for (const SubQuery &Sub : Subs) {
    if (!Sub.waiting() || Sub.UnpinnedReply)
      continue;
    Next = std::min(Next, Sub.HedgeAt);
    for (const SubAttempt &A : Sub.Attempts)
      if (A.Open)
        Next = std::min(Next, A.SilentAt);
  }
  return Next;
}

void QueryMachine::schedule(Instant Now) {
  if (Finished)
    return;
  Instant Next = std::max(nextWake(), Now);
  if (Next >= Scheduled)
    return;
  Scheduled = Next;
  Out.emplace_back(WakeAt{Next});
}

} // namespace shallot
