// Callers see nothing of this but what comes of it: a configuration that never
// arrives. A reply is so large, or a link so full, that it takes longer than
// the time in which a dead sender must be noticed. It comes piece by piece;
// whoever gives up asks for it again from its start. A reply that stops coming,
// or comes for ever, must still be given up.
#include "NetFixture.h"
#include "RawServer.h"
#include "SlowLink.h"

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr std::size_t ReplyBytes = 100000;

std::string reply(std::size_t Promised, std::size_t Sent) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Promised) +
         "\r\n\r\n" + std::string(Sent, 'x');
}

struct LargeReply : NetFixture {
  Endpoint Far = freeEndpoint("127.0.11.7");
  Endpoint Near = freeEndpoint("127.0.11.7");
  RawServer Server{Loop, Far,
                   [](const RawRequest &) { return RawAct::Answer; }};
  SlowLink Link{Loop, ReplyBytes};
  SlowProxy Proxy{Loop, Near, Far, Link};
  HttpClient Client{Loop};

  HttpReply ask(Duration Stall) {
    HttpRequest R;
    R.To = Near;
    R.Timeout = Millis(300);
    R.Stall = Stall;
    return exchange(Client, std::move(R));
  }
};

} // namespace

TEST_CASE_FIXTURE(LargeReply, "a reply that takes longer than the timeout") {
  Server.Answer = reply(ReplyBytes, ReplyBytes);
  HttpReply Whole = ask(Seconds(2));
  CHECK(Whole.arrived());
  CHECK(Whole.Body.size() == ReplyBytes);
  CHECK(ask(Duration(0)).Failure == ResultCode::TransferTimeout);
}

TEST_CASE_FIXTURE(LargeReply, "one that stops is given up") {
  Server.Answer = reply(ReplyBytes, ReplyBytes / 10);
  CHECK(ask(Millis(200)).Failure == ResultCode::TransferTimeout);
}

TEST_CASE_FIXTURE(LargeReply, "one that does not begin is given up") {
  Server.Answer.clear();
  CHECK(ask(Seconds(30)).Failure == ResultCode::TransferTimeout);
}

TEST_CASE_FIXTURE(LargeReply, "how far a reply has come can be asked") {
  Server.Answer = reply(ReplyBytes, ReplyBytes / 10);
  HttpRequest R;
  R.To = Near;
  R.Timeout = Seconds(1);
  bool Ended = false;
  auto Id = Client.send(R, [&](const HttpReply &) { Ended = true; });
  REQUIRE(Client.progress(Id));
  CHECK(Client.progress(Id)->Bytes == 0);
  runUntil([&] { return Client.progress(Id)->Bytes > ReplyBytes / 10; });
  runUntil([&] { return Ended; });
  CHECK_FALSE(Client.progress(Id));
}
