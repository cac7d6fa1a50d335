// Guards against bytes that are no HTTP request and are taken for one.
#include "NetRawCaller.h"
#include "shallotshift/http1.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace shallot;

namespace {

struct BrokenRequests : NetFixture {
  BrokenRequests() {
    auto S = attempt([&] {
      return CallerServer::open(Loop, Timers, At, {},
                                [this](const ExchangePtr &E) {
                                  Got.push_back(E->request());
                                  E->reply({200, {}, "ok", false});
                                });
    });
    REQUIRE_MESSAGE(S, S.error().Detail);
    Server = std::move(*S);
  }

  /// What a caller that sends \p Bytes has received once something came.
  std::string answerTo(const std::string &Bytes) {
    RawCaller C(Loop, At);
    C.read();
    C.write(Bytes);
    runUntil([&] { return C.status() != 0; });
    return C.input();
  }

  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint(ownLoopbackIp());
  std::vector<CallerRequest> Got;
  std::unique_ptr<CallerServer> Server;
};

const std::string Start = "PUT /x HTTP/1.1\r\nHost: h\r\n";
const std::string TwoBytes = "Content-Length: 2\r\n\r\nok";

std::vector<std::string> brokenRequests() {
  std::vector<std::string> Forms;
  for (const char *Line :
       {"X A: b", "X-A : b", "X-A\t: b", "X\x01: b", "X\x7f: b", "X[]: b",
        ": b", "no colon", "X-A: b\x01", "X-A: a\rb", "Content-Length : 5",
        "Content-Length: 5", "Content-Length: +2", "Content-Length: 2, 2",
        "Request-Id : other", "Host : x", "Transfer-Encoding : chunked",
        "Transfer-Encoding: chunked"})
    Forms.push_back(fmt::format("{}{}\r\n{}", Start, Line, TwoBytes));
  Forms.push_back(Start + std::string("X\0A: b\r\n", 8) + TwoBytes);
  Forms.push_back("PUT /x HTTP/1.1\r\n X-A: b\r\n" + TwoBytes);
  for (const char *Line : {"Transfer-Encoding: gzip, chunked",
                           "Transfer-Encoding: chunked, chunked"})
    Forms.push_back(Start + Line + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  for (const char *Body :
       {"2x\r\nok\r\n0\r\n\r\n", "2\r\nokxx0\r\n\r\n", "2\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n0\r\nX A: b\r\n\r\n"})
    Forms.push_back(Start + "Transfer-Encoding: chunked\r\n\r\n" + Body);
  for (const char *Line :
       {"PUT /x HTTP/2.0", "PUT /x", "PUT HTTP/1.1", "PUT /x y HTTP/1.1",
        "PUT /\x01 HTTP/1.1", "FROB /x HTTP/1.1", "\x16\x03\x01"})
    Forms.push_back(std::string(Line) + "\r\nHost: h\r\n" + TwoBytes);
  return Forms;
}

} // namespace

TEST_CASE_FIXTURE(BrokenRequests,
                  "a request that breaks the rule is refused as not run") {
  for (const std::string &Bytes : brokenRequests()) {
    CAPTURE(Bytes);
    std::string Answer = answerTo(Bytes);
    CHECK(Answer.starts_with("HTTP/1.1 400 "));
    CHECK(Answer.find("SS1019") != std::string::npos);
    CHECK(Answer.find("Connection: close\r\n") != std::string::npos);
  }
  CHECK(Got.empty());
}

TEST_CASE_FIXTURE(BrokenRequests, "the answer says what was wrong, and repeats "
                                  "nothing behind it") {
  std::string Answer = answerTo(Start + "X A secret: b\r\n" + TwoBytes);
  CHECK(Answer.find(R"(a field name that is no token: \"X \")") !=
        std::string::npos);
  CHECK(Answer.find("secret") == std::string::npos);
}

TEST_CASE_FIXTURE(BrokenRequests, "what the RFCs allow is a request") {
  const std::string Forms[] = {
      Start + TwoBytes,
      "\r\n" + Start + TwoBytes,
      "PUT /x HTTP/1.0\r\n" + TwoBytes,
      "PUT /x HTTP/1.1\nHost: h\nContent-Length: 2\n\nok",
      "PUT /x HTTP/1.1\r\nhOST:h\r\nX-A:\r\n" + TwoBytes,
      "PUT /x HTTP/1.1\r\nHost: h\r\nX-A: a\r\n b\r\n" + TwoBytes,
      Start + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\no\r\n1\r\nk\r\n0\r\n"
              "X-A: b\r\n\r\n"};
  for (const std::string &Bytes : Forms) {
    CAPTURE(Bytes);
    Got.clear();
    CHECK(answerTo(Bytes).starts_with("HTTP/1.1 200 "));
    REQUIRE(Got.size() == 1);
    CHECK(Got[0].Method == "PUT");
    CHECK(Got[0].Target == "/x");
    CHECK(Got[0].Body == "ok");
  }
}
