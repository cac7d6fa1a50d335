#include "fleet/MemberTable.h"

#include "fleet/Membership.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot::internal {
namespace {

bool isOlder(const MemberUpdate &A, const MemberUpdate &B) {
  return std::pair(A.Who.Id.Incarnation, A.Version) <
         std::pair(B.Who.Id.Incarnation, B.Version);
}

void clearSuspicion(MemberRecord &R) {
  R.Update.ObservedHealth = Health::Trusted;
  R.Update.Accuser = HostId();
  R.Accusers.clear();
}

std::uint32_t digestOf(const MemberUpdate &U) {
  std::string Text = fmt::format("{} {} {}", U.Who.Id.str(), U.Version,
                                 static_cast<int>(U.Who.State));
  return static_cast<std::uint32_t>(hash64(Text));
}

bool idBefore(const Member &M, const DaemonId &Id) { return M.Id < Id; }

} // namespace

MemberState visibleState(const MemberRecord &R) {
  MemberState Announced = R.Update.Who.State;
  if (Announced == MemberState::Left)
    return MemberState::Left;
  if (R.Update.ObservedHealth == Health::Failed)
    return MemberState::Failed;
  if (Announced == MemberState::Leaving || R.ListedLeaving)
    return MemberState::Leaving;
  if (Announced == MemberState::Alive &&
      R.Update.ObservedHealth == Health::Suspect)
    return MemberState::Suspect;
  return Announced;
}

bool isLive(const MemberRecord &R) {
  MemberState S = visibleState(R);
  return S != MemberState::Failed && S != MemberState::Left;
}

std::size_t bucketOf(const HostId &Host) {
  return hash64(Host.str()) % GossipBuckets;
}

MemberTable::MemberTable(const MemberUpdate &Self, Instant Now) {
  setSelf(Self, Now);
}

const MemberRecord *MemberTable::find(const HostId &Host) const {
  auto It = Records.find(Host);
  return It == Records.end() ? nullptr : &It->second;
}

RecordSummary MemberTable::before(const HostId &Host) const {
  const MemberRecord *R = find(Host);
  if (!R)
    return {};
  return {true, R->Update.Who.Id.Incarnation, R->Update.Who.State,
          visibleState(*R), R->Update.ObservedHealth};
}

MergeResult MemberTable::merge(const MemberUpdate &U, Instant Now) {
  auto It = Records.find(U.Who.Id.Host);
  if (It == Records.end())
    return insert(U, Now);
  MemberRecord &R = It->second;
  if (isOlder(U, R.Update))
    return MergeResult::Ignored;
  DaemonId OldId = R.Update.Who.Id;
  if (isOlder(R.Update, U)) {
    MergeResult Merged = applyNewer(R, U, Now);
    commit(R, OldId, Now);
    return Merged;
  }
  if (U.ObservedHealth == Health::Trusted)
    return MergeResult::Ignored;
  MergeResult Merged = addAccusation(R, U, Now);
  if (Merged == MergeResult::Updated)
    commit(R, OldId, Now);
  return Merged;
}

MergeResult MemberTable::insert(const MemberUpdate &U, Instant Now) {
  // Tombstones are never learned from others. Otherwise two daemons whose
  // tombstones expire at different times would restore them from each other
  // forever.
  if (U.ObservedHealth == Health::Failed || U.Who.State == MemberState::Left)
    return MergeResult::Ignored;
  if (Records.size() >= MaxMembers)
    return MergeResult::AtCapacity;
  MemberRecord &R = Records[U.Who.Id.Host];
  R.Update = U;
  R.HeardAt = Now;
  clearSuspicion(R);
  if (U.ObservedHealth == Health::Suspect)
    addAccusation(R, U, Now);
  commit(R, U.Who.Id, Now);
  return MergeResult::Updated;
}

MergeResult MemberTable::applyNewer(MemberRecord &R, const MemberUpdate &U,
                                    Instant Now) {
  bool WasFailed = R.Update.ObservedHealth == Health::Failed;
  bool NewRun = R.Update.Who.Id != U.Who.Id;
  bool BecameAlive =
      U.Who.State == MemberState::Alive &&
      (NewRun || WasFailed || R.Update.Who.State != MemberState::Alive);
  R.Update.Who = U.Who;
  R.Update.Version = U.Version;
  if (NewRun)
    R.ListedLeaving = false;
  if (BecameAlive)
    R.AliveSince = Now;
  if (WasFailed && U.ObservedHealth == Health::Failed)
    return MergeResult::Updated;
  clearSuspicion(R);
  if (U.ObservedHealth == Health::Suspect)
    addAccusation(R, U, Now);
  return U.ObservedHealth == Health::Failed ? MergeResult::NeedsProbe
                                            : MergeResult::Updated;
}

