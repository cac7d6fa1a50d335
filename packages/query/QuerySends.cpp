// What one search sends: the first request to every service, and hedges.
#include "query/QueryMachine.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

/// Chooses for all services before anything is sent: a class that needs full
/// coverage is then refused without a request when one service has nobody.
void QueryMachine::sendAll(TraceKind Kind, Instant Now) {
  std::vector<std::optional<Pick>> Picks(Subs.size());
  for (std::size_t I = 0; I < Subs.size(); ++I) {
    SubQuery &Sub = Subs[I];
    Picks[I] = Sender->pick(Sub, Pin, Now);
    if (Picks[I])
      continue;
    bool Gone = Pin && Tools.Replicas.pinGone(*Sub.Svc, *Pin, Now);
    giveUp(Sub, Gone ? ResultCode::SnapshotGone : ResultCode::NoReplica,
           fmt::format(
               "{}: {}", Sub.name().str(),
               infoOf(Gone ? ResultCode::SnapshotGone : ResultCode::NoReplica)
                   .Text),
           Now);
  }
  if (needsFull() && anyMissing())
    return;
  ExtraBudgets &B = budgets();
  if (Kind == TraceKind::Sent) {
    B.Hedges.earn(Waiting);
    B.Retries.earn(Waiting);
    Tools.Restarts.earn();
  }
  // A suspect begins anywhere, so that the first service is not every suspect's
  // first.
  std::size_t First = careful() ? below(Tools.Rng, Subs.size()) : 0;
  for (std::size_t N = 0; N < Subs.size(); ++N) {
    std::size_t I = (First + N) % Subs.size();
    if (Picks[I])
      sendTo(I, *Picks[I], Kind, Now);
  }
}

void QueryMachine::sendTo(std::size_t I, const Pick &To, TraceKind Kind,
                          Instant Now) {
  if (mustWait())
    return holdBack(I, Kind, Now);
  if (Kind != TraceKind::Hedged)
    armHedge(Subs[I], Now);
  Sender->send(I, Subs[I], To, Pin, Kind, Now, Out);
}

void QueryMachine::armHedge(SubQuery &Sub, Instant Now) {
  auto Measured = Tools.Latency.quantile(Spec.Owner, Sub.name(),
                                         Spec.Conf->preset()->HedgeQuantile);
  Duration Unmeasured = std::min(UnmeasuredHedgeDelay, (FinishBy - Now) / 4);
  Sub.UsualLongest = std::max(Measured.value_or(Unmeasured), MinHedgeDelay);
  if (Spec.Parts.Hedge && Spec.Policy.HedgeBudgetPercent > 0)
    Sub.HedgeAt = Now + Sub.UsualLongest;
}

void QueryMachine::hedge(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  if (!Sub.waiting() || Now < Sub.HedgeAt || !Sub.hasOpen())
    return;
  if (careful()) {
    Sub.HedgeAt = Now + Sub.UsualLongest;
    return;
  }
  bool Allowed =
      Sub.Hedges < MaxHedgesPerService && Sub.Paid < MaxAttemptsPerService;
  auto To = Allowed ? Sender->pick(Sub, Pin, Now) : std::nullopt;
  if (!To) {
    Sub.HedgeAt = Never;
    return;
  }
  Duration Later = std::max(Sub.UsualLongest / 4, MinHedgeDelay);
  Budget &Hedges = budgets().Hedges;
  // The last tokens are kept for real stragglers: half of the requests that
  // have just become due are answered within the next quarter. Spent on them,
  // the tokens would be missing for a request that is 20 times slower.
  if (Hedges.balance() < HedgeReserve && !Sub.HedgeDeferred) {
    Sub.HedgeDeferred = true;
    Sub.HedgeAt = Now + Later;
    return;
  }
  if (!Hedges.trySpend()) {
    Sender->trace(TraceKind::HedgeDenied, Sub, Now);
    Sub.HedgeAt = Now + Later;
    return;
  }
  Sub.HedgeAt = Now + Sub.UsualLongest;
  ++Sub.Hedges;
  sendTo(I, *To, TraceKind::Hedged, Now);
}

/// A request that has been silent for long is moved: its work is idempotent,
/// and waiting for the deadline would let one silent connection set the
/// latency. The old attempt stays open, in case that it still answers.
void QueryMachine::watchSilence(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  if (!Sub.waiting() || Sub.Held)
    return;
  bool AnyDue = false;
  bool AllSilent = true;
  for (SubAttempt &A : Sub.Attempts) {
    if (A.Open && Now >= A.SilentAt) {
      AnyDue = true;
      Sender->noteSilence(Sub, A, Now, Out);
    }
    AllSilent = AllSilent && (!A.Open || A.SilentAt == Never);
  }
  if (!AnyDue || !AllSilent || !Spec.Parts.Retry || careful() ||
      Sub.Paid >= MaxAttemptsPerService)
    return;
  auto To = Sender->pick(Sub, Pin, Now);
  if (To && budgets().Retries.trySpend())
    sendTo(I, *To, TraceKind::Retried, Now);
}

} // namespace shallot
