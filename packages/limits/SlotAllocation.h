//===- SlotAllocation.h - Upstream slots held by each daemon ----*- C++ -*-===//
//
// Slots and connections of an upstream are limits on the whole fleet. Every
// daemon allocates all of them by the same pure function of the configuration
// and its view of the fleet, so no coordinator is needed and daemons with the
// same view agree. A daemon that holds a slot sends to the upstream itself;
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
// daemon gets the same slots back. Holders in the upstream's zone fail together
// with it, so the loss of a zone takes no capacity from the others.
//
// Daemons may have different views for a while; see HandoverGuard.h.
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

/// A daemon's load limit as a multiple of the mean number of slots per daemon
/// over all services; above it the remainder goes to the next daemon by weight.
/// A lower value balances better, but each change of the fleet then moves more
/// slots (docs/design/limits.md).
inline constexpr double LoadHeadroom = 1.25;

/// One daemon's share of an upstream.
struct Share {
  unsigned Slots = 0; ///< Maximum concurrent requests.
  /// Slots and one spare, but at most the share's proportion of the upstream's
  /// connections, rounded down.
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
  /// An allocation without holders.
  SlotAllocation() = default;

  /// Allocates the slots of every upstream of \p C to the members of \p V that
  /// take new work. Of several incarnations of a host only the latest counts.
  /// \p Self need not be a member; it then holds nothing.
  static SlotAllocation make(const Config &C, const FleetView &V,
                             const DaemonId &Self);

  /// The holders of an upstream; empty if it is unknown or no member takes new
  /// work. Their Slots add up to the upstream's Slots, their Connections to at
  /// most its Connections.
  std::span<const Holder> holders(const UpstreamId &Id) const;

  /// This daemon's share of an upstream; empty if it holds none.
  Share heldBySelf(const UpstreamId &Id) const;

  /// All shares of this daemon.
  const std::unordered_map<UpstreamId, Share> &heldBySelf() const {
    return Own;
  }

  /// The FleetView::Number and the configuration's generation that the
  /// allocation was computed from.
  std::uint64_t viewNumber() const { return ViewNumber; }
  std::uint64_t generation() const { return Generation; }

  /// Estimated memory in bytes, including the heap of names.
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
