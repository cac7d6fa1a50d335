//===- Quarantine.cpp -----------------------------------------------------===//
#include "quarantine/Quarantine.h"

#include <algorithm>
#include <utility>

namespace shallot {

QuarantineRecord Quarantine::combined(const Entry &E) {
  return E.Shared && !E.Clear ? merged(E.Shared->Record, E.Own) : E.Own;
}

bool Quarantine::needsWrite(const Entry &E) const {
  bool Restores = E.Restored && this->Restores;
  if (E.Clear)
    return E.Shared && (!E.Restored || Restores);
  if (E.Shared && (E.ReturnTrial || E.RenewAt != 0))
    return true;
  if (!E.Share && !Restores)
    return false;
  if (!E.Shared)
    return E.Own.quarantineState() != QuarantineState::Clear;
  // A later time or different names of equally many processes cause no write.
  QuarantineRecord All = combined(E);
  const QuarantineRecord &Stored = E.Shared->Record;
  return All.Crashed.size() > Stored.Crashed.size() ||
         All.Trials > Stored.Trials || All.Proven != Stored.Proven;
}

/// The record that should replace Shared in the store.
QuarantineRecord Quarantine::recordToWrite(const Entry &E) {
  QuarantineRecord R = combined(E);
  if (E.ReturnTrial && R.Trials > 0)
    --R.Trials;
  if (E.RenewAt != 0) {
    R.Trials = 0;
    R.SeenAt = E.RenewAt;
  }
  return R;
}

/// Updates PendingWrites after a change of an entry and erases the entry if it
/// holds no evidence.
void Quarantine::refreshEntry(Table::iterator At) {
  const Entry &E = At->second;
  if (needsWrite(E))
    PendingWrites.insert(At->first);
  else
    PendingWrites.erase(At->first);
  if (!E.Shared && E.Writes == 0 &&
      E.Own.quarantineState() == QuarantineState::Clear)
    Entries.erase(At);
}

QuarantineState Quarantine::quarantineState(const RequestFingerprint &R) const {
  auto At = Entries.find(R);
  return At == Entries.end() ? QuarantineState::Clear
                             : combined(At->second).quarantineState();
}

unsigned Quarantine::crashesOf(const RequestFingerprint &R) const {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return 0;
  return static_cast<unsigned>(combined(At->second).Crashed.size());
}

void Quarantine::crashed(const QuarantineRecord &Seen) {
  auto At = Entries.find(Seen.Request);
  if (At == Entries.end()) {
    if (Entries.size() >= MaxQuarantineEntries)
      return;
    At = Entries.emplace(Seen.Request, Entry{Seen}).first;
  } else {
    At->second.Own = merged(Seen, At->second.Own);
  }
  refreshEntry(At);
}

void Quarantine::share(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return;
  At->second.Share = true;
  refreshEntry(At);
}

void Quarantine::trialCrashed(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return;
  At->second.Own.Proven = true;
  At->second.Share = true;
  refreshEntry(At);
}

void Quarantine::trialUnused(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end() || !At->second.Shared)
    return;
  At->second.ReturnTrial = true;
  refreshEntry(At);
}

bool Quarantine::succeeded(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return false;
  Entry &E = At->second;
  E.Own = QuarantineRecord{R};
  E.Share = false;
  E.Clear = E.Shared || E.Writes > 0;
  refreshEntry(At);
  return true;
}

void Quarantine::writeStarted(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return;
  ++At->second.Writes;
  At->second.ReturnTrial = false;
  refreshEntry(At);
}

void Quarantine::writeEnded(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end() || At->second.Writes == 0)
    return;
  --At->second.Writes;
  refreshEntry(At);
}

void Quarantine::replaceAll(const std::vector<SharedRecord> &Now,
                            StoreRevision Revision) {
  std::set<RequestFingerprint> Kept;
  for (const SharedRecord &S : Now)
    Kept.insert(S.Record.Request);
  for (auto At = Entries.begin(); At != Entries.end();) {
    auto Next = std::next(At);
    const std::optional<SharedRecord> &Known = At->second.Shared;
    if (Known && !Kept.contains(At->first)) {
      if (Known->Revision.Epoch < Revision.Epoch)
        keepLost(At);
      else
        remove(At->first, Revision);
    }
    At = Next;
  }
  for (const SharedRecord &S : Now)
    put(S);
}

void Quarantine::keepLost(Table::iterator At) {
  Entry &E = At->second;
  E.Own = combined(E);
  E.Shared.reset();
  --SharedCount;
  // A write in progress may bring back a record that is void.
  E.Clear = E.Clear && E.Writes > 0;
  E.ReturnTrial = false;
  E.RenewAt = 0;
  E.Restored = true;
  refreshEntry(At);
}

