// Guards against broken replies that HttpClient takes, or that end the process.
#include "NetFixture.h"
#include "RawServer.h"
#include "ReplyForms.h"

using namespace shallot;

namespace {

struct BrokenRepliesToClients : NetFixture {
  Endpoint At = freeEndpoint(ownLoopbackIp());
  RawServer Server{Loop, At, [](const RawRequest &) { return RawAct::Answer; }};
  HttpClient Client{Loop};

  HttpReply ask(const std::string &Bytes) {
    Server.Answer = Bytes;
    HttpRequest R;
    R.Method = "POST";
    R.To = At;
    R.Body = "x";
    R.Rule = Repeat::Never;
    R.Timeout = Seconds(2);
    return exchange(Client, R);
  }
};

} // namespace

TEST_CASE_FIXTURE(BrokenRepliesToClients,
                  "a reply that begins with a folded field ends no process") {
  const std::string Sound = "HTTP/1.1 200 OK\r\nX-A: b\r\n"
                            "Content-Length: 2\r\n\r\nok";
  for (const char *First : {" X-A: b", "\tX-A: b", " "}) {
    CHECK(ask(Sound).arrived());
    ask(std::string("HTTP/1.1 200 OK\r\n") + First +
        "\r\nContent-Length: 2\r\n\r\nok");
  }
  CHECK(ask(Sound).arrived());
}

TEST_CASE_FIXTURE(BrokenRepliesToClients,
                  "a head that breaks the rule is no reply") {
  for (const std::string &Bytes : test::brokenHeads()) {
    CAPTURE(Bytes);
    HttpReply Got = ask(Bytes);
    CHECK_FALSE(Got.arrived());
    CHECK(Got.Failure != ResultCode::TransferTimeout);
    CHECK_FALSE(provesNotRun(Got.Failure));
  }
}

TEST_CASE_FIXTURE(BrokenRepliesToClients, "what the RFCs allow is a reply") {
  for (const std::string &Bytes : test::soundReplies()) {
    CAPTURE(Bytes);
    HttpReply Got = ask(Bytes);
    CHECK(Got.arrived());
    CHECK(Got.Status == 200);
    CHECK(Got.Body == "ok");
  }
}

TEST_CASE_FIXTURE(BrokenRepliesToClients,
                  "fields without end are given up, trailers too") {
  std::string Fields;
  for (int N = 0; N < 1000; ++N)
    Fields += "a:\r\n";
  CHECK(ask("HTTP/1.1 200 OK\r\n" + Fields).Failure ==
        ResultCode::UpstreamBadReply);
  CHECK(ask("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\nok\r\n0\r\n" +
            Fields)
            .Failure == ResultCode::UpstreamBadReply);
  std::string Folded = "X-A: b\r\n";
  for (int N = 0; N < 1000; ++N)
    Folded += " b\r\n";
  CHECK(ask("HTTP/1.1 200 OK\r\n" + Folded).Failure ==
        ResultCode::UpstreamBadReply);
}

TEST_CASE_FIXTURE(BrokenRepliesToClients,
                  "trailers are no fields of the head") {
  HttpReply Got = ask("HTTP/1.1 200 OK\r\nX-A: b\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "2\r\nok\r\n0\r\nX-A: c\r\nNot-Executed: 1\r\n\r\n");
  CHECK(Got.arrived());
  CHECK(Got.Headers ==
        HttpHeaders{{"X-A", "b"}, {"Transfer-Encoding", "chunked"}});
}
