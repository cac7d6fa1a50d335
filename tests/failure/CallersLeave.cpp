// What the caller does: it closes its connection while its request runs, or in
// the middle of sending one. What must happen: the handler hears of it at once,
// so that replicas stop working for nobody, and nothing of it reaches the next
// caller. A caller that keeps its connection is always answered.
#include "NetRawCaller.h"
#include "shallotshift/http1.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

struct CallerFixture : NetFixture {
  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint("127.0.0.1");
  std::vector<ExchangePtr> Got;
  unsigned Gone = 0;
  std::unique_ptr<CallerServer> Server = open({});

  std::unique_ptr<CallerServer> open(CallerServerOptions O) {
    auto S = attempt([&] {
      return CallerServer::open(Loop, Timers, At, O, [this](ExchangePtr E) {
        E->whenGone([this] { ++Gone; });
        Got.push_back(std::move(E));
      });
    });
    REQUIRE_MESSAGE(S, S.error().Detail);
    return std::move(*S);
  }
  void waitFor(std::size_t Requests) {
    runUntil([&] { return Got.size() >= Requests; });
  }
};

const std::string Get = "GET /a/../b?x=%2f HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE_FIXTURE(CallerFixture, "a caller that leaves is noticed at once") {
  {
    RawCaller C(Loop, At);
    C.write(Get);
    waitFor(1);
    CHECK(Gone == 0);
  }
  runUntil([&] { return Gone == 1; });
  Got.front()->reply({});
  CHECK(Server->connections() == 0);
}

