//===- HttpClient.h - HTTP through libcurl on the Asio loop -----*- C++ -*-===//
//
// A libcurl multi handle driven by Asio. Connections are kept and reused for
// each endpoint. A request whose rule is Repeat::Never gets a connection of its
// own that is not reused: libcurl sends a request again by itself when a reused
// connection closes before the first byte of the reply, and the upstream would
// run the action twice without anyone asking (docs/design/net.md).
//
// A kept connection may fall silent while new ones work. One that timed out or
// was cancelled is never used again; and when a transfer on a kept one times
// out without a byte of reply, the other idle ones to that endpoint that were
// not heard from since are dropped too.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_HTTPCLIENT_H
#define SHALLOTSHIFT_NET_HTTPCLIENT_H

#include "net/EventLoop.h"
#include "net/HttpTypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace shallot {

/// Bounds of one client.
struct HttpClientLimits {
  std::size_t MaxReplyBytes = 4 << 20;
  /// Connections kept open and idle, over all endpoints.
  unsigned MaxIdleConnections = 512;
  /// An idle connection older than this is not used again.
  Duration MaxIdleAge = Seconds(30);
};

/// How far the reply to a transfer has come.
struct TransferProgress {
  std::size_t Bytes = 0;      ///< Headers and body, not deflated.
  Duration Age{};             ///< Since the request was given to the client.
  Duration Silent{};          ///< Since the last byte of the reply, or as Age.
  bool NewConnection = false; ///< As in HttpReply.

  friend bool operator==(const TransferProgress &,
                         const TransferProgress &) = default;
};

class HttpClient {
public:
  using Callback = std::function<void(HttpReply)>;
  using TransferId = std::uint64_t;

  explicit HttpClient(EventLoop &Loop, HttpClientLimits Limits = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a transfer; \p Done is called exactly once unless it is cancelled.
  TransferId send(HttpRequest Request, Callback Done);
  /// Drops a transfer; its callback will not be called. Its connection closes.
  void cancel(TransferId Id);
  /// Nothing when the transfer has ended.
  std::optional<TransferProgress> progress(TransferId Id) const;
  /// Closes the idle connections to \p To (and, when a transfer on one ends,
  /// that one too): the next request opens a new one.
  void forget(const Endpoint &To);
  /// Connections open now to \p To, busy or idle.
  unsigned openConnections(const Endpoint &To) const;
  std::size_t inFlight() const;

private:
  struct Impl;
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_NET_HTTPCLIENT_H