/// A trusted member is never marked Failed or Suspect because another daemon
/// considers it Failed; it is only probed. When regions merge after a
/// partition, each side considers the whole other side Failed. Accepting that,
/// or spreading it as a suspicion, would make all members suspects at once, and
/// their refutations would be delayed by the volume of updates. The daemons
/// that consider it Failed inform the accused itself (tickTombstones), which
/// refutes.
MergeResult MemberTable::addAccusation(MemberRecord &R, const MemberUpdate &U,
                                       Instant Now) {
  if (R.Update.ObservedHealth == Health::Failed ||
      R.Update.Who.State == MemberState::Left)
    return MergeResult::Ignored;
  if (R.Update.ObservedHealth == Health::Trusted &&
      U.ObservedHealth == Health::Failed)
    return MergeResult::NeedsProbe;
  if (R.Update.ObservedHealth == Health::Trusted) {
    R.SuspectedAt = Now;
    R.Probed = false;
  }
  const HostId &Accuser = U.Accuser;
  bool Heard = std::ranges::find(R.Accusers, Accuser) != R.Accusers.end();
  if (Heard || R.Accusers.size() >= MaxAccusers)
    return MergeResult::Ignored;
  R.Accusers.push_back(Accuser);
  R.Update.ObservedHealth = Health::Suspect;
  R.Update.Accuser = Accuser;
  return MergeResult::Updated;
}

void MemberTable::setSelf(const MemberUpdate &Self, Instant Now) {
  MemberRecord &R = Records[Self.Who.Id.Host];
  bool WasAlive = R.Update.Who.State == MemberState::Alive;
  if (!WasAlive && Self.Who.State == MemberState::Alive)
    R.AliveSince = Now;
  R.Update = Self;
  commit(R, Self.Who.Id, Now);
}

void MemberTable::showSelfFailed(const HostId &Self, bool Failed) {
  SelfShownFailed = Failed ? std::optional(Self) : std::nullopt;
  const MemberRecord &R = Records.at(Self);
  updateView(R, R.Update.Who.Id);
}

void MemberTable::setListedLeaving(const HostId &Host, bool Leaving) {
  auto It = Records.find(Host);
  if (It == Records.end() || It->second.ListedLeaving == Leaving)
    return;
  It->second.ListedLeaving = Leaving;
  updateView(It->second, It->second.Update.Who.Id);
}

void MemberTable::recordContact(const GossipMessage &M, Instant Now) {
  auto It = Records.find(M.Sender.Who.Id.Host);
  if (It == Records.end() || It->second.Update.Who.Id != M.Sender.Who.Id)
    return;
  MemberRecord &R = It->second;
  R.HeardAt = Now;
  // Datagrams may be reordered; the generation of a member never decreases.
  if (M.ConfigGeneration < R.ConfigGeneration)
    return;
  R.ConfigGeneration = M.ConfigGeneration;
  R.ConfigHead = M.ConfigHead;
  R.Revisions = M.Revisions;
}

void MemberTable::setFailed(const HostId &Host, const HostId &Accuser,
                            Instant Now) {
  MemberRecord &R = Records.at(Host);
  R.Update.ObservedHealth = Health::Failed;
  R.Update.Accuser = Accuser;
  commit(R, R.Update.Who.Id, Now);
}

void MemberTable::delaySuspicions(Duration By) {
  for (const HostId &Host : Suspects)
    Records.at(Host).SuspectedAt += By;
}

void MemberTable::forget(const HostId &Host) {
  auto It = Records.find(Host);
  DaemonId Id = It->second.Update.Who.Id;
  auto Visible = std::ranges::lower_bound(View.Members, Id, {}, &Member::Id);
  View.Members.erase(Visible);
  ++View.Number;
  Tombstones.erase(Host);
  Records.erase(It);
}

void MemberTable::commit(MemberRecord &R, const DaemonId &OldId, Instant Now) {
  const HostId &Host = R.Update.Who.Id.Host;
  if (R.Update.ObservedHealth == Health::Suspect)
    Suspects.insert(Host);
  else
    Suspects.erase(Host);
  if (isLive(R))
    Tombstones.erase(Host);
  else if (Tombstones.insert(Host).second)
    R.DeadSince = Now;
  if (OldId != R.Update.Who.Id)
    R.ConfigGeneration = R.ConfigHead = 0;
  R.Revisions = {};
  addToDigest(R);
  updateView(R, OldId);
}

/// Tombstones and suspicions are excluded: they expire and arrive at different
/// times on different daemons, so every comparison would find differences.
void MemberTable::addToDigest(MemberRecord &R) {
  std::uint32_t &Bucket = Digest[bucketOf(R.Update.Who.Id.Host)];
  Bucket ^= R.Digest;
  R.Digest = isLive(R) ? digestOf(R.Update) : 0;
  Bucket ^= R.Digest;
}

void MemberTable::updateView(const MemberRecord &R, const DaemonId &OldId) {
  Member Now = R.Update.Who;
  Now.State =
      SelfShownFailed == Now.Id.Host ? MemberState::Failed : visibleState(R);
  auto Old = std::lower_bound(View.Members.begin(), View.Members.end(), OldId,
                              idBefore);
  bool Found = Old != View.Members.end() && Old->Id == OldId;
  if (Found && *Old == Now)
    return;
  ++View.Number;
  if (Found && OldId == Now.Id) {
    *Old = std::move(Now);
    return;
  }
  if (Found)
    View.Members.erase(Old);
  auto New = std::lower_bound(View.Members.begin(), View.Members.end(), Now.Id,
                              idBefore);
  View.Members.insert(New, std::move(Now));
}

} // namespace shallot::internal
