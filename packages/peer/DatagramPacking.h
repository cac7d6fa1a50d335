//===- DatagramPacking.h - Membership datagrams in fewer bytes --*- C++ -*-===//
//
// When a large fleet starts, every daemon has to hear of every other, and the
// datagrams are full of the same few zones, regions and parts of host names.
// Deflated they take a third: 300 daemons that start at once sent 20 KB/s each
// for nine seconds, most of it across regions, which are the dearest bytes.
//
// A packed datagram begins with PackedMark; a plain one is a Cap'n Proto
// message, which begins with the number of its segments less one and so with a
// zero. Small ones are left plain: they would hardly shrink.
//
// This header is not for other packages.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_DATAGRAMPACKING_H
#define SHALLOTSHIFT_PEER_DATAGRAMPACKING_H

#include "shallotshift/base.h"

#include <cstddef>
#include <span>
#include <vector>

namespace shallot::internal {

inline constexpr std::byte PackedMark{0x5a};

/// \p Plain packed, or as it is when that is not smaller.
std::vector<std::byte> packDatagram(std::vector<std::byte> Plain);

/// The plain form of \p Datagram, of at most \p MostBytes. Fails with
/// PeerBadMessage: what a few bytes may unpack to is bounded before it is read.
Result<std::vector<std::byte>>
unpackDatagram(std::span<const std::byte> Datagram, std::size_t MostBytes);

} // namespace shallot::internal

#endif // SHALLOTSHIFT_PEER_DATAGRAMPACKING_H
