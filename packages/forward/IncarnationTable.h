//===- IncarnationTable.h - Incarnations of replicas ------------*- C++ -*-===//
//
// A replica may restart under the same id, with empty state. Its registration
// holds its start time; id and start time identify an incarnation. This table
// determines which incarnation a registration belongs to:
//
//   Current    the known incarnation, or the first one of this id
//   Restarted  a later one: observations of the previous one no longer apply
//   Outdated   an earlier one. A registration that the old process sent before
//              it ended may reach the store after the new one's, and a list may
//              arrive late. It is ignored.
//
// A registration without a start time belongs to the known incarnation.
//
// If a host's clock is set back between two starts, the new incarnation looks
// earlier than the old one. The registration of a process that has ended is
// overwritten by the next heartbeat of the live one, or lapses. One that stands
// for EarlierStartConfirmation is therefore the live one's (takeConfirmed()).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_INCARNATIONTABLE_H
#define SHALLOTSHIFT_FORWARD_INCARNATIONTABLE_H

#include "forward/Replica.h"

#include <unordered_map>
#include <unordered_set>

namespace shallot {

enum class IncarnationOrder : std::uint8_t { Current, Restarted, Outdated };

/// How long a registration with an earlier start time must stand unchallenged
/// to be accepted. More than the three heartbeat intervals of 1.2 s after which
/// the registration of a silent replica lapses.
inline constexpr Duration EarlierStartConfirmation = Seconds(5);
/// How long the incarnation of a removed replica is kept. Calls to the store
/// that got no reply may take effect seconds later; a minute is ten times that.
inline constexpr Duration IncarnationRetention = Seconds(60);

class IncarnationTable {
public:
  /// Determines which incarnation \p Entry belongs to, and records it.
  IncarnationOrder observe(const ReplicaEntry &Entry, Instant Now);
  /// The registration of \p Id was removed.
  void removed(const UpstreamId &Id, Instant Now);
  /// Returns and accepts registrations whose earlier start time has stood for
  /// EarlierStartConfirmation.
  std::vector<ReplicaEntry> takeConfirmed(Instant Now);
  /// Drops incarnations that were removed more than IncarnationRetention ago.
  void forget(Instant Now);

  std::size_t size() const { return ById.size(); }

private:
  struct KnownIncarnation {
    std::uint64_t StartedUnixMs = 0;
    Instant RemovedAt = Instant::max();
    /// The last registration with an earlier start time, not accepted yet.
    std::optional<ReplicaEntry> Earlier;
    Instant EarlierSince{};
  };

  std::unordered_map<UpstreamId, KnownIncarnation> ById;
  /// Replicas of ById that were removed or have an earlier start time; only
  /// they change as time passes.
  std::unordered_set<UpstreamId> Changing;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_INCARNATIONTABLE_H
