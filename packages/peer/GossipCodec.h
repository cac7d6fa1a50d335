//===- GossipCodec.h - Membership messages as datagrams ---------*- C++ -*-===//
//
// Cap'n Proto serialization of GossipMessage. What comes from the network is
// read under limits on size, depth and the number of entries, and is refused
// as a whole when anything in it is out of place.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_GOSSIPCODEC_H
#define SHALLOTSHIFT_PEER_GOSSIPCODEC_H

#include "shallotshift/base.h"
#include "shallotshift/fleet.h"

#include <cstddef>
#include <span>
#include <vector>

namespace shallot {

std::vector<std::byte> encodeGossip(const GossipMessage &M);

/// Fails with PeerBadMessage.
Result<GossipMessage> decodeGossip(std::span<const std::byte> Datagram);

} // namespace shallot

#endif // SHALLOTSHIFT_PEER_GOSSIPCODEC_H
