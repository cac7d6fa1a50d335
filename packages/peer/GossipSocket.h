//===- GossipSocket.h - UDP for the membership protocol ---------*- C++ -*-===//
#ifndef SHALLOTSHIFT_PEER_GOSSIPSOCKET_H
#define SHALLOTSHIFT_PEER_GOSSIPSOCKET_H

#include "peer/DatagramSocket.h"
#include "shallotshift/fleet.h"

namespace shallot {

class GossipSocket {
public:
  /// \p From is where the datagram came from, which need not be where its
  /// sender listens.
  using Handler = std::function<void(GossipMessage, const Endpoint &From)>;

  /// Listens on \p At. Fails with AddressInUse.
  static Result<std::unique_ptr<GossipSocket>>
  open(EventLoop &Loop, const Endpoint &At, Handler OnMessage);

  /// Sends at once or drops, as DatagramSocket does.
  void send(const Endpoint &To, const GossipMessage &M);
  std::size_t discardWaiting() { return Socket->discardWaiting(); }
  const DatagramStats &stats() const { return Socket->stats(); }

private:
  explicit GossipSocket(std::unique_ptr<DatagramSocket> Socket);

  std::unique_ptr<DatagramSocket> Socket;
};

} // namespace shallot

#endif // SHALLOTSHIFT_PEER_GOSSIPSOCKET_H
