//===- Wire.h - An HTTP server that can misbehave ---------------*- C++ -*-===//
//
// The stand-ins must do what no well-behaved server does: close a connection
// without a reply, go silent on one connection and answer on another, refuse a
// connection over a cap, send a reply twice, notice at once that the other end
// has gone. So they do not use HttpServer but this small one, over Asio and
// http_parser. It is for tests only and trusts its callers.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_WIRE_H
#define SHALLOTSHIFT_STANDINS_WIRE_H

#include "shallotshift/net.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace shallot::standins {

/// The largest body that is read; above it the connection is closed. Twice what
/// the platform holds, so that its own limit can be seen to work.
inline constexpr std::size_t MaxWireBodyBytes = 2 << 20;

class WireConnection;
using WireConnectionPtr = std::shared_ptr<WireConnection>;

struct WireRequest {
  std::string Method;
  std::string Path; ///< Without the query string.
  std::string Query;
  HttpHeaders Headers;
  std::string Body;
  std::uint64_t OnConnection = 0; ///< 1 for the first request of a connection.

  std::string_view header(std::string_view Name) const;
  /// The number in header \p Name, or \p Otherwise.
  std::uint64_t headerNumber(std::string_view Name,
                             std::uint64_t Otherwise) const;
  /// The value of "Name=value" in the query string, or an empty string.
  std::string parameter(std::string_view Name) const;
  std::uint64_t parameterNumber(std::string_view Name,
                                std::uint64_t Otherwise) const;
};

struct WireReply {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
  std::string ContentType = "application/json";

  std::string bytes() const;
  /// Without a length: the body ends with the connection.
  std::string bytesWithoutLength() const;

private:
  std::string head() const;
};

struct WireEvents {
  /// Says whether a new connection is kept.
  std::function<bool()> OnOpen;
  std::function<void(const WireConnectionPtr &, WireRequest)> OnRequest;
  /// The connection has gone, from whichever end.
  std::function<void(const WireConnectionPtr &)> OnClose;
};

/// One connection. Handlers may keep the pointer; replies on a closed or silent
/// connection go nowhere.
class WireConnection : public std::enable_shared_from_this<WireConnection> {
public:
  struct Impl;
  explicit WireConnection(std::unique_ptr<Impl> I);
  ~WireConnection();

  std::uint64_t id() const;
  bool open() const;
  void reply(const WireReply &Reply);
  void sendRaw(std::string Bytes);
  void close();
  /// Closes behind what is still to be written.
  void closeWhenSent();
  /// From now on nothing is answered and nothing is sent; the connection stays
  /// open, as when a device on the way has forgotten it.
  void silence();
  bool silent() const;

private:
  friend class WireServer;
  void start();
  void readSome();
  void onBytes(std::size_t Count);
  void writeNext();
  std::unique_ptr<Impl> I;
};

class WireServer {
public:
  WireServer(asio::io_context &Io, Endpoint At, WireEvents Events);
  /// Open connections are let go without OnClose; they end with the loop.
  ~WireServer() = default;
  WireServer(const WireServer &) = delete;
  WireServer &operator=(const WireServer &) = delete;

  /// Starts to listen. Fails with AddressInUse.
  Result<void> listen();
  /// Closes the listener and every connection; listen() opens it again.
  void shut();
  bool listening() const;
  void silenceAll();
  std::size_t openConnections() const;

private:
  friend class WireConnection;
  void acceptNext();
  void accepted(asio::ip::tcp::socket Socket);

  asio::io_context &Io;
  Endpoint At;
  std::shared_ptr<WireEvents> Events;
  asio::ip::tcp::acceptor Acceptor;
  std::uint64_t NextId = 1;
  using Table = std::unordered_map<std::uint64_t, WireConnectionPtr>;
  std::shared_ptr<Table> Open;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_WIRE_H
