// Guards against the body of a request that is run as a request of its own.
#include "NetRawCaller.h"
#include "shallotshift/http1.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

const std::string Inside = "POST /inside HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string UploadHead = "PUT /upload HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: " +
                               std::to_string(Inside.size()) + "\r\n\r\n";

struct PipelineFixture : NetFixture {
  PipelineFixture() {
    auto S = attempt([&] {
      return CallerServer::open(Loop, Timers, At, {}, [this](ExchangePtr E) {
        Got.push_back(std::move(E));
      });
    });
    REQUIRE_MESSAGE(S, S.error().Detail);
    Server = std::move(*S);
  }

  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint(ownLoopbackIp());
  std::vector<ExchangePtr> Got;
  std::unique_ptr<CallerServer> Server;
};

} // namespace

// Guards against limits that only the request after the next one meets.
TEST_CASE_FIXTURE(PipelineFixture,
                  "new limits hold from the next request of an open connection "
                  "on") {
  RawCaller C(Loop, At);
  C.read();
  C.write("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil([&] { return Got.size() == 1; });
  Got[0]->reply({200, {}, "ok", false});
  CallerServerOptions Small;
  Small.MaxBodyBytes = Inside.size() - 1;
  Server->setOptions(Small);
  runUntil([&] { return C.status() == 200; });
  C.write(UploadHead);
  runUntil([&] { return C.input().find("413") != std::string::npos; });
  CHECK(Got.size() == 1);
}

TEST_CASE_FIXTURE(PipelineFixture,
                  "a body that comes while the answer before is being sent "
                  "stays behind its head") {
  constexpr std::size_t MoreThanTheKernelTakes = 8 << 20;
  RawCaller C(Loop, At);
  C.write("GET /first HTTP/1.1\r\nHost: h\r\n\r\n" + UploadHead);
  runUntil([&] { return Got.size() == 1; });
  Got[0]->reply({200, {}, std::string(MoreThanTheKernelTakes, 'x'), false});
  C.write(Inside);
  runFor(Millis(50));
  C.read();
  runUntil([&] { return Got.size() == 2; });
  runFor(Millis(20));
  REQUIRE(Got.size() == 2);
  CHECK(Got[1]->request().Target == "/upload");
  CHECK(Got[1]->request().Body == Inside);
}
