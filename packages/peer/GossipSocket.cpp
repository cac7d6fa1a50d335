//===- GossipSocket.cpp ---------------------------------------------------===//
#include "peer/GossipSocket.h"

#include "peer/GossipCodec.h"

namespace shallot {

GossipSocket::GossipSocket(std::unique_ptr<DatagramSocket> Socket)
    : Socket(std::move(Socket)) {}

Result<std::unique_ptr<GossipSocket>>
GossipSocket::open(EventLoop &Loop, const Endpoint &At, Handler OnMessage) {
  auto Read = [OnMessage = std::move(OnMessage)](
                  std::span<const std::byte> Plain, const Endpoint &From) {
    auto M = attempt([&] { return decodeGossip(Plain); });
    if (M)
      OnMessage(std::move(*M), From);
    return bool(M);
  };
  BOOST_LEAF_AUTO(Socket,
                  DatagramSocket::open(Loop, At, "gossip", std::move(Read)));
  return std::unique_ptr<GossipSocket>(new GossipSocket(std::move(Socket)));
}

void GossipSocket::send(const Endpoint &To, const GossipMessage &M) {
  Socket->send(To, encodeGossip(M));
}

} // namespace shallot
