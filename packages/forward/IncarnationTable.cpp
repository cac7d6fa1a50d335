//===- IncarnationTable.cpp - Incarnations of replicas --------------------===//
#include "forward/IncarnationTable.h"

namespace shallot {

IncarnationOrder IncarnationTable::observe(const ReplicaEntry &Entry,
                                           Instant Now) {
  auto [At, New] = ById.try_emplace(Entry.Id);
  KnownIncarnation &K = At->second;
  bool HasStart = Entry.StartedUnixMs != 0;
  if (HasStart && Entry.StartedUnixMs < K.StartedUnixMs) {
    bool Same = K.Earlier && K.Earlier->StartedUnixMs == Entry.StartedUnixMs;
    if (!Same)
      K.EarlierSince = Now;
    K.Earlier = Entry;
    Changing.insert(Entry.Id);
    return IncarnationOrder::Outdated;
  }
  bool Later = !New && HasStart && K.StartedUnixMs != 0 &&
               Entry.StartedUnixMs > K.StartedUnixMs;
  if (HasStart)
    K.StartedUnixMs = Entry.StartedUnixMs;
  K.RemovedAt = Instant::max();
  K.Earlier.reset();
  Changing.erase(Entry.Id);
  return Later ? IncarnationOrder::Restarted : IncarnationOrder::Current;
}

void IncarnationTable::removed(const UpstreamId &Id, Instant Now) {
  auto At = ById.find(Id);
  if (At == ById.end())
    return;
  KnownIncarnation &K = At->second;
  K.Earlier.reset();
  if (K.RemovedAt == Instant::max())
    K.RemovedAt = Now;
  Changing.insert(Id);
}

std::vector<ReplicaEntry> IncarnationTable::takeConfirmed(Instant Now) {
  std::vector<ReplicaEntry> Confirmed;
  std::erase_if(Changing, [&](const UpstreamId &Id) {
    KnownIncarnation &K = ById.at(Id);
    if (!K.Earlier || Now < K.EarlierSince + EarlierStartConfirmation)
      return false;
    K.StartedUnixMs = K.Earlier->StartedUnixMs;
    K.RemovedAt = Instant::max();
    Confirmed.push_back(*std::exchange(K.Earlier, std::nullopt));
    return true;
  });
  return Confirmed;
}

void IncarnationTable::forget(Instant Now) {
  std::erase_if(Changing, [&](const UpstreamId &Id) {
    const KnownIncarnation &K = ById.at(Id);
    bool Ended = !K.Earlier && K.RemovedAt != Instant::max() &&
                 Now >= K.RemovedAt + IncarnationRetention;
    if (Ended)
      ById.erase(Id);
    return Ended;
  });
}

} // namespace shallot
