#include "action/ActionMemory.h"

namespace shallot {

std::string identityOf(const Tenant &Owner, const std::string &Key) {
  std::string Id = Owner.str();
  Id += '\0';
  Id += Key;
  return Id;
}

bool mayBeForgotten(WallTime Expiry, WallTime Now) {
  return Now > Expiry + toMillis(KeyRetention);
}

bool tooFarAhead(WallTime Expiry, WallTime Now) {
  return Expiry > Now + toMillis(MaxKeyValidity + MaxClockSkew);
}

ActionOutcome keepable(ActionOutcome O, std::size_t KeptBytes) {
  if (O.Body.size() <= MaxKeptReplyBytes &&
      KeptBytes + O.Body.size() <= MaxKeptBytes)
    return O;
  O.Body.clear();
  O.BodyDropped = true;
  return O;
}

void ActionMemory::settle(const std::string &Identity, ActionOutcome O,
                          WallTime Until) {
  Remembered *R = Table.find(Identity);
  if (!R)
    return;
  KeptBytes -= R->Outcome.Body.size();
  R->What = Remembered::Kind::Final;
  R->Outcome = keepable(std::move(O), KeptBytes);
  KeptBytes += R->Outcome.Body.size();
  Table.keepUntil(Identity, Until);
}

void ActionMemory::settleNotRun(const std::string &Identity, WallTime Until) {
  Remembered *R = Table.find(Identity);
  if (!R)
    return;
  R->What = Remembered::Kind::NotRun;
  Table.keepUntil(Identity, Until);
}

void ActionMemory::remove(const std::string &Identity) {
  if (Remembered *R = Table.find(Identity))
    KeptBytes -= R->Outcome.Body.size();
  Table.remove(Identity);
}

void ActionMemory::forget(WallTime Now) {
  Table.forget(Now, [this](const Remembered &R) {
    if (R.What == Remembered::Kind::Running)
      return false;
    KeptBytes -= R.Outcome.Body.size();
    return true;
  });
}

// The witness may forget an entry only when mayBeForgotten() says so. From then
// on it grants no intent (the key has expired) and answers no fence with
// "not run". So a forgotten fence can never be followed by a run, and a
// forgotten intent never by a false "not run", whatever other clocks say.

IntentAnswer WitnessMemory::onIntent(const RecordIntent &M, WallTime Now) {
  if (Now >= M.Expiry)
    return IntentAnswer::Fenced;
  std::string Identity = identityOf(M.Owner, M.Key);
  if (const Entry *Known = Table.find(Identity))
    return Known->What == Entry::Kind::Fenced ? IntentAnswer::Fenced
                                              : IntentAnswer::Granted;
  if (tooFarAhead(M.Expiry, Now))
    return IntentAnswer::Full;
  Entry *E = Table.add(Identity, M.Expiry + toMillis(KeyRetention));
  if (!E)
    return IntentAnswer::Full;
  E->Digest = M.Digest;
  return IntentAnswer::Granted;
}

void WitnessMemory::onOutcome(const RecordOutcome &M, WallTime) {
  Entry *E = Table.find(identityOf(M.Owner, M.Key));
  // No entry: forgotten by time, and so is the use of the outcome. Fenced
  // cannot be, since nothing runs without a granted intent.
  if (!E || E->What != Entry::Kind::Intent)
    return;
  E->What = Entry::Kind::Outcome;
  E->Outcome = keepable(M.Outcome, KeptBytes);
  KeptBytes += E->Outcome.Body.size();
}

FenceAnswer WitnessMemory::onFence(const FenceKey &M, WallTime Now) {
  using Kind = FenceAnswer::Kind;
  std::string Identity = identityOf(M.Owner, M.Key);
  const Entry *Known = Table.find(Identity);
  if (!Known) {
    if (mayBeForgotten(M.Expiry, Now) || tooFarAhead(M.Expiry, Now))
      return {Kind::NotKnown, {}};
    Entry *E = Table.add(Identity, M.Expiry + toMillis(KeyRetention));
    if (!E)
      return {Kind::NotKnown, {}};
    // The minter may only be paused. Its intent would come later and be
    // granted, and the caller that was told "not run" would have been lied to.
    E->What = Entry::Kind::Fenced;
    return {Kind::NotRun, {}};
  }
  if (Known->What == Entry::Kind::Fenced)
    return {Kind::NotRun, {}};
  if (!M.Digest.empty() && M.Digest != Known->Digest)
    return {Kind::OtherBody, {}};
  if (Known->What == Entry::Kind::Outcome)
    return {Kind::Outcome, Known->Outcome};
  return {Kind::IntentSeen, {}};
}

void WitnessMemory::forget(WallTime Now) {
  Table.forget(Now, [this](const Entry &E) {
    KeptBytes -= E.Outcome.Body.size();
    return true;
  });
}

} // namespace shallot
