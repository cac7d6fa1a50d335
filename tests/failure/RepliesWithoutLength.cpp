// A reply may have no length and end with its connection. When the replica
// closes in order it is whole; when the connection is reset on the way it is
// not, and must not look so to the caller.
#include "NetFixture.h"
#include "shallotshift/http1.h"

#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace shallot;

namespace {

struct EndingServer : NetFixture {
  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint("127.0.0.1");
  UpstreamPool Pool{Loop, Timers, {}};
  asio::ip::tcp::acceptor Acceptor{Loop.context(),
                                   {asio::ip::make_address(At.Ip), At.Port}};
  asio::ip::tcp::socket Peer{Loop.context()};
  std::array<char, 4096> Scratch;

  UpstreamReply exchange(bool Reset) {
    Acceptor.async_accept(Peer, [this, Reset](const asio::error_code &E) {
      REQUIRE_FALSE(E);
      Peer.async_read_some(
          asio::buffer(Scratch),
          [this, Reset](const asio::error_code &, std::size_t) {
            asio::write(Peer, asio::buffer(std::string(
                                  "HTTP/1.1 200 OK\r\n\r\nhalf or whole")));
            if (Reset)
              Peer.set_option(asio::socket_base::linger(true, 0));
            Loop.after(Millis(20), [this] { Peer.close(); });
          });
    });
    UpstreamRequest R;
    R.To = At;
    R.Bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    std::optional<UpstreamReply> Got;
    Pool.send(std::move(R), [&](UpstreamReply A) { Got = std::move(A); });
    runUntil([&] { return Got.has_value(); });
    return std::move(*Got);
  }
};

} // namespace

TEST_CASE_FIXTURE(EndingServer, "closed in order it is whole") {
  UpstreamReply R = exchange(false);
  CHECK(R.How == CallEnd::Answered);
  CHECK(R.Body == "half or whole");
  CHECK(Pool.idle() == 0);
}

TEST_CASE_FIXTURE(EndingServer, "reset it is lost") {
  CHECK(exchange(true).How == CallEnd::Lost);
}
