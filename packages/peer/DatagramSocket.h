//===- DatagramSocket.h - UDP between daemons -------------------*- C++ -*-===//
//
// Sends and receives single datagrams, packed if that makes them smaller. What
// a datagram holds is up to the user of the socket.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_DATAGRAMSOCKET_H
#define SHALLOTSHIFT_PEER_DATAGRAMSOCKET_H

#include "shallotshift/base.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace shallot {

class EventLoop;

struct DatagramStats {
  std::uint64_t Sent = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t Received = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t Malformed = 0; ///< Dropped: could not be understood.
  std::uint64_t Oversize = 0;  ///< Not sent: above MaxGossipBytes.
  std::uint64_t SendErrors = 0;

  friend bool operator==(const DatagramStats &,
                         const DatagramStats &) = default;
};

class DatagramSocket {
public:
  /// Returns false if the datagram could not be understood. \p From is where it
  /// came from, which need not be where its sender listens.
  using Handler =
      std::function<bool(std::span<const std::byte> Plain, const Endpoint &)>;

  /// Listens on \p At. \p What names the address in errors. Fails with
  /// AddressInUse.
  static Result<std::unique_ptr<DatagramSocket>> open(EventLoop &Loop,
                                                      const Endpoint &At,
                                                      std::string_view What,
                                                      Handler OnDatagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// Sends at once or drops: UDP may lose it anyway, and a queue would only
  /// delay it until it is out of date.
  void send(const Endpoint &To, std::vector<std::byte> Plain);
  /// Reads and drops the datagrams that wait in the socket, and returns their
  /// number. After a pause they are as old as the pause is long.
  std::size_t discardWaiting();
  const DatagramStats &stats() const;

private:
  struct Impl;
  explicit DatagramSocket(std::shared_ptr<Impl> I);
  std::shared_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_PEER_DATAGRAMSOCKET_H
