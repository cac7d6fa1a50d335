// A replica may answer before it has read a long body, keep the connection and
// read on later. What the caller sees is its answer. If the next request went
// out on that connection, its bytes would be read where the rest of the first
// body is due: the replica would run something that nobody sent.
#include "NetFixture.h"
#include "shallotshift/http1.h"

#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace shallot;

namespace {

/// More than the kernel takes for one connection.
constexpr std::size_t LongBody = 64 << 20;

/// Answers as soon as the first bytes of a connection are in, and never reads
/// the rest.
struct HastyServer : NetFixture {
  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint("127.0.0.1");
  UpstreamPool Pool{Loop, Timers, {}};
  asio::ip::tcp::acceptor Acceptor{Loop.context(),
                                   {asio::ip::make_address(At.Ip), At.Port}};
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> Peers;
  std::vector<std::string> FirstBytes;
  std::array<char, 64> Scratch;

  HastyServer() { accept(); }

  void accept() {
    Acceptor.async_accept([this](const asio::error_code &E,
                                 asio::ip::tcp::socket Peer) {
      REQUIRE_FALSE(E);
      Peers.push_back(std::make_unique<asio::ip::tcp::socket>(std::move(Peer)));
      Peers.back()->async_read_some(
          asio::buffer(Scratch),
          [this](const asio::error_code &, std::size_t Count) {
            FirstBytes.emplace_back(Scratch.data(), Count);
            asio::write(*Peers.back(),
                        asio::buffer(std::string(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
            accept();
          });
    });
  }

  UpstreamReply exchange(std::string Bytes) {
    UpstreamRequest R;
    R.To = At;
    R.Bytes = std::move(Bytes);
    std::optional<UpstreamReply> Got;
    Pool.send(std::move(R), [&](UpstreamReply A) { Got = std::move(A); });
    runUntil([&] { return Got.has_value(); });
    return std::move(*Got);
  }
};

} // namespace

TEST_CASE_FIXTURE(HastyServer,
                  "behind an early answer nothing else is sent there") {
  UpstreamReply Early = exchange(
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
      std::to_string(LongBody) + "\r\n\r\n" + std::string(LongBody, 'x'));
  CHECK(Early.How == CallEnd::Answered);
  CHECK(Early.Body == "ok");
  CHECK(Pool.idle() == 0);
  CHECK(exchange("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n").Body == "ok");
  REQUIRE(FirstBytes.size() == 2);
  CHECK(FirstBytes[1].starts_with("GET /2 "));
}