void Quarantine::putRemoved(SharedRecord Now) {
  auto At = Entries.find(Now.Record.Request);
  if (At != Entries.end())
    return put(std::move(Now));
  Entry E{QuarantineRecord{Now.Record.Request}};
  E.Shared = std::move(Now);
  E.Clear = E.Restored = true;
  ++SharedCount;
  At = Entries.emplace(E.Own.Request, std::move(E)).first;
  refreshEntry(At);
}

void Quarantine::setRestores(bool Writes) {
  if (std::exchange(Restores, Writes) == Writes)
    return;
  for (auto At = Entries.begin(); At != Entries.end();) {
    auto Next = std::next(At);
    if (At->second.Restored)
      refreshEntry(At);
    At = Next;
  }
}

void Quarantine::put(SharedRecord Now) {
  auto [At, New] = Entries.try_emplace(
      Now.Record.Request, Entry{QuarantineRecord{Now.Record.Request}});
  Entry &E = At->second;
  if (E.Shared && Now.Revision <= E.Shared->Revision)
    return;
  SharedCount += !E.Shared;
  bool Restored = E.Shared && E.Shared->Revision.Epoch < Now.Revision.Epoch;
  if (E.Clear && E.Restored)
    E.Clear = E.Restored = false; // There is evidence since its removal.
  if (Restored && !E.Clear) {
    E.Own = combined(E);
    E.ReturnTrial = false;
    E.Restored = true;
  }
  E.Shared = std::move(Now);
  E.RenewAt = 0; // Renewed by the writer, or no longer needed.
  refreshEntry(At);
}

void Quarantine::remove(const RequestFingerprint &R, StoreRevision Revision) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return;
  Entry &E = At->second;
  if (!E.Shared || Revision < E.Shared->Revision)
    return;
  --SharedCount;
  E.Shared.reset();
  E.Own = QuarantineRecord{At->first};
  E.Share = E.Clear = E.ReturnTrial = E.Restored = false;
  E.RenewAt = 0;
  refreshEntry(At);
}

/// Evicts a record to make room for another: an unproven one if there is any,
/// and the oldest of these.
std::optional<QuarantineWrite> Quarantine::evictionWrite() const {
  const SharedRecord *Victim = nullptr;
  auto Before = [](const QuarantineRecord &A, const QuarantineRecord &B) {
    return std::pair(A.Proven, A.SeenAt) < std::pair(B.Proven, B.SeenAt);
  };
  for (const auto &[Request, E] : Entries)
    if (E.Shared && (!Victim || Before(E.Shared->Record, Victim->Record)))
      Victim = &*E.Shared;
  if (!Victim)
    return std::nullopt;
  return QuarantineWrite{Victim->Record, Victim->Revision, true};
}

std::optional<QuarantineWrite> Quarantine::nextWrite() const {
  if (PendingWrites.empty())
    return std::nullopt;
  const Entry &E = Entries.at(*PendingWrites.begin());
  if (E.Clear)
    return QuarantineWrite{E.Shared->Record, E.Shared->Revision, true};
  if (!E.Shared && SharedCount >= MaxSharedRecords)
    return evictionWrite();
  return QuarantineWrite{recordToWrite(E),
                         E.Shared ? E.Shared->Revision : StoreRevision()};
}

std::optional<QuarantineWrite>
Quarantine::trialWrite(const RequestFingerprint &R) const {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return std::nullopt;
  const Entry &E = At->second;
  QuarantineRecord Next = combined(E);
  if (E.Clear || Next.quarantineState() != QuarantineState::OnTrial)
    return std::nullopt;
  ++Next.Trials;
  return QuarantineWrite{std::move(Next),
                         E.Shared ? E.Shared->Revision : StoreRevision()};
}

/// Handles \p E after EvidenceLifetimeMs without new evidence.
void Quarantine::expireEntry(Entry &E, WallTime Now, bool Writes) {
  if (!E.Shared) {
    E.Own = QuarantineRecord{E.Own.Request};
    return;
  }
  if (!Writes)
    return;
  QuarantineRecord Known = combined(E);
  if (Known.quarantineState() == QuarantineState::Suspect)
    E.Clear = true;
  else if (Known.quarantineState() == QuarantineState::Quarantined &&
           !Known.Proven)
    E.RenewAt = Now;
}

void Quarantine::expire(WallTime Now, bool Writes) {
  setRestores(Writes);
  for (auto At = Entries.begin(); At != Entries.end();) {
    auto Next = std::next(At);
    Entry &E = At->second;
    WallTime SeenAt =
        std::max(E.Own.SeenAt, E.Shared ? E.Shared->Record.SeenAt : 0);
    if (SeenAt + EvidenceLifetimeMs < Now) {
      expireEntry(E, Now, Writes);
      refreshEntry(At);
    }
    At = Next;
  }
}

std::size_t Quarantine::count(QuarantineState S) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Entries, [S](const auto &Item) {
        return combined(Item.second).quarantineState() == S;
      }));
}

} // namespace shallot
