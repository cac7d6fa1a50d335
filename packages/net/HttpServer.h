//===- HttpServer.h - HTTP through RESTinio on the Asio loop ----*- C++ -*-===//
//
// The handler gets a whole request and a Responder to answer it with, at once
// or later. Every bound is here: body and header sizes, time to send a whole
// request, time to read a whole answer, open connections. A caller that breaks
// one is cut off with a problem document where HTTP still allows one; others
// are not held up.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_HTTPSERVER_H
#define SHALLOTSHIFT_NET_HTTPSERVER_H

#include "net/EventLoop.h"
#include "net/HttpTypes.h"

#include <functional>
#include <memory>

namespace shallot {

struct HttpServerLimits {
  std::size_t MaxBodyBytes = 1 << 20;
  std::size_t MaxHeaderBytes = 16 << 10; ///< Of one field name or value.
  std::size_t MaxHeaderCount = 64;
  std::size_t MaxConnections = 4096;
  /// To send a whole request, counted from connecting or from the last answer:
  /// it also ends an idle kept connection.
  Duration ReadTimeout = Seconds(10);
  /// To take a whole answer.
  Duration WriteTimeout = Seconds(10);
  /// For the handler to answer.
  Duration HandleTimeout = Seconds(60);
};

/// Answers one request, once; later calls are ignored. May outlive the server.
class Responder {
public:
  struct Impl;
  explicit Responder(std::shared_ptr<Impl> I) : I(std::move(I)) {}
  void reply(ServerReply Reply) const;

private:
  std::shared_ptr<Impl> I;
};

class HttpServer {
public:
  using Handler = std::function<void(ServerRequest, Responder)>;

  /// Listens on \p At. Fails with AddressInUse.
  static Result<std::unique_ptr<HttpServer>> open(EventLoop &Loop,
                                                  const Endpoint &At,
                                                  HttpServerLimits Limits,
                                                  Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// From now on every answer closes its connection, so that callers with kept
  /// connections go elsewhere; new connections are still accepted.
  void closeAfterReply();
  /// Accepts no more connections; open ones are served to the end.
  void stopAccepting();
  /// Requests that have not been answered yet.
  std::size_t inFlight() const;
  std::size_t openConnections() const;

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> I);
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_NET_HTTPSERVER_H
