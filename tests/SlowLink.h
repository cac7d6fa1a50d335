//===- SlowLink.h - The link of a host, at a rate of ours -------*- C++ -*-===//
//
// Loopback carries more than any host's link. All that is sent over a SlowLink
// shares one rate; a connection that the other end closes takes nothing of it
// any more. Tests judge by the bytes that went over it, not by the clock.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_SLOWLINK_H
#define SHALLOTSHIFT_TESTS_SLOWLINK_H

#include "shallotshift/net.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <list>
#include <memory>

namespace shallot::test {

/// Sends what is queued in small pieces, in turn.
class SlowLink {
public:
  struct Line {
    explicit Line(asio::ip::tcp::socket S) : Socket(std::move(S)) {}
    asio::ip::tcp::socket Socket;
    std::string Input;
    std::string Output;
    std::array<char, 4096> Scratch;
  };
  using LinePtr = std::shared_ptr<Line>;

  SlowLink(EventLoop &Loop, std::size_t BytesPerSecond);
  void add(LinePtr L) { Lines.push_back(std::move(L)); }
  std::size_t sent() const { return Sent; }

private:
  void pump();
  std::size_t push(Line &L, std::size_t Most);

  EventLoop &Loop;
  std::size_t Rate;
  std::size_t Sent = 0;
  std::list<LinePtr> Lines;
};

/// Passes connections at \p At on to \p To; what \p To answers comes over the
/// link.
class SlowProxy {
public:
  SlowProxy(EventLoop &Loop, const Endpoint &At, Endpoint To, SlowLink &Link);

private:
  using LinePtr = SlowLink::LinePtr;

  void accept();
  /// Reads from \p From and gives it to \p Take, until one end closes.
  void carry(const LinePtr &From, const LinePtr &Other,
             const std::function<void(std::string_view)> &Take);

  EventLoop &Loop;
  Endpoint To;
  SlowLink &Link;
  asio::ip::tcp::acceptor Acceptor;
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_SLOWLINK_H
