// Guards against replies of the store, a peer or an upstream that are broken
// and end the process.
#include "NetFixture.h"
#include "RawServer.h"

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
