// Guards against messages without end that take all memory or never give up.
#include "NetRawCaller.h"
#include "http1/MessageReader.h"
#include "shallotshift/http1.h"

#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace shallot;

namespace {

constexpr std::size_t Bound = 1 << 20;

/// A server whose replies to "/endless" never end. Others get a body of half of
/// the bound, in small pieces.
class EndlessServer {
public:
  EndlessServer(EventLoop &Loop, const Endpoint &At)
      : Acceptor(Loop.context(), {asio::ip::make_address(At.Ip), At.Port}) {
    accept();
  }

  unsigned Ended = 0; ///< Connections that the other end closed.

private:
  struct Peer {
    explicit Peer(asio::ip::tcp::socket S) : Socket(std::move(S)) {}
    asio::ip::tcp::socket Socket;
    std::array<char, 4096> Input;
    std::string Output;
    std::size_t Left = Bound / 2;
    bool Endless = false;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  void accept() {
    Acceptor.async_accept([this](auto Failed, asio::ip::tcp::socket S) {
      if (Failed)
        return;
      auto P = std::make_shared<Peer>(std::move(S));
      P->Socket.async_read_some(asio::buffer(P->Input),
                                [this, P](auto E, std::size_t Size) {
                                  if (!E)
                                    begin(P, {P->Input.data(), Size});
                                });
      accept();
    });
  }
  void begin(const PeerPtr &P, std::string_view Request) {
    P->Endless = Request.find("/endless") != std::string_view::npos;
    P->Output = P->Endless ? "HTTP/1.1 200 OK\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                           : "HTTP/1.1 200 OK\r\nContent-Length: " +
                                 std::to_string(P->Left) + "\r\n\r\n";
    send(P);
  }
  void send(const PeerPtr &P) {
    asio::async_write(
        P->Socket, asio::buffer(P->Output), [this, P](auto E, std::size_t) {
          if (E) {
            ++Ended;
            return;
          }
          if (P->Endless)
            P->Output = "1000\r\n" + std::string(4096, 'x') + "\r\n";
          else
            P->Output = std::string(std::min<std::size_t>(P->Left, 4096), 'y');
          P->Left -= P->Endless ? 0 : P->Output.size();
          if (!P->Output.empty())
            send(P);
        });
  }

  asio::ip::tcp::acceptor Acceptor;
};

struct EndlessFixture : NetFixture {
  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint(ownLoopbackIp());

  UpstreamRequest request(const std::string &Path) const {
    UpstreamRequest R;
    R.To = At;
    R.Bytes = requestText(requestHead("GET", Path, {}), {}, "");
    return R;
  }
};

} // namespace

TEST_CASE_FIXTURE(EndlessFixture,
                  "bodies of replies without end are given up, the largest "
                  "first, and a sound one comes whole") {
  EndlessServer Server(Loop, At);
  UpstreamPoolOptions O;
  O.MaxBufferedBytes = Bound;
  UpstreamPool Pool(Loop, Timers, O);
  constexpr unsigned Endless = 12;
  unsigned Lost = 0;
  for (unsigned N = 0; N < Endless; ++N)
    Pool.send(request("/endless"), [&](const UpstreamReply &R) {
      CHECK(R.How == CallEnd::Lost);
      ++Lost;
    });
  std::optional<UpstreamReply> Sound;
  Pool.send(request("/sound"), [&](UpstreamReply R) { Sound = std::move(R); });
  std::size_t Most = 0;
  runUntil([&] {
    Most = std::max(Most, Pool.bufferedBytes());
    return Lost == Endless && Sound;
  });
  CHECK(Most <= Bound);
  CHECK(Sound->How == CallEnd::Answered);
  CHECK(Sound->Body.size() == Bound / 2);
  CHECK(Pool.counters().TooLarge == Endless);
  CHECK(Pool.bufferedBytes() == 0);
  runUntil([&] { return Server.Ended == Endless; });
}

TEST_CASE("heads of class 1xx without end are no reply") {
  internal::MessageReader R(MessageKind::Reply, {});
  for (int N = 0; N < 1000; ++N)
    R.feed("HTTP/1.1 100 Continue\r\n\r\n");
  CHECK(R.state() == internal::ReadState::Malformed);
}

TEST_CASE("many short header lines count with the memory that they take") {
  for (auto Kind : {MessageKind::Request, MessageKind::Reply}) {
    internal::MessageReader R(Kind, {});
    R.feed(Kind == MessageKind::Request ? "GET / HTTP/1.1\r\n"
                                        : "HTTP/1.1 200 OK\r\n");
    constexpr std::size_t Lines = 10000;
    for (std::size_t N = 0; N < Lines; ++N)
      R.feed("a:\r\n");
    REQUIRE(R.state() == internal::ReadState::Headers);
    CHECK(R.heldBytes() >= Lines * sizeof(HttpHeader));
  }
}

TEST_CASE_FIXTURE(EndlessFixture,
                  "requests that arrive without end are refused as not run, "
                  "the largest first, and others are served") {
  CallerServerOptions O;
  O.MaxBodyBytes = Bound;
  O.MaxBufferedBytes = Bound;
  std::vector<std::size_t> Bodies;
  auto Opened = attempt([&] {
    return CallerServer::open(Loop, Timers, At, O, [&](const ExchangePtr &E) {
      Bodies.push_back(E->request().Body.size());
      E->reply({200, {}, "ok", false});
    });
  });
  REQUIRE(Opened);
  CallerServer &Server = **Opened;
  std::vector<std::unique_ptr<RawCaller>> Large;
  for (int N = 0; N < 8; ++N) {
    Large.push_back(std::make_unique<RawCaller>(Loop, At));
    Large.back()->read();
    Large.back()->write("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 600000"
                        "\r\n\r\n" +
                        std::string(590000, 'x'));
  }
  RawCaller Small(Loop, At);
  Small.read();
  Small.write("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
  std::size_t Most = 0;
  auto Refused = [&] {
    return std::ranges::count_if(Large,
                                 [](auto &C) { return C->status() == 503; });
  };
  runUntil([&] {
    Most = std::max(Most, Server.bufferedBytes());
    return Refused() >= 7 && Small.status() == 200;
  });
  CHECK(Most <= Bound);
  CHECK(Bodies == std::vector<std::size_t>{2});
  for (auto &C : Large)
    if (C->status() == 503)
      CHECK(C->input().find("SS2016") != std::string::npos);
}
