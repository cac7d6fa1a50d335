// The pin of one search: chosen at the start, or from the first replies if no
// snapshot is known yet, and replaced by another at most once.
#include "query/QueryMachine.h"
#include "query/SnapshotChooser.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

void QueryMachine::choosePin(Instant Now) {
  TraceEvent E;
  auto Choice = SnapshotChooser(Context.Replicas).choose(Targets, Now);
  if (Choice)
    Pin = Choice->Pair;
  E.Kind = Choice ? TraceKind::PinChosen : TraceKind::AskedUnpinned;
  E.Pin = Choice ? Choice->Pair : Snapshot();
  E.Count = static_cast<unsigned>(Choice ? Choice->Services : 0);
  Sender->trace(std::move(E), Now);
}

bool QueryMachine::allReplied() const {
  return std::ranges::all_of(Subs, [](const SubQuery &Sub) {
    return !Sub.waiting() || Sub.UnpinnedReply.has_value();
  });
}

Snapshot QueryMachine::pinFromUnpinnedReplies(Instant Now) const {
  if (auto Choice = SnapshotChooser(Context.Replicas).choose(Targets, Now))
    return Choice->Pair;
  // All upstreams that answered are leaving: take the newest snapshot received.
  Snapshot Newest;
  for (const SubQuery &Sub : Subs)
    if (Sub.UnpinnedReply)
      Newest = std::max(Newest, Sub.UnpinnedReply->Served);
  return Newest;
}

/// Unpinned replies are used only if they are from the chosen pin; the other
/// services are asked again with the pin. An answer thus never mixes snapshots.
void QueryMachine::choosePinFromReplies(Instant Now) {
  bool AnyUnpinnedReply = std::ranges::any_of(
      Subs, [](const SubQuery &Sub) { return Sub.UnpinnedReply.has_value(); });
  PinDeadline = Never;
  if (!AnyUnpinnedReply)
    return;
  Pin = pinFromUnpinnedReplies(Now);
  TraceEvent E;
  E.Kind = TraceKind::PinChosen;
  E.Pin = *Pin;
  Sender->trace(std::move(E), Now);
  for (std::size_t I = 0; I < Subs.size(); ++I) {
    SubQuery &Sub = Subs[I];
    if (!Sub.UnpinnedReply)
      continue;
    SubReply Reply = *std::exchange(Sub.UnpinnedReply, std::nullopt);
    if (Reply.Served == *Pin) {
      acceptReply(Sub, Sub.From, Reply, Now);
      continue;
    }
    Sender->trace(TraceKind::NotUsed, Sub, Now);
    // The upstream did not refuse the pin, so it may hold it and can be tried
    // again.
    Sub.Tried.clear();
    recordFailure(Sub, Sub.From, Reply);
    reask(I, Now);
  }
}

bool QueryMachine::mayRestart(const SubQuery &Sub, Instant Now) const {
  auto Usual = Context.Latency.quantile(Spec.Owner, Sub.name(),
                                        Spec.Conf->preset()->HedgeQuantile);
  Duration Needed = std::max(MinRestartTime, Usual.value_or(Duration{0}) * 2);
  return !Restarted && FinishBy - Now >= Needed;
}

/// Handles a service of which no upstream holds the pin any more. If there is
/// time, all services are asked again for a snapshot that more services hold;
/// otherwise this service is missing. An answer never mixes snapshots.
void QueryMachine::pinVanished(std::size_t I, Instant Now) {
  SubQuery &Sub = Subs[I];
  Sender->trace(TraceKind::PinVanished, Sub, Now);
  auto Choice = SnapshotChooser(Context.Replicas).choose(Targets, Now);
  bool Better = Choice && Choice->Pair != *Pin;
  if (Better && mayRestart(Sub, Now) && Context.Restarts.trySpend())
    return restart(Choice->Pair, Now);
  giveUp(Sub, ResultCode::SnapshotGone,
         fmt::format("no usable replica holds {}.{}, the snapshot of this "
                     "answer",
                     Pin->IndexVersion, Pin->PartitionVersion),
         Now);
}

void QueryMachine::restart(const Snapshot &On, Instant Now) {
  Restarted = true;
  Pin = On;
  TraceEvent E;
  E.Kind = TraceKind::Restarted;
  E.Pin = On;
  Sender->trace(std::move(E), Now);
  for (std::size_t I = 0; I < Subs.size(); ++I) {
    Sender->cancelOpen(Subs[I], Now, Out);
    bool MayHaveRun = Subs[I].MayHaveRun;
    Subs[I] = SubQuery();
    Subs[I].Svc = Targets[I];
    Subs[I].MayHaveRun = MayHaveRun;
  }
  Waiting = Subs.size();
  Answered = 0;
  sendAll(TraceKind::Restarted, Now);
}

} // namespace shallot
