//===- Quarantine.cpp -----------------------------------------------------===//
#include "quarantine/Quarantine.h"

#include <algorithm>

namespace shallot {

QuarantineRecord Quarantine::known(const Entry &E) {
  return E.Shared && !E.Clear ? merged(E.Shared->Record, E.Own) : E.Own;
}

bool Quarantine::needsWrite(const Entry &E) {
  if (E.Clear)
    return E.Shared.has_value();
  if (E.Shared && (E.GiveBack || E.RenewAt != 0))
    return true;
  if (!E.Share)
    return false;
  if (!E.Shared)
    return E.Own.quarantineState() != QuarantineState::Clear;
  // Neither the time nor other names of as many processes are worth a write.
  QuarantineRecord All = known(E);
  const QuarantineRecord &There = E.Shared->Record;
  return All.Crashed.size() > There.Crashed.size() ||
         All.Proven != There.Proven;
}

/// What the store should have in place of Shared.
QuarantineRecord Quarantine::wanted(const Entry &E) {
  QuarantineRecord R = known(E);
  if (E.GiveBack && R.Trials > 0)
    --R.Trials;
  if (E.RenewAt != 0) {
    R.Trials = 0;
    R.SeenAt = E.RenewAt;
  }
  return R;
}

/// Brings Unwritten up to date with an entry that has changed, and forgets one
/// that says nothing.
void Quarantine::settle(Table::iterator At) {
  const Entry &E = At->second;
  if (needsWrite(E))
    Unwritten.insert(At->first);
  else
    Unwritten.erase(At->first);
  if (!E.Shared && E.Writes == 0 &&
      E.Own.quarantineState() == QuarantineState::Clear)
    Entries.erase(At);
}

QuarantineState Quarantine::quarantineState(const RequestFingerprint &R) const {
  auto At = Entries.find(R);
  return At == Entries.end() ? QuarantineState::Clear
                             : known(At->second).quarantineState();
}

unsigned Quarantine::crashesOf(const RequestFingerprint &R) const {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return 0;
  return static_cast<unsigned>(known(At->second).Crashed.size());
}

void Quarantine::crashed(const QuarantineRecord &Seen) {
  auto At = Entries.find(Seen.Request);
  if (At == Entries.end()) {
    if (Entries.size() >= MaxEntries)
      return;
    At = Entries.emplace(Seen.Request, Entry{Seen}).first;
  } else {
    At->second.Own = merged(Seen, At->second.Own);
  }
  settle(At);
}

void Quarantine::share(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return;
  At->second.Share = true;
  settle(At);
}

void Quarantine::trialCrashed(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return;
  At->second.Own.Proven = true;
  At->second.Share = true;
  settle(At);
}

void Quarantine::trialUnused(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end() || !At->second.Shared)
    return;
  At->second.GiveBack = true;
  settle(At);
}

bool Quarantine::succeeded(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return false;
  Entry &E = At->second;
  E.Own = QuarantineRecord{R};
  E.Share = false;
  E.Clear = E.Shared || E.Writes > 0;
  settle(At);
  return true;
}

void Quarantine::writeStarted(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return;
  ++At->second.Writes;
  At->second.GiveBack = false;
  settle(At);
}

void Quarantine::writeEnded(const RequestFingerprint &R) {
  auto At = Entries.find(R);
  if (At == Entries.end() || At->second.Writes == 0)
    return;
  --At->second.Writes;
  settle(At);
}

void Quarantine::replaceAll(const std::vector<SharedRecord> &Now,
                            std::uint64_t Revision) {
  std::set<RequestFingerprint> Kept;
  for (const SharedRecord &S : Now)
    Kept.insert(S.Record.Request);
  for (auto At = Entries.begin(); At != Entries.end();) {
    auto Next = std::next(At);
    if (!Kept.contains(At->first))
      remove(At->first, Revision);
    At = Next;
  }
  for (const SharedRecord &S : Now)
    put(S);
}

