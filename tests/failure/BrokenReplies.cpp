// Guards against bytes that are no HTTP reply and are taken for one.
#include "NetFixture.h"
#include "RawServer.h"
#include "ReplyForms.h"
#include "shallotshift/http1.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

struct BrokenReplies : NetFixture {
  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint(ownLoopbackIp());
  UpstreamPool Pool{Loop, Timers, {}};
  RawServer Server{Loop, At, [](const RawRequest &) { return RawAct::Answer; }};

  /// What comes for a request that is answered with \p Bytes; nothing while the
  /// reply is not whole.
  std::optional<UpstreamReply> exchange(const std::string &Bytes,
                                        Duration For) {
    Server.Answer = Bytes;
    UpstreamRequest R;
    R.To = At;
    R.Bytes = requestText(requestHead("GET", "/", {}), {}, "");
    std::optional<UpstreamReply> Got;
    auto Id =
        Pool.send(std::move(R), [&](UpstreamReply A) { Got = std::move(A); });
    Instant Until = Loop.now() + For;
    while (!Got && Loop.now() < Until)
      runFor(Millis(1));
    Pool.drop(Id);
    return Got;
  }
  void checkLost(const std::string &Bytes) {
    CAPTURE(Bytes);
    auto Got = exchange(Bytes, Seconds(2));
    REQUIRE(Got);
    CHECK(Got->How == CallEnd::Lost);
    CHECK(Got->Headers.empty());
    CHECK(Got->Body.empty());
    CHECK(Pool.idle() == 0);
  }
};

} // namespace

TEST_CASE_FIXTURE(BrokenReplies, "a head that breaks the rule is no reply, and "
                                 "its connection is closed") {
  for (const std::string &Bytes : test::brokenHeads())
    checkLost(Bytes);
}

TEST_CASE_FIXTURE(BrokenReplies, "a chunked body that breaks the rule is no "
                                 "reply, and its connection is closed") {
  for (const std::string &Bytes : test::brokenChunks())
    checkLost(Bytes);
}

TEST_CASE_FIXTURE(BrokenReplies, "what the RFCs allow is a reply") {
  std::vector<std::string> Sound = test::soundReplies();
  Sound.push_back("HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok");
  for (const std::string &Bytes : Sound) {
    CAPTURE(Bytes);
    auto Got = exchange(Bytes, Seconds(2));
    REQUIRE(Got);
    CHECK(Got->How == CallEnd::Answered);
    CHECK(Got->Status == 200);
    CHECK(Got->Body == "ok");
  }
}

TEST_CASE_FIXTURE(BrokenReplies, "a folded line is one value") {
  auto Got = exchange("HTTP/1.1 200 OK\r\nX-A: a\r\n \t b\r\n\tc\r\n"
                      "Content-Length: 0\r\n\r\n",
                      Seconds(2));
  REQUIRE(Got);
  CHECK(headerValue(Got->Headers, "X-A") == "a b c");
}

TEST_CASE_FIXTURE(BrokenReplies,
                  "a status that has no body ends a reply with its head") {
  for (const std::string Line : {"HTTP/1.1 204 None", "HTTP/1.1 304 Same"}) {
    CAPTURE(Line);
    auto Got = exchange(Line + "\r\nContent-Length: 5\r\n\r\n", Seconds(2));
    REQUIRE(Got);
    CHECK(Got->How == CallEnd::Answered);
    CHECK(Got->Body.empty());
  }
}

TEST_CASE_FIXTURE(BrokenReplies, "trailers are no fields of the head") {
  auto Got = exchange("HTTP/1.1 200 OK\r\nX-A: b\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "2\r\nok\r\n0\r\nX-A: c\r\nNot-Executed: 1\r\n\r\n",
                      Seconds(2));
  REQUIRE(Got);
  CHECK(Got->Headers ==
        HttpHeaders{{"X-A", "b"}, {"Transfer-Encoding", "chunked"}});
}
