// Guards against an exception of one handler that ends the whole process.
#include "NetRawCaller.h"
#include "RawServer.h"
#include "shallotshift/http1.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace shallot;

namespace {

[[noreturn]] void failHere() { throw std::out_of_range("planted"); }

struct FaultFixture : NetFixture {
  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint(ownLoopbackIp());
};

} // namespace

TEST_CASE_FIXTURE(FaultFixture, "timers behind one that fails still run") {
  bool Ran = false;
  Timers.after(Millis(1), failHere);
  Timers.after(Millis(1), [&] { Ran = true; });
  Loop.after(Millis(1), failHere);
  Loop.post(failHere);
  runUntil([&] { return Ran && faultCount() == 3; });
  CHECK(takeFaults() == 3);
}

TEST_CASE_FIXTURE(FaultFixture, "the event loop goes on after a handler that "
                                "contains nothing itself") {
  bool Ran = false;
  asio::post(Loop.context(), failHere);
  Loop.after(Millis(1), [&] {
    Ran = true;
    Loop.stop();
  });
  Loop.run();
  CHECK(Ran);
  CHECK(takeFaults() == 1);
}

TEST_CASE_FIXTURE(FaultFixture,
                  "a handler of callers that fails costs one connection") {
  auto Server = attempt([&] {
    return CallerServer::open(Loop, Timers, At, {}, [](const ExchangePtr &E) {
      if (E->request().Target == "/bad")
        failHere();
      E->reply({200, {}, "ok", false});
    });
  });
  REQUIRE(Server);
  RawCaller Bad(Loop, At);
  RawCaller Good(Loop, At);
  Bad.read();
  Good.read();
  Bad.write("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil([&] { return Bad.closed(); });
  CHECK(Bad.status() == 500);
  Good.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil([&] { return Good.status() == 200; });
  CHECK((*Server)->connections() == 1);
  CHECK(takeFaults() == 1);
}
