//===- HolderChoice.h - Which holder of an upstream is asked ----*- C++ -*-===//
//
// Several daemons may hold slots of one upstream. The one whose queue is
// shortest is asked: for our own queue we know that exactly, for a peer's we
// know what its last reply said, and what we have sent there since. Our own
// slot wins a tie, because a relay costs a hop; then a peer in our zone.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_HOLDERCHOICE_H
#define SHALLOTSHIFT_DAEMON_HOLDERCHOICE_H

#include "shallotshift/limits.h"

#include <optional>
#include <tuple>
#include <unordered_map>

namespace shallot {

/// What a peer last said of its queue is forgotten after this: a queue of a
/// few requests of some milliseconds has another length by then.
inline constexpr Duration QueueReportAge = Millis(100);
/// A peer that said it has no slot, or that could not be reached, is not asked
/// again for so long unless no other is left. It may have gained the slot a
/// moment ago, when its slots still rest (HandoverGuard), or its picture of the
/// fleet differs from ours; both pass within seconds.
inline constexpr Duration RefusalAge = Millis(500);

class HolderChoice {
public:
  /// Our own queue for the upstream, when slots of it may be used here.
  struct Own {
    unsigned Slots = 0;
    unsigned Waiting = 0;
    unsigned InWork = 0;
  };

  /// What is asked for, and what is known of ourselves.
  struct Wish {
    const UpstreamId &Id;
    std::span<const Holder> Holders;
    const DaemonId &Self;
    Own Mine;
    const AvailabilityZone &Near;
    /// Holders that were asked for this sub-request already.
    std::span<const DaemonId> Tried;
  };

  /// The holder to ask; null when none is left.
  const Holder *choose(const Wish &W, Instant Now) const;

  void onRelayed(const UpstreamId &Id, const DaemonId &To);
  /// A relay ended; \p Queue is what the holder said, if it said anything.
  void onRelayEnded(const UpstreamId &Id, const DaemonId &To,
                    std::optional<unsigned> Queue, Instant Now);
  /// The peer has no slot that it may use, or could not be reached.
  void onRefused(const UpstreamId &Id, const DaemonId &To, Instant Now);

private:
  struct Seen {
    unsigned Outstanding = 0;
    unsigned Queue = 0;
    Instant At;
    Instant RefusedUntil;
  };
  using Rank = std::tuple<bool, double, int>; ///< The lowest is asked.
  using Key = std::pair<UpstreamId, DaemonId>;
  struct KeyHash {
    std::size_t operator()(const Key &K) const noexcept {
      return std::hash<UpstreamId>()(K.first) * 31 +
             std::hash<DaemonId>()(K.second);
    }
  };

  Rank rankOf(const Wish &W, const Holder &H, Instant Now) const;

  std::unordered_map<Key, Seen, KeyHash> Peers;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_HOLDERCHOICE_H
