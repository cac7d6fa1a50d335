//===- DatagramReading.h - Reading Cap'n Proto datagrams --------*- C++ -*-===//
//
// Internal to package peer: what the codecs of datagrams have in common.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_DATAGRAMREADING_H
#define SHALLOTSHIFT_PEER_DATAGRAMREADING_H

#include "shallotshift/base.h"
#include "shallotshift/fleet.h"

#include <capnp/serialize.h>
#include <cstddef>
#include <cstring>
#include <kj/debug.h>
#include <span>

namespace shallot::internal {

inline capnp::Text::Reader textOf(const std::string &From) {
  return {From.c_str(), From.size()};
}

/// A name from the network: empty, or one that passes the check of all names.
inline std::string readName(capnp::Text::Reader From) {
  std::string Text(From.begin(), From.size());
  KJ_REQUIRE(Text.empty() || attempt([&] { return checkName(Text, "name"); }),
             "bad name");
  return Text;
}

/// What one datagram may make us read: its own bytes and little more, however
/// often its pointers lead to the same place.
inline capnp::ReaderOptions datagramOptions() {
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = 2 * MaxGossipBytes / sizeof(capnp::word);
  Options.nestingLimit = 6;
  return Options;
}

/// Decodes a datagram whose root is a \p Root with \p Take, which may throw
/// kj::Exception. Fails with PeerBadMessage.
template <typename Root, typename TakeFn>
auto readDatagram(std::span<const std::byte> Datagram, TakeFn Take)
    -> Result<decltype(Take(std::declval<typename Root::Reader>()))> {
  if (Datagram.empty() || Datagram.size() > MaxGossipBytes ||
      Datagram.size() % sizeof(capnp::word) != 0)
    return fail(ResultCode::PeerBadMessage, "a datagram of a wrong size");
  // The reader needs whole, aligned words.
  capnp::word Buffer[MaxGossipBytes / sizeof(capnp::word)];
  std::memcpy(Buffer, Datagram.data(), Datagram.size());
  try {
    capnp::FlatArrayMessageReader Reader(
        kj::arrayPtr(Buffer, Datagram.size() / sizeof(capnp::word)),
        datagramOptions());
    return Take(Reader.template getRoot<Root>());
  } catch (const kj::Exception &E) {
    return fail(ResultCode::PeerBadMessage, E.getDescription().cStr());
  }
}

/// \p Message as bytes.
inline std::vector<std::byte> datagramOf(capnp::MallocMessageBuilder &Message) {
  kj::Array<capnp::word> Buffer = capnp::messageToFlatArray(Message);
  const auto *Bytes = reinterpret_cast<const std::byte *>(Buffer.begin());
  return {Bytes, Bytes + Buffer.asBytes().size()};
}

} // namespace shallot::internal

#endif // SHALLOTSHIFT_PEER_DATAGRAMREADING_H
