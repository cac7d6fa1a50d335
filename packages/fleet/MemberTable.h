//===- MemberTable.h - Facts about members ----------------------*- C++ -*-===//
//
// Inside of package fleet: what a daemon holds of every member, the rules by
// which a newer fact replaces an older one, and the picture and digests made
// of them. Merging is independent of order and repetition, but for suspicion,
// which every daemon times for itself.
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

/// The most accusers counted for one suspect; more would not shorten the wait.
inline constexpr std::size_t MaxAccusers = 4;

struct MemberRecord {
  MemberUpdate Fact;
  /// The host list says "leaving" of this run.
  bool ListedLeaving = false;
  std::vector<HostId> Accusers; ///< Empty unless Suspect.
  Instant SuspectedAt;
  bool Probed = false; ///< We probed this suspect ourselves.
  Instant DeadSince;   ///< When it became Failed or Left.
  /// When it became Alive before our eyes; nothing if it was found so.
  std::optional<Instant> AliveSince;
  Instant HeardAt; ///< Its own last message to this daemon.
  std::uint64_t ConfigGeneration = 0;
  std::uint64_t ConfigHead = 0;
  StoreRevisions Revisions;
  std::uint32_t Digest = 0; ///< Its share in its bucket's digest.
};

/// What everybody sees of a record.
MemberState shownState(const MemberRecord &R);

/// True for a member that may answer: neither Failed nor Left.
bool isLive(const MemberRecord &R);

/// A record before a change, so that the change can be told.
struct RecordBefore {
  bool Known = false;
  std::uint64_t Incarnation = 0;
  MemberState Declared = MemberState::Starting;
  MemberState Shown = MemberState::Starting;
  Health ObservedHealth = Health::Trusted;
};

enum class MergeResult : std::uint8_t {
  Nothing, ///< Old news.
  News,    ///< Worth passing on.
  Doubt,   ///< Somebody holds a member that we trust for Failed: ask it.
  Full,    ///< An unknown member was ignored.
};

using Digests = std::array<std::uint32_t, GossipBuckets>;

class MemberTable {
public:
  MemberTable(const MemberUpdate &Self, Instant Now);

  const FleetView &view() const { return View; }
  const Digests &digests() const { return Digest; }
  const std::map<HostId, MemberRecord> &records() const { return Records; }
  const std::set<HostId> &suspects() const { return Suspects; }
  const std::set<HostId> &tombstones() const { return Dead; }
  /// Live members, this daemon included.
  std::size_t live() const { return Records.size() - Dead.size(); }

  const MemberRecord *find(const HostId &Host) const;
  RecordBefore before(const HostId &Host) const;

  /// Takes in a fact about another member.
  MergeResult merge(const MemberUpdate &U, Instant Now);
  /// Replaces what this daemon says of itself.
  void setSelf(const MemberUpdate &Self, Instant Now);
  /// Shows this daemon as Failed in its own picture, or no longer.
  void showSelfFailed(const HostId &Self, bool Failed);
  void setListedLeaving(const HostId &Host, bool Leaving);
  void heard(const GossipMessage &M, Instant Now);
  void setProbed(const HostId &Host) { Records.at(Host).Probed = true; }
  /// A suspect that did not refute in time.
  void setFailed(const HostId &Host, const HostId &Accuser, Instant Now);
  /// Moves the start of every suspicion by a time that we did not live.
  void delaySuspicions(Duration By);
  void forget(const HostId &Host);

private:
  MergeResult insert(const MemberUpdate &U, Instant Now);
  MergeResult takeNewer(MemberRecord &R, const MemberUpdate &U, Instant Now);
  MergeResult accuse(MemberRecord &R, const MemberUpdate &U, Instant Now);
  /// Brings picture, digests and sets in line with a changed record.
  void commit(MemberRecord &R, const DaemonId &OldId, Instant Now);
  void show(const MemberRecord &R, const DaemonId &OldId);
  void addToDigest(MemberRecord &R);

  std::map<HostId, MemberRecord> Records;
  std::set<HostId> Suspects;
  std::set<HostId> Dead;
  std::optional<HostId> SelfShownFailed;
  Digests Digest{};
  FleetView View;
};

/// The part of the table that \p Host belongs to.
std::size_t bucketOf(const HostId &Host);

} // namespace shallot::internal

#endif // SHALLOTSHIFT_FLEET_MEMBERTABLE_H