void Quarantine::put(SharedRecord Now) {
  auto [At, New] = Entries.try_emplace(
      Now.Record.Request, Entry{QuarantineRecord{Now.Record.Request}});
  Entry &E = At->second;
  if (E.Shared && Now.Revision <= E.Shared->Revision)
    return;
  SharedCount += !E.Shared;
  E.Shared = std::move(Now);
  E.RenewAt = 0; // By whoever wrote it, or not called for any more.
  settle(At);
}

void Quarantine::remove(const RequestFingerprint &R, std::uint64_t Revision) {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return;
  Entry &E = At->second;
  if (!E.Shared || Revision < E.Shared->Revision)
    return;
  --SharedCount;
  E.Shared.reset();
  E.Own = QuarantineRecord{At->first};
  E.Share = E.Clear = E.GiveBack = false;
  E.RenewAt = 0;
  settle(At);
}

/// The record that gives way to another one: short of a proof before proven,
/// then the oldest.
std::optional<QuarantineWrite> Quarantine::makeRoom() const {
  const SharedRecord *Least = nullptr;
  auto Before = [](const QuarantineRecord &A, const QuarantineRecord &B) {
    return std::pair(A.Proven, A.SeenAt) < std::pair(B.Proven, B.SeenAt);
  };
  for (const auto &[Request, E] : Entries)
    if (E.Shared && (!Least || Before(E.Shared->Record, Least->Record)))
      Least = &*E.Shared;
  if (!Least)
    return std::nullopt;
  return QuarantineWrite{Least->Record, Least->Revision, true};
}

std::optional<QuarantineWrite> Quarantine::nextWrite() const {
  if (Unwritten.empty())
    return std::nullopt;
  const Entry &E = Entries.at(*Unwritten.begin());
  if (E.Clear)
    return QuarantineWrite{E.Shared->Record, E.Shared->Revision, true};
  if (!E.Shared && SharedCount >= MaxSharedRecords)
    return makeRoom();
  return QuarantineWrite{wanted(E), E.Shared ? E.Shared->Revision : 0};
}

std::optional<QuarantineWrite>
Quarantine::trialWrite(const RequestFingerprint &R) const {
  auto At = Entries.find(R);
  if (At == Entries.end())
    return std::nullopt;
  const Entry &E = At->second;
  QuarantineRecord Next = known(E);
  if (E.Clear || Next.quarantineState() != QuarantineState::OnTrial)
    return std::nullopt;
  ++Next.Trials;
  return QuarantineWrite{std::move(Next), E.Shared ? E.Shared->Revision : 0};
}

/// Nothing was heard of \p E for EvidenceLifetimeMs.
void Quarantine::outdated(Entry &E, WallTime Now, bool Writes) {
  if (!E.Shared) {
    E.Own = QuarantineRecord{E.Own.Request};
    return;
  }
  if (!Writes)
    return;
  QuarantineRecord Known = known(E);
  if (Known.quarantineState() == QuarantineState::Suspect)
    E.Clear = true;
  else if (Known.quarantineState() == QuarantineState::Quarantined &&
           !Known.Proven)
    E.RenewAt = Now;
}

void Quarantine::expire(WallTime Now, bool Writes) {
  for (auto At = Entries.begin(); At != Entries.end();) {
    auto Next = std::next(At);
    Entry &E = At->second;
    WallTime SeenAt =
        std::max(E.Own.SeenAt, E.Shared ? E.Shared->Record.SeenAt : 0);
    if (SeenAt + EvidenceLifetimeMs < Now) {
      outdated(E, Now, Writes);
      settle(At);
    }
    At = Next;
  }
}

std::size_t Quarantine::count(QuarantineState S) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Entries, [S](const auto &Item) {
        return known(Item.second).quarantineState() == S;
      }));
}

} // namespace shallot
