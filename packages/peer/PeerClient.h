//===- PeerClient.h - Connections to peers, on the KJ thread ----*- C++ -*-===//
//
// Keeps one connection for each peer, opens and closes them within bounds, and
// notices the ones that have gone silent. A connection can stay open for good
// after something between the two ends has lost track of it; calls on it would
// wait until their deadlines while a new connection works at once.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_PEERCLIENT_H
#define SHALLOTSHIFT_PEER_PEERCLIENT_H

#include "peer/BatchedStream.h"
#include "peer/KjThread.h"
#include "peer/PeerCodec.h"

#include <capnp/rpc-twoparty.h>
#include <map>
#include <set>

namespace shallot::internal {

/// Counters that both threads touch.
struct PeerCounters {
  StreamCounters Streams;
  std::atomic<std::uint64_t> CallsSent{0};
  std::atomic<std::uint64_t> CallsServed{0};
  std::atomic<std::uint64_t> CallsFailed{0};
  std::atomic<std::uint64_t> CallsRefused{0};
  std::atomic<std::uint64_t> SilentConnections{0};
  std::atomic<std::uint64_t> ConnectionsOpened{0};
  std::atomic<std::uint64_t> OutboundOpen{0};
  std::atomic<std::uint64_t> InboundOpen{0};
  std::atomic<std::uint64_t> InboundRefused{0};
};

/// Limits that both ends set on what they read.
capnp::ReaderOptions readerOptions();

/// One call on its way out.
struct OutCall {
  std::uint64_t Id = 0;
  DaemonId To;
  Endpoint Rpc;
  Duration Timeout{0};
  /// Sends the request; the promise ends after the answer was handed over.
  kj::Function<kj::Promise<void>(wire::Session::Client &)> Send;
  /// Hands over an error instead.
  kj::Function<void(Error)> Fail;
};

class PeerClient {
public:
  PeerClient(kj::AsyncIoContext &Io, const DaemonId &Self,
             const PeerLimits &Limits, PeerCounters &Counters);
  ~PeerClient();

  void start(OutCall Call);
  void cancel(std::uint64_t Id);
  void keepOnly(const std::set<DaemonId> &Peers);

private:
  struct Connection;
  using ConnectionPtr = kj::Own<Connection>;

  Connection *connectionTo(const DaemonId &To, const Endpoint &Rpc);
  Connection *open(const DaemonId &To, const Endpoint &Rpc);
  kj::Promise<wire::Session::Client> connect(Connection &C);
  wire::Session::Client introduce(Connection &C,
                                  kj::Own<kj::AsyncIoStream> Stream);
  bool makeRoom();
  void completed(Connection &C, std::uint64_t Id);
  void broke(Connection &C, std::uint64_t Id, const kj::Exception &E);
  void retire(Connection &C, const Error &Why);
  kj::Promise<void> sweepForever();
  void sweep();
  void sweepCalls(Connection &C, kj::TimePoint Now);
  bool isSilent(Connection &C, kj::TimePoint Now);
  void sendPing(Connection &C, kj::TimePoint Now);

  kj::AsyncIoContext &Io;
  kj::Timer &Clock;
  DaemonId Self;
  PeerLimits Limits;
  PeerCounters &Counters;
  std::map<DaemonId, ConnectionPtr> Open;
  std::map<std::uint64_t, Connection *> Where; ///< Calls by id.
  kj::TimePoint LastSweep;
  /// What has ended but may be on the call stack now; freed by the next sweep.
  std::vector<ConnectionPtr> Retired;
  std::vector<kj::Promise<void>> Finished;
  kj::Promise<void> Sweeping = nullptr; ///< Destroyed first.
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_PEER_PEERCLIENT_H
