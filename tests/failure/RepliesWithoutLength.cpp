// Guards against a reply that ends too early with its connection and looks
// whole.
#include "NetFixture.h"
#include "shallotshift/http1.h"

#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace shallot;

namespace {

const std::string Whole = "HTTP/1.1 200 OK\r\nServer: r\r\n\r\nhalf or whole";

struct EndingServer : NetFixture {
  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint("127.0.0.1");
  UpstreamPool Pool{Loop, Timers, {}};
  asio::ip::tcp::acceptor Acceptor{Loop.context(),
                                   {asio::ip::make_address(At.Ip), At.Port}};
  asio::ip::tcp::socket Peer{Loop.context()};
  std::array<char, 4096> Scratch;

  UpstreamReply exchange(bool Reset, const std::string &Sent = Whole) {
    Acceptor.async_accept(Peer, [=, this](const asio::error_code &E) {
      REQUIRE_FALSE(E);
      Peer.async_read_some(asio::buffer(Scratch),
                           [=, this](const asio::error_code &, std::size_t) {
                             asio::write(Peer, asio::buffer(Sent));
                             if (Reset)
                               Peer.set_option(
                                   asio::socket_base::linger(true, 0));
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

TEST_CASE_FIXTURE(EndingServer, "closed within its head it is lost") {
  std::size_t HeadBytes = Whole.find("half");
  for (std::size_t Size = 0; Size < HeadBytes; ++Size) {
    CAPTURE(Size);
    CHECK(exchange(false, Whole.substr(0, Size)).How != CallEnd::Answered);
  }
}
