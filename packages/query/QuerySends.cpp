// Requests of one search: first attempts, hedges and retries after silence.
#include "query/QueryMachine.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

/// Selects upstreams for all services before it sends anything, so that a class
/// that needs full coverage is refused without a request if a service has no
/// usable upstream.
void QueryMachine::sendAll(TraceKind Kind, Instant Now) {
  std::vector<std::optional<Pick>> Picks(Subs.size());
  for (std::size_t I = 0; I < Subs.size(); ++I) {
    SubQuery &Sub = Subs[I];
    Picks[I] = Sender->pick(Sub, Pin, Now);
    if (Picks[I])
      continue;
    bool Gone = Pin && Context.Replicas.pinGone(*Sub.Svc, *Pin, Now);
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
    Context.Restarts.earn();
  }
  // A suspected search starts at a random service, so that such searches do not
  // all hit the first service.
  std::size_t First = isSuspect() ? below(Context.Rng, Subs.size()) : 0;
  for (std::size_t N = 0; N < Subs.size(); ++N) {
    std::size_t I = (First + N) % Subs.size();
    if (Picks[I])
      sendTo(I, *Picks[I], Kind, Now);
  }
}

void QueryMachine::sendTo(std::size_t I, const Pick &To, TraceKind Kind,
                          Instant Now) {
  if (mustDefer())
    return holdBack(I, Kind, Now);
  if (Kind != TraceKind::Hedged)
    armHedge(Subs[I], Now);
  Sender->send(I, Subs[I], To, Pin, Kind, Now, Out);
}

void QueryMachine::armHedge(SubQuery &Sub, Instant Now) {
  auto Measured = Context.Latency.quantile(Spec.Owner, Sub.name(),
                                           Spec.Conf->preset()->HedgeQuantile);
  Duration Default = std::min(DefaultHedgeDelay, (FinishBy - Now) / 4);
  Sub.HedgeDelay = std::max(Measured.value_or(Default), MinHedgeDelay);
  if (Spec.Parts.Hedge && Spec.Policy.HedgeBudgetPercent > 0)
    Sub.HedgeAt = Now + Sub.HedgeDelay;
}

void QueryMachine::hedge(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  if (!Sub.waiting() || Now < Sub.HedgeAt || !Sub.hasOpen())
    return;
  if (isSuspect()) {
    Sub.HedgeAt = Now + Sub.HedgeDelay;
    return;
  }
  bool Allowed = Sub.Hedges < MaxHedgesPerService &&
                 Sub.CountedAttempts < MaxAttemptsPerService;
  auto To = Allowed ? Sender->pick(Sub, Pin, Now) : std::nullopt;
  if (!To) {
    Sub.HedgeAt = Never;
    return;
  }
  Duration Deferral = std::max(Sub.HedgeDelay / 4, MinHedgeDelay);
  Budget &Hedges = budgets().Hedges;
  // The last tokens are reserved for real stragglers: half of the requests
  // whose hedge has just become due are answered within the next quarter of the
  // delay. Tokens spent on them would be missing for a request that is 20 times
  // slower.
  if (Hedges.balance() < HedgeReserve && !Sub.HedgeDeferred) {
    Sub.HedgeDeferred = true;
    Sub.HedgeAt = Now + Deferral;
    return;
  }
  if (!Hedges.trySpend()) {
    Sender->trace(TraceKind::HedgeDenied, Sub, Now);
    Sub.HedgeAt = Now + Deferral;
    return;
  }
  Sub.HedgeAt = Now + Sub.HedgeDelay;
  ++Sub.Hedges;
  sendTo(I, *To, TraceKind::Hedged, Now);
}

/// Retries a silent request at another upstream: searches are idempotent, and
/// waiting until the deadline would let one silent connection determine the
/// latency. The old attempt stays open and may still answer.
void QueryMachine::checkSilence(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  if (!Sub.waiting() || Sub.UnpinnedReply)
    return;
  bool AnyDue = false;
  bool AllSilent = true;
  for (SubAttempt &A : Sub.Attempts) {
    if (A.Open && Now >= A.SilentAt) {
      AnyDue = true;
      Sender->recordSilence(Sub, A, Now, Out);
    }
    AllSilent = AllSilent && (!A.Open || A.SilentAt == Never);
  }
  if (!AnyDue || !AllSilent || !Spec.Parts.Retry || isSuspect() ||
      Sub.CountedAttempts >= MaxAttemptsPerService)
    return;
  auto To = Sender->pick(Sub, Pin, Now);
  if (To && budgets().Retries.trySpend())
    sendTo(I, *To, TraceKind::Retried, Now);
}

} // namespace shallot
