//===- MemberTable.h - Table of members -------------------------*- C++ -*-===//
//
// Internal to package fleet: the records that a daemon keeps of all members,
// the rules by which an update replaces an older one, and the view and digests
// derived from them. Merging is commutative and idempotent except for
// suspicions, which every daemon times itself.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_MEMBERTABLE_H
#define SHALLOTSHIFT_FLEET_MEMBERTABLE_H

#include "fleet/GossipMessage.h"
#include "shallotshift/base.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace shallot::internal {

/// The most accusers counted per suspect; more do not shorten the timeout.
inline constexpr std::size_t MaxAccusers = 4;

struct MemberRecord {
  MemberUpdate Update;
  /// The host list marks this incarnation as leaving.
  bool ListedLeaving = false;
  std::vector<HostId> Accusers; ///< Empty while Trusted.
  Instant SuspectedAt;
  bool Probed = false; ///< This daemon has probed the suspect itself.
  Instant DeadSince;   ///< When it became Failed or Left.
  /// When this daemon saw it become Alive; empty if it was found Alive.
  std::optional<Instant> AliveSince;
  /// When its last message reached this daemon; before the first one, when this
  /// daemon learned of the member.
  Instant HeardAt;
  std::uint64_t ConfigGeneration = 0;
  std::uint64_t ConfigHead = 0;
  StoreRevisions Revisions;
  std::uint32_t Digest = 0; ///< Its contribution to its bucket's digest.
};

/// The state of a member as shown in the view.
MemberState visibleState(const MemberRecord &R);

/// Returns true unless the member is Failed or Left.
bool isLive(const MemberRecord &R);

/// A summary of a record before a change, to derive events from.
struct RecordSummary {
  bool Known = false;
  std::uint64_t Incarnation = 0;
  MemberState Announced = MemberState::Starting;
  MemberState Visible = MemberState::Starting;
  Health ObservedHealth = Health::Trusted;
};

enum class MergeResult : std::uint8_t {
  Ignored,    ///< Not newer than the record.
  Updated,    ///< Changed the record; broadcast it.
  NeedsProbe, ///< Another daemon considers Failed a member that we trust.
  AtCapacity, ///< An unknown member was ignored.
};

using Digests = std::array<std::uint32_t, GossipBuckets>;

class MemberTable {
public:
  MemberTable(const MemberUpdate &Self, Instant Now);

  const FleetView &view() const { return View; }
  const Digests &digests() const { return Digest; }
  const std::map<HostId, MemberRecord> &records() const { return Records; }
  const std::set<HostId> &suspects() const { return Suspects; }
  const std::set<HostId> &tombstones() const { return Tombstones; }
  /// Number of live members, including this daemon.
  std::size_t live() const { return Records.size() - Tombstones.size(); }

  const MemberRecord *find(const HostId &Host) const;
  RecordSummary before(const HostId &Host) const;

  /// Merges an update about another member.
  MergeResult merge(const MemberUpdate &U, Instant Now);
  /// Replaces the update about this daemon.
  void setSelf(const MemberUpdate &Self, Instant Now);
  /// Sets whether the view shows this daemon as Failed.
  void showSelfFailed(const HostId &Self, bool Failed);
  void setListedLeaving(const HostId &Host, bool Leaving);
  void recordContact(const GossipMessage &M, Instant Now);
  void setProbed(const HostId &Host) { Records.at(Host).Probed = true; }
  /// Marks a suspect that did not refute in time as Failed.
  void setFailed(const HostId &Host, const HostId &Accuser, Instant Now);
  /// Delays all suspicion timeouts by the length of a pause.
  void delaySuspicions(Duration By);
  void forget(const HostId &Host);

private:
  MergeResult insert(const MemberUpdate &U, Instant Now);
  MergeResult applyNewer(MemberRecord &R, const MemberUpdate &U, Instant Now);
  MergeResult addAccusation(MemberRecord &R, const MemberUpdate &U,
                            Instant Now);
  /// Updates view, digests and indices after a change of \p R.
  void commit(MemberRecord &R, const DaemonId &OldId, Instant Now);
  void updateView(const MemberRecord &R, const DaemonId &OldId);
  void addToDigest(MemberRecord &R);

  std::map<HostId, MemberRecord> Records;
  std::set<HostId> Suspects;
  std::set<HostId> Tombstones;
  std::optional<HostId> SelfShownFailed;
  Digests Digest{};
  FleetView View;
};

/// The bucket of the table that \p Host belongs to.
std::size_t bucketOf(const HostId &Host);

} // namespace shallot::internal

#endif // SHALLOTSHIFT_FLEET_MEMBERTABLE_H
