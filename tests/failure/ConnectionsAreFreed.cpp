// Guards against connections that stay in memory after they were closed.
#include "NetRawCaller.h"
#include "RawServer.h"
#include "shallotshift/http1.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

constexpr int Connections = 50;

struct FreedFixture : NetFixture {
  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint(ownLoopbackIp());
};

} // namespace

TEST_CASE_FIXTURE(FreedFixture, "callers' connections, however they end") {
  auto Server = attempt([&] {
    return CallerServer::open(Loop, Timers, At, {}, [](const ExchangePtr &E) {
      E->reply({200, {}, "ok", E->request().Target == "/close"});
    });
  });
  REQUIRE(Server);
  for (const char *Bytes : {"", "GET /half", "bad bytes\r\n\r\n",
                            "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                            "GET /close HTTP/1.1\r\nHost: h\r\n\r\n"})
    for (int N = 0; N < Connections; ++N) {
      RawCaller C(Loop, At);
      C.write(Bytes);
      C.read();
      runFor(Millis(1));
    }
  runUntil([&] { return (*Server)->connections() == 0; });
  runFor(Millis(20));
  CHECK(liveConnections() == 0);
}

TEST_CASE_FIXTURE(FreedFixture, "connections to replicas, however they end") {
  RawAct Act = RawAct::Answer;
  RawServer Server{Loop, At, [&](const RawRequest &) { return Act; }};
  Server.Answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                  "Content-Length: 2\r\n\r\nok";
  UpstreamPool Pool{Loop, Timers, {}};
  for (RawAct Next : {RawAct::Answer, RawAct::Close, RawAct::Reset}) {
    Act = Next;
    for (int N = 0; N < Connections; ++N) {
      UpstreamRequest R;
      R.To = At;
      R.Bytes = requestText(requestHead("GET", "/", {}), {}, "");
      bool Ended = false;
      Pool.send(std::move(R), [&](const UpstreamReply &) { Ended = true; });
      runUntil([&] { return Ended; });
    }
  }
  Act = RawAct::Silent;
  UpstreamRequest R;
  R.To = At;
  R.Bytes = requestText(requestHead("GET", "/", {}), {}, "");
  auto Call = Pool.send(std::move(R), [](const UpstreamReply &) {});
  runUntil([&] { return Pool.connectedTo(At); });
  Pool.drop(Call);
  runFor(Millis(20));
  CHECK(liveConnections() == 0);
}
