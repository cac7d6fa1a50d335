// Guards against a reply that ends within its head and is taken for a whole
// one.
#include "NetFixture.h"
#include "RawServer.h"

#include <string_view>

using namespace shallot;

namespace {

constexpr std::string_view Whole = "HTTP/1.1 200 OK\r\n"
                                   "Content-Type: application/json\r\n"
                                   "Content-Length: 2\r\n"
                                   "\r\n"
                                   "ok";
constexpr std::string_view WithoutLength = "HTTP/1.1 200 OK\r\n"
                                           "Connection: close\r\n"
                                           "\r\n";

HttpReply ask(std::string_view Sent) {
  NetFixture Net;
  const Endpoint At = freeEndpoint("127.0.11.17");
  RawServer Server(Net.Loop, At,
                   [](const RawRequest &) { return RawAct::AnswerAndClose; });
  Server.Answer = std::string(Sent);
  HttpClient Client(Net.Loop);
  HttpRequest R;
  R.Method = "POST";
  R.To = At;
  R.Body = "x";
  R.Rule = Repeat::Never;
  return Net.exchange(Client, R);
}

} // namespace

TEST_CASE("a reply is whole with its last byte and not before") {
  for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
    CAPTURE(Size);
    HttpReply Reply = ask(Whole.substr(0, Size));
    CHECK_FALSE(Reply.arrived());
    CHECK_FALSE(provesNotRun(Reply.Failure));
  }
  CHECK(ask(Whole).arrived());
}

TEST_CASE("a reply without a length is whole once its head is") {
  for (std::size_t Size = 0; Size < WithoutLength.size(); ++Size) {
    CAPTURE(Size);
    CHECK_FALSE(ask(WithoutLength.substr(0, Size)).arrived());
  }
  CHECK(ask(WithoutLength).arrived());
}
