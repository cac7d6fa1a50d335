//===- NetFixture.h - A loop, a client and raw sockets for tests *- C++ -*-===//
#ifndef SHALLOTSHIFT_TESTS_NETFIXTURE_H
#define SHALLOTSHIFT_TESTS_NETFIXTURE_H

#include "shallotshift/net.h"

#include <asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unistd.h>

namespace shallot {

/// A loopback address that other test programs of the host do not use: a port
/// of 127.0.0.1 that is free now may be some other program's a moment later.
inline std::string ownLoopbackIp() {
  int Pid = getpid();
  return "127." + std::to_string(64 + Pid % 128) + "." +
         std::to_string(Pid / 128 % 256) + ".1";
}

/// An address on \p Ip that nobody listens on just now. Chosen by the kernel,
/// so that test programs of several builds can run at the same time, and never
/// twice: the kernel knows of no address that was only asked for.
inline Endpoint freeEndpoint(const std::string &Ip) {
  static std::set<Endpoint> Given;
  for (;;) {
    asio::io_context Context;
    asio::ip::tcp::acceptor Probe(Context, {asio::ip::make_address(Ip), 0});
    Endpoint Found{Ip, Probe.local_endpoint().port()};
    if (Given.insert(Found).second)
      return Found;
  }
}

/// Ends a test that would hang; no test judges by it.
inline constexpr Duration GiveUpAfter = Seconds(60);

/// One loop on which a test runs server and client.
struct NetFixture {
  EventLoop Loop;

  /// Runs the loop until \p Done says so.
  void runUntil(const std::function<bool()> &Done) {
    bool GaveUp = false;
    TimerHandle Stop = Loop.after(GiveUpAfter, [&GaveUp] { GaveUp = true; });
    while (!Done() && !GaveUp)
      Loop.context().run_one();
    Stop.cancel();
    REQUIRE_FALSE(GaveUp);
  }

  /// Lets everything that is ready run, for \p For.
  void runFor(Duration For) {
    bool Over = false;
    Loop.after(For, [&Over] { Over = true; });
    runUntil([&Over] { return Over; });
  }

  HttpReply exchange(HttpClient &Client, HttpRequest Request) {
    std::optional<HttpReply> Got;
    Client.send(std::move(Request),
                [&Got](HttpReply Reply) { Got = std::move(Reply); });
    runUntil([&Got] { return Got.has_value(); });
    return std::move(*Got);
  }
};

inline std::unique_ptr<HttpServer> serve(EventLoop &Loop, const Endpoint &At,
                                         HttpServer::Handler Handler,
                                         HttpServerLimits Limits = {}) {
  auto Server = attempt(
      [&] { return HttpServer::open(Loop, At, Limits, std::move(Handler)); });
  REQUIRE_MESSAGE(Server, Server.error().Detail);
  return std::move(*Server);
}

} // namespace shallot

#endif // SHALLOTSHIFT_TESTS_NETFIXTURE_H
