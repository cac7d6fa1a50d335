//===- GuardedSocket.h - A caller's connection that says why ----*- C++ -*-===//
//
// RESTinio closes a connection without a word when a request is malformed, too
// large or not whole in time, and leaves callers above the connection limit in
// the kernel's queue until they time out. GuardedSocket stands between RESTinio
// and Asio's socket: it knows what the connection was doing when RESTinio gives
// it up, sends the problem document that HTTP still allows, and only then lets
// go of it.
//
// This header is not for other packages.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_GUARDEDSOCKET_H
#define SHALLOTSHIFT_NET_GUARDEDSOCKET_H

#include "shallotshift/base.h"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <memory>
#include <string_view>
#include <unordered_set>

namespace shallot::internal {

class GuardedSocket;

/// What the connections of one server share.
struct ServerConnections {
  std::size_t MaxConnections = 0;
  std::size_t Open = 0;
  /// What RESTinio last complained of; the connection that it closes next is
  /// the one it meant (all on one thread).
  ResultCode Complaint = ResultCode::Ok;
  /// The connection whose bytes are being parsed, or null.
  GuardedSocket *Reading = nullptr;
  /// Connections that RESTinio holds, to be closed with the server.
  std::unordered_set<GuardedSocket *> All;
  std::size_t Lingering = 0;
};

/// Sockets made while one of these lives belong to \p S: RESTinio makes the
/// sockets itself and passes nothing but the io_context.
class AdoptSockets {
public:
  explicit AdoptSockets(std::shared_ptr<ServerConnections> S);
  ~AdoptSockets();
  AdoptSockets(const AdoptSockets &) = delete;
  AdoptSockets &operator=(const AdoptSockets &) = delete;
};

class GuardedSocket : public asio::ip::tcp::socket {
public:
  using Base = asio::ip::tcp::socket;

  explicit GuardedSocket(asio::io_context &Context);
  GuardedSocket(GuardedSocket &&Other) noexcept;
  GuardedSocket &operator=(GuardedSocket &&) = delete;
  ~GuardedSocket();

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &To, Handler &&Then) {
    auto Executor = asio::get_associated_executor(Then, get_executor());
    if (!admitted()) {
      asio::post(Executor, [Then = std::forward<Handler>(Then)]() mutable {
        Then(asio::error_code(asio::error::eof), 0);
      });
      return;
    }
    Base::async_read_some(
        To, asio::bind_executor(
                Executor,
                [this, Then = std::forward<Handler>(Then)](
                    const asio::error_code &Failed, std::size_t Size) mutable {
                  ReadScope Scope(*this, Size);
                  Then(Failed, Size);
                }));
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers &From, Handler &&Then) {
    Doing = State::Answering;
    Base::async_write_some(From, std::forward<Handler>(Then));
  }

  /// RESTinio calls it first of all when it gives the connection up.
  void shutdown(shutdown_type What, asio::error_code &Failed);
  void close();

  /// A whole request has gone to the handler.
  void handling() { Doing = State::Handling; }

private:
  enum class State : std::uint8_t { Idle, HalfRead, Handling, Answering };

  /// Notes what is being read, while RESTinio parses it.
  struct ReadScope {
    ReadScope(GuardedSocket &Socket, std::size_t Size);
    ~ReadScope();
    std::shared_ptr<ServerConnections> S;
  };

  bool admitted();
  ResultCode reason() const;
  void sayAndLinger(ResultCode Code);
  void leave();

  std::shared_ptr<ServerConnections> S;
  bool Entered = false; ///< Counted in S.
  bool Refused = false; ///< Above the limit.
  State Doing = State::Idle;
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_NET_GUARDEDSOCKET_H
