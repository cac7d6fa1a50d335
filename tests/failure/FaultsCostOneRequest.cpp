// Guards against a fault in one request's path that ends the others.
#include "NetFixture.h"
#include "RawServer.h"
#include "front/RequestHandler.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace shallot;

namespace {

/// A request whose reading fails once it has been asked for some times.
struct FailingExchange : Exchange {
  FailingExchange(const std::string &Id, unsigned Reads) : ReadsLeft(Reads) {
    Request.Method = "GET";
    Request.Target = "/";
    Request.Headers = {{"Host", "a.example"}, {"Request-Id", Id}};
  }

  const CallerRequest &request() const override {
    if (ReadsLeft-- == 0)
      throw std::out_of_range("planted");
    return Request;
  }
  void reply(CallerReply R) override {
    if (!Got)
      Got = std::move(R);
  }
  void whenGone(std::function<void()>) override {}

  mutable unsigned ReadsLeft;
  CallerRequest Request;
  std::optional<CallerReply> Got;
};

constexpr unsigned NeverFails = 1000;

struct HandlerFixture : NetFixture {
  HandlerFixture() {
    Route R;
    R.Name = "r";
    R.Host = "a.example";
    R.PathPrefix = "/";
    R.Kind = RetrySemantics::Idempotent;
    R.Timeout = R.Objective = Seconds(2);
    R.Target = ServiceName("s");
    auto C = attempt([&] {
      return ServingConfig::make(1, {R}, {{ServiceName("s"), 100}}, {});
    });
    REQUIRE(C);
    Handler.install(std::make_shared<const ServingConfig>(std::move(*C)));
    Replicas.put({UpstreamId("i-1"),
                  ServiceName("s"),
                  At,
                  AvailabilityZone("z"),
                  Region("r"),
                  8,
                  false,
                  {}},
                 Loop.now());
  }

  static HeaderNames names() {
    HeaderNames N;
    N.RequestId = "Request-Id";
    N.Deadline = "Deadline-Ms";
    N.Signature = "Server-Stamp";
    return N;
  }
  std::shared_ptr<FailingExchange> ask(const std::string &Id, unsigned Reads) {
    auto E = std::make_shared<FailingExchange>(Id, Reads);
    E->Request.Arrived = Loop.now();
    Handler.handle(E);
    return E;
  }

  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint(ownLoopbackIp());
  RawServer Server{Loop, At, [](const RawRequest &) { return RawAct::Answer; }};
  ReplicaRegistry Replicas{{AvailabilityZone("z"), Region("r")}, {}};
  Random Rng{5};
  Metrics Meter;
  RequestHandler Handler{Loop, Timers, names(), Replicas, {}, Rng, Meter};
};

} // namespace

TEST_CASE_FIXTURE(HandlerFixture, "a request whose path fails at any step is "
                                  "answered, and the others are served") {
  Server.Answer = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
                  "Content-Length: 2\r\n\r\nok";
  for (unsigned Reads = 1; Reads <= 2; ++Reads) {
    auto Before = ask("q-before", NeverFails);
    auto Bad = ask("q-bad", Reads);
    auto Behind = ask("q-behind", NeverFails);
    runUntil([&] { return Before->Got && Bad->Got && Behind->Got; });
    CHECK(Before->Got->Status == 200);
    CHECK(Behind->Got->Status == 200);
    CHECK(Bad->Got->Status == 500);
    CHECK(Bad->Got->Body.find("SS9001") != std::string::npos);
    CHECK(takeFaults() == 1);
    CHECK(Handler.inFlight() == 0);
  }
}
