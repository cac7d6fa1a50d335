//===- SlotAllocation.h - Upstream slots held by each daemon ----*- C++ -*-===//
//
// Slots and connections of an upstream are limits on the whole fleet. Every
// daemon allocates all of them by the same pure function of the configuration
// and its picture of the fleet, so no coordinator is asked and daemons with the
// same picture agree. A daemon that holds a slot sends to the upstream itself;
// any other relays through a holder.
//
// The allocation, service by service:
//   1. With at least as many slots as daemons each daemon gets the same whole
//      number of slots, of upstreams in its own availability zone first.
//   2. Each slot that is left goes to the daemon of highest rendezvous weight
//      that has none of the remainder yet, in the upstream's availability zone
//      if one there is below its load limit, else anywhere. Load limits
//      (LoadHeadroom) keep the fleet balanced over all services.
//
// The weight depends on the host and not on the incarnation, so a restarted
// daemon gets the same slots back. Holders near the upstream fail together with
// it, so a lost zone takes no capacity away from the others.
//
// Two daemons may hold different pictures for a while: HandoverGuard.h.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_SLOTALLOCATION_H
#define SHALLOTSHIFT_LIMITS_SLOTALLOCATION_H

#include "shallotshift/model.h"

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace shallot {

/// How far above the mean a daemon's slots over all services may lie before
/// the remainder goes to the next in weight. Lower is better balanced, but one
/// change of the fleet then moves more slots (docs/design/limits.md).
inline constexpr double LoadHeadroom = 1.25;

/// One daemon's part of an upstream.
struct Share {
  unsigned Slots = 0; ///< Requests at a time.
  /// Slots and one spare, as far as the fair part of the upstream's connections
  /// (Slots / its slots, rounded down) goes.
  unsigned Connections = 0;

  friend bool operator==(const Share &, const Share &) = default;
};

/// A daemon that holds slots of an upstream.
struct Holder {
  const Member *Daemon =
      nullptr; ///< Lives as long as any copy of the allocation.
  unsigned Slots = 0;
  unsigned Connections = 0;
};

class SlotAllocation {
public:
  /// Nobody holds anything.
  SlotAllocation() = default;

  /// Allocates every upstream of \p C to the members of \p V that take new
  /// work. Of two incarnations of one host only the later counts. \p Self need
  /// not be a member; it then holds nothing.
  static SlotAllocation make(const Config &C, const FleetView &V,
                             const DaemonId &Self);

  /// The holders of an upstream; empty when it is unknown or nobody takes new
  /// work. The sum of their Slots is the upstream's Slots, the sum of their
  /// Connections at most its Connections.
  std::span<const Holder> holders(const UpstreamId &Id) const;

  /// What this daemon holds of an upstream; nothing by default.
  Share heldBySelf(const UpstreamId &Id) const;

  /// All that this daemon holds.
  const std::unordered_map<UpstreamId, Share> &heldBySelf() const {
    return Own;
  }

  /// The FleetView::Number and generation that it was computed from.
  std::uint64_t viewNumber() const { return ViewNumber; }
  std::uint64_t generation() const { return Generation; }

  /// Bytes held, estimated from the tables' sizes; names are counted.
  std::size_t memoryBytes() const;

private:
  struct Range {
    std::uint32_t First = 0;
    std::uint32_t Count = 0;
  };

  std::shared_ptr<const std::vector<Member>> Members;
  std::vector<Holder> All;
  std::unordered_map<UpstreamId, Range> ByUpstream;
  std::unordered_map<UpstreamId, Share> Own;
  std::uint64_t ViewNumber = 0;
  std::uint64_t Generation = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_SLOTALLOCATION_H