TEST_CASE_FIXTURE(CallerFixture, "a request comes as it was sent") {
  RawCaller C(Loop, At);
  C.write("POST /a/../b?x=%2f HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  waitFor(1);
  const CallerRequest &R = Got.front()->request();
  CHECK(R.Method == "POST");
  CHECK(R.Target == "/a/../b?x=%2f");
  CHECK(R.path() == "/a/../b");
  CHECK(R.Body == "abcde");
  CHECK(headerValue(R.Headers, "x-one") == "1");
  Got.front()->reply({});
}

TEST_CASE_FIXTURE(CallerFixture,
                  "requests on one connection are answered in turn") {
  RawCaller C(Loop, At);
  C.read();
  C.write(Get + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
  waitFor(1);
  runFor(Millis(20));
  CHECK(Got.size() == 1);
  CallerReply First;
  First.Body = "one";
  Got.front()->reply(First);
  waitFor(2);
  CHECK(Got[1]->request().Target == "/second");
  CallerReply Second;
  Second.Body = "two";
  Got[1]->reply(Second);
  runUntil([&] { return C.input().find("two") != std::string::npos; });
  CHECK(C.input().find("one") < C.input().find("two"));
}

TEST_CASE_FIXTURE(CallerFixture, "a second answer changes nothing") {
  RawCaller C(Loop, At);
  C.read();
  C.write(Get);
  waitFor(1);
  Got.front()->reply({200, {}, "one", false});
  Got.front()->reply({200, {}, "two", false});
  runFor(Millis(30));
  CHECK(C.input().find("one") != std::string::npos);
  CHECK(C.input().find("two") == std::string::npos);
}

TEST_CASE_FIXTURE(CallerFixture,
                  "a handler that forgets its exchange answers 500") {
  RawCaller C(Loop, At);
  C.read();
  C.write(Get);
  waitFor(1);
  Got.clear();
  runUntil([&] { return C.status() != 0; });
  CHECK(C.status() == 500);
}

TEST_CASE_FIXTURE(CallerFixture,
                  "a stop closes behind answers and cuts off nobody") {
  RawCaller Busy(Loop, At);
  RawCaller Idle(Loop, At);
  Busy.read();
  Idle.read();
  Busy.write(Get);
  waitFor(1);
  Server->closeAfterReply();
  Server->stopAccepting();
  runFor(Millis(20));
  CHECK(Server->closeIdle() == 1);
  runUntil([&] { return Idle.closed(); });
  CHECK_FALSE(Idle.reset());
  Got.front()->reply({200, {}, "done", false});
  runUntil([&] { return Busy.closed(); });
  CHECK(Busy.input().find("done") != std::string::npos);
  CHECK(Busy.input().find("Connection: close") != std::string::npos);
}

TEST_CASE_FIXTURE(CallerFixture, "a stop tells the caller of half a request "
                                 "that it has not run, and drops the rest") {
  RawCaller Half(Loop, At);
  Half.read();
  Half.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  runFor(Millis(20));
  CHECK(Server->closeIdle() == 1);
  Server->refuseUnfinished(ResultCode::Leaving, "stopping");
  Half.write("cd");
  runUntil([&] { return Half.status() != 0; });
  CHECK(Half.status() == 503);
  CHECK(Half.problem()["effect"] == "not run");
  runFor(Millis(20));
  CHECK(Got.empty());
}

TEST_CASE_FIXTURE(CallerFixture,
                  "a close that crosses the reply harms nobody else") {
  constexpr std::size_t MoreThanTheKernelTakes = 8 << 20;
  {
    RawCaller C(Loop, At);
    C.write(Get);
    waitFor(1);
    Got.front()->reply(
        {200, {}, std::string(MoreThanTheKernelTakes, 'x'), false});
    runFor(Millis(5));
  }
  runUntil([&] { return Server->connections() == 0; });
  RawCaller Next(Loop, At);
  Next.read();
  Next.write(Get);
  waitFor(2);
  Got.back()->reply({200, {}, "mine", false});
  runUntil([&] { return Next.status() != 0; });
  CHECK(Next.input().ends_with("mine"));
  CHECK(Next.input().find("xx") == std::string::npos);
}

TEST_CASE_FIXTURE(CallerFixture,
                  "with many connections answers close theirs, in order") {
  CallerServerOptions O;
  O.MaxConnections = 4;
  Server->setOptions(O);
  RawCaller First(Loop, At);
  First.read();
  First.write(Get);
  waitFor(1);
  Got.front()->reply({200, {}, "kept", false});
  runUntil([&] { return First.status() != 0; });
  CHECK(First.input().find("Connection: close") == std::string::npos);
  RawCaller Second(Loop, At);
  RawCaller Third(Loop, At);
  Third.read();
  Third.write(Get);
  waitFor(2);
  Got.back()->reply({200, {}, "done", false});
  runUntil([&] { return Third.closed(); });
  CHECK_FALSE(Third.reset());
  CHECK(Third.input().find("done") != std::string::npos);
  CHECK(Third.input().find("Connection: close") != std::string::npos);
}

TEST_CASE_FIXTURE(CallerFixture,
                  "half a request is told so, and an idle caller let go") {
  CallerServerOptions O;
  O.HeaderTimeout = Millis(60);
  O.IdleTimeout = Millis(60);
  Server->setOptions(O);
  RawCaller Half(Loop, At);
  Half.read();
  Half.write("GET / HTTP/1.1\r\nHost");
  runUntil([&] { return Half.status() != 0; });
  CHECK(Half.status() == 408);
  CHECK(Half.problem()["effect"] == "not run");
  CHECK(Got.empty());
}

TEST_CASE_FIXTURE(CallerFixture,
                  "what breaks a limit is refused with its reason") {
  CallerServerOptions O;
  O.MaxBodyBytes = 10;
  O.MaxHeaderBytes = 200;
  Server->setOptions(O);
  const std::vector<std::pair<std::string, int>> Bad = {
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", 413},
      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "f\r\n123456789012345\r\n0\r\n\r\n",
       413},
      {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'x') + "\r\n\r\n",
       431},
      {"no request at all\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400}};
  // Limits hold for requests that begin after they were set.
  for (const auto &[Bytes, Status] : Bad) {
    RawCaller C(Loop, At);
    C.read();
    C.write(Bytes);
    runUntil([&] { return C.status() != 0; });
    CHECK(C.status() == Status);
    CHECK(C.problem()["effect"] == "not run");
  }
  CHECK(Got.empty());
}
