//===- PeerServer.h - Calls from peers, on the KJ thread --------*- C++ -*-===//
//
// Accepts connections and hands each call to its handler on the EventLoop's
// thread; the answer comes back as a closure. A call that the peer no longer
// waits for tells its handler so.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_PEERSERVER_H
#define SHALLOTSHIFT_PEER_PEERSERVER_H

#include "peer/PeerClient.h"

#include <unordered_map>

namespace shallot::internal {

class PeerServer {
public:
  /// \p Listener is a listening socket, which this takes over. \p Handlers are
  /// called on the EventLoop's thread and must live until \p ToLoop is closed.
  PeerServer(kj::AsyncIoContext &Io, int Listener, const DaemonId &Self,
             const PeerHandlers &Handlers, const PeerLimits &Limits,
             PeerCounters &Counters, std::shared_ptr<KjQueue> ToKj,
             std::shared_ptr<LoopQueue> ToLoop);
  ~PeerServer();

private:
  struct Connection;
  class PeerImpl;
  class SessionImpl;

  /// A call that waits for its handler's answer.
  struct InCall {
    std::uint64_t ConnectionId = 0;
    kj::Own<kj::PromiseFulfiller<void>> Answered;
    /// Tells the handler; pushed to the EventLoop when the peer gives up.
    Task Cancel;
    bool HasAnswer = false;
  };

  template <typename Answer, typename Request, typename Context>
  kj::Promise<void> serve(std::uint64_t ConnectionId,
                          const PeerHandler<Request, Answer> &Handler,
                          Request Value, Context Ctx);
  kj::Promise<void> acceptForever();
  void accept(kj::Own<kj::AsyncIoStream> Stream);
  void closed(std::uint64_t ConnectionId);
  void gone(std::uint64_t CallId);
  Connection *find(std::uint64_t ConnectionId);

  kj::AsyncIoContext &Io;
  kj::Timer &Clock;
  DaemonId Self;
  const PeerHandlers &Handlers;
  PeerLimits Limits;
  PeerCounters &Counters;
  std::shared_ptr<KjQueue> ToKj;
  std::shared_ptr<LoopQueue> ToLoop;
  kj::Own<kj::ConnectionReceiver> Listener;
  std::uint64_t LastId = 0;
  std::unordered_map<std::uint64_t, InCall> Calls;
  std::map<std::uint64_t, kj::Own<Connection>> Open;
  kj::Promise<void> Accepting = nullptr; ///< Destroyed first.
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_PEER_PEERSERVER_H
