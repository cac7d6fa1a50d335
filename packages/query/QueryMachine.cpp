#include "query/QueryMachine.h"

#include "query/Replica.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

QueryMachine::QueryMachine(QuerySpec S, QueryContext T,
                           std::vector<const Service *> A)
    : Spec(std::move(S)), Tools(std::move(T)), Targets(std::move(A)),
      Subs(Targets.size()) {
  for (std::size_t I = 0; I < Subs.size(); ++I)
    Subs[I].Svc = Targets[I];
  Waiting = Subs.size();
}

QueryMachine::~QueryMachine() {
  // A run dropped before its end would leave its requests outstanding in the
  // table for good, and the upstreams asked would look busy for ever.
  if (Sender && !Finished)
    for (SubQuery &Sub : Subs)
      Sender->cancelOpen(Sub, LastNow, Out);
}

ExtraBudgets &QueryMachine::budgets() {
  return Tools.Budgets.of(Spec.Owner, Spec.Class,
                          Spec.Policy.HedgeBudgetPercent,
                          Spec.Policy.RetryBudgetPercent);
}

QueryCommands QueryMachine::takeCommands() {
  return std::exchange(Out, QueryCommands());
}

QueryCommands QueryMachine::start(Instant Now) {
  Begin = LastNow = Now;
  Duration Given = Spec.Deadline - Now;
  FinishBy =
      Spec.Deadline - std::min(MaxAnswerMargin, Given / AnswerMarginPart);
  if (Spec.Policy.Coverage == CoverageRule::Partial &&
      Spec.Policy.PartialAfter > Duration{0})
    PartialAt = Now + Spec.Policy.PartialAfter;
  if (Tools.Traces)
    Tools.Traces->begin(Spec.Id, Spec.Owner, Spec.Class);
  Sender.emplace(Spec, Tools, Begin, FinishBy);
  if (Given < MinUsefulTime) {
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
  // A reply counts only for the attempt of exactly this key that is still open
  // here. A late, doubled or mislabelled one finds none and is dropped, so it
  // can reach neither another request nor another service of this one.
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
  take(I, *A, Reply, Now);
  progress(Now);
  schedule(Now);
  return takeCommands();
}

void QueryMachine::take(std::size_t I, const SubAttempt &A,
                        const SubReply &Reply, Instant Now) {
  SubQuery &Sub = Subs[I];
  ToldRetryAfter = std::max(ToldRetryAfter, Reply.RetryAfter);
  bool Ok = Reply.Code == ResultCode::Ok;
  AnyRunEndedWell = AnyRunEndedWell || Ok;
  if (Ok && settling()) {
    Sub.Held = Reply;
    Sub.From = A.Target;
    Sender->cancelOpen(Sub, Now, Out);
    if (SettleBy == Never)
      SettleBy = Now + std::min(SettleWait, (FinishBy - Now) / 2);
    return;
  }
  if (Ok && Reply.Served == *Pin)
    return accept(Sub, A.Target, Reply, Now);
  noteFailure(Sub, A.Target, Reply);
  // Sent before there was a pin, it was not sent for this one.
  if (Ok && !A.Pinned)
    Sub.Tried.clear();
  if (Sub.hasOpen())
    return;
  bool OtherSnapshot = Ok || Reply.Code == ResultCode::UpstreamVersionGone;
  if (OtherSnapshot && !settling())
    return reask(I, Now);
  if (noUpstreamSaw(Reply.Code) && reroute(I, Now))
    return;
  retry(I, Now);
}

/// Sends to another upstream after a refusal that no upstream saw, such as that
/// of a slot's holder. It is not paid from the retry budget, since it adds
/// nothing to what the upstreams do: with it, the slots that rest after a
/// daemon has left would use up the budget and answers would come back partial.
/// Each upstream is asked once, so this ends.
bool QueryMachine::reroute(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  if (!Spec.Parts.Retry || FinishBy - Now < MinUsefulTime)
    return false;
  auto To = Sender->pick(Sub, Pin, Now);
  if (To)
    sendTo(I, *To, TraceKind::Reasked, Now);
  return To.has_value();
}

void QueryMachine::accept(SubQuery &Sub, const UpstreamId &From,
                          const SubReply &Reply, Instant Now) {
  Sub.State = SubState::Answered;
  Sub.From = From;
  Sub.Body = Reply.Body;
  Sub.Held.reset();
  ++Answered;
  --Waiting;
  Sender->cancelOpen(Sub, Now, Out);
}

void QueryMachine::noteFailure(SubQuery &Sub, const UpstreamId &From,
                               const SubReply &Reply) {
  if (Reply.Code != ResultCode::Ok) {
    Sub.Reason = Reply.Code;
    Sub.Text = fmt::format("{}: {}", From.str(), infoOf(Reply.Code).Text);
    return;
  }
  Sub.Reason = ResultCode::UpstreamVersionGone;
  Sub.Text = fmt::format("{}: answered from {}.{}, the query is from {}.{}",
                         From.str(), Reply.Served.IndexVersion,
                         Reply.Served.PartitionVersion, Pin->IndexVersion,
                         Pin->PartitionVersion);
}

std::optional<Pick> QueryMachine::pickForRetry(const SubQuery &Sub,
                                               Instant Now) {
  if (auto To = Sender->pick(Sub, Pin, Now))
    return To;
  // A connection that closed or went silent says nothing against the replica:
  // with no other to ask, the same one is asked again on a new connection.
  if (Sub.Reason != ResultCode::ConnectionClosed &&
      Sub.Reason != ResultCode::SilentConnection)
    return std::nullopt;
  SubQuery Afresh;
  Afresh.Svc = Sub.Svc;
  return Sender->pick(Afresh, Pin, Now);
}

void QueryMachine::retry(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  bool Allowed = Spec.Parts.Retry && Sub.Paid < MaxAttemptsPerService &&
                 FinishBy - Now >= MinUsefulTime;
  if (!Allowed)
    return giveUp(Sub, Sub.Reason, Sub.Text, Now);
  auto To = pickForRetry(Sub, Now);
  if (!To && Pin && Tools.Replicas.pinGone(*Sub.Svc, *Pin, Now))
    return pinVanished(I, Now);
  if (!To)
    return giveUp(Sub, Sub.Reason, Sub.Text + "; no other replica is usable",
                  Now);
  if (!budgets().Retries.trySpend()) {
    Sender->trace(TraceKind::RetryDenied, Sub, Now);
    return giveUp(Sub, Sub.Reason, Sub.Text + "; the retry budget is used up",
                  Now);
  }
  sendTo(I, *To, TraceKind::Retried, Now);
}

void QueryMachine::reask(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  if (FinishBy - Now < MinUsefulTime)
    return giveUp(Sub, ResultCode::SnapshotGone, Sub.Text, Now);
  // Each upstream is asked once for a pin, so this ends; it is not paid from
  // the retry budget because the refusals cost the upstreams nothing.
  if (auto To = Sender->pick(Sub, Pin, Now))
    return sendTo(I, *To, TraceKind::Reasked, Now);
  pinVanished(I, Now);
}

void QueryMachine::giveUp(SubQuery &Sub, ResultCode Reason, std::string Text,
                          Instant Now) {
  Sub.State = SubState::Missing;
  Sub.Reason = Reason;
  Sub.Text = std::move(Text);
  Sub.Held.reset();
  --Waiting;
  Sender->trace(TraceKind::GaveUp, Sub, Now, Reason);
}

QueryCommands QueryMachine::onWake(Instant Now) {
  if (Finished || !Sender)
    return {};
  LastNow = Now;
  Scheduled = Never;
  if (settling() && Now >= std::min(SettleBy, PartialAt))
    settle(Now);
  if (Now < FinishBy)
    for (std::size_t I = 0; I < Subs.size(); ++I) {
      watchSilence(I, Now);
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
  if (settling() && allSpoke())
    settle(Now);
  sendHeld(Now);
  if (crashesEnough())
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
  Instant Next = std::min(FinishBy, SettleBy);
  if (PartialAt > LastNow)
    Next = std::min(Next, PartialAt);
  for (const SubQuery &Sub : Subs) {
    if (!Sub.waiting() || Sub.Held)
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
