// Runs a whole daemon against stand-ins that use the wire format of the
// deployment: searches are merged, actions are forwarded unchanged,
// configuration changes are applied, and a shutdown cuts off no request.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

TEST_CASE_FIXTURE(FrontFixture, "a search is merged from all shards") {
  start();
  HttpReply R = get("/x/1?q=%2f");
  CHECK(R.Status == 200);
  CHECK(R.Body == std::string(16, 'b') + std::string(16, 'a'));
  CHECK(headerValue(R.Headers, "Part-Stamps") == "i-1.q-1.1, i-2.q-1.1");
  CHECK(headerValue(R.Headers, "Missing-Parts").empty());
  REQUIRE(One.Seen.size() == 1);
  CHECK(One.Seen[0].Path == "/x/1");
  CHECK(One.Seen[0].Query == "q=%2f");
  CHECK(headerValue(One.Seen[0].Headers, "Request-Id") == "q-1");
  CHECK(headerValue(One.Seen[0].Headers, "Host") == "a.example");
  int Left =
      std::stoi(std::string(headerValue(One.Seen[0].Headers, "Deadline-Ms")));
  CHECK(Left <= 800);
  CHECK(Left > 600);
}

TEST_CASE_FIXTURE(FrontFixture, "a failed shard is reported as missing") {
  Two.Instead = [](const WireConnectionPtr &C, const WireRequest &) {
    WireReply R;
    R.Status = 500;
    R.Headers = {{"Server-Stamp", "i-2.9"}};
    C->reply(R);
    return true;
  };
  start();
  HttpReply R = get("/x/1");
  CHECK(R.Status == 200);
  CHECK(R.Body == std::string(16, 'a'));
  CHECK(headerValue(R.Headers, "Part-Stamps") == "i-1.q-1.1");
  CHECK(headerValue(R.Headers, "Missing-Parts") == "1");
}

TEST_CASE_FIXTURE(FrontFixture,
                  "an action and its reply are forwarded unchanged") {
  start();
  HttpReply R = get("/p/book", "q-2", "POST", "lane 4");
  CHECK(R.Status == 200);
  CHECK(R.Body == std::string(16, 'p'));
  CHECK(headerValue(R.Headers, "Server-Stamp") == "i-3.q-2.1");
  REQUIRE(Pay.Seen.size() == 1);
  CHECK(Pay.Seen[0].Method == "POST");
  CHECK(Pay.Seen[0].Body == "lane 4");
}

TEST_CASE_FIXTURE(FrontFixture, "refusals are honest") {
  start();
  CHECK(get("/none").Status == 404);
  Pay.announce("draining");
  runFor(Millis(100));
  HttpReply R = get("/p/book", "q-3", "POST", "lane 4");
  CHECK(R.Status == 503);
  CHECK_FALSE(headerValue(R.Headers, "Retry-After").empty());
  CHECK(Pay.Seen.empty());
}

TEST_CASE_FIXTURE(FrontFixture,
                  "a request is not run by another replica at the address") {
  start();
  nlohmann::json Moved = Pay.registration("ready");
  Moved["address"] = One.shape().At.str();
  Store.put("servers", Pay.id(), Moved);
  runFor(Millis(100));
  HttpReply R = get("/p/book", "q-4", "POST", "lane 4");
  CHECK(R.Status == 503);
  CHECK(One.Seen.size() >= 1); // It replied 421, so it did not run it.
}

TEST_CASE_FIXTURE(FrontFixture,
                  "a newer configuration is applied, an older one never") {
  start();
  Store.put("config", "main", config(9, 1.0));
  runFor(Millis(200));
  CHECK(Daemon->configVersion() == 9);
  Store.put("config", "main", config(8));
  runFor(Millis(200));
  CHECK(Daemon->configVersion() == 9);
  nlohmann::json Broken = config(10);
  Broken["routes"][0]["path_prefix"] = "x";
  Store.put("config", "main", Broken);
  runFor(Millis(200));
  CHECK(Daemon->configVersion() == 9);
  CHECK(get("/x/1").Status == 200);
}

TEST_CASE_FIXTURE(FrontFixture,
                  "an outage of the store does not affect callers") {
  start();
  Store.setFaults({.Mode = StoreMode::Busy});
  runFor(Seconds(3));
  CHECK(get("/x/1").Status == 200);
  Store.setFaults({});
  Store.put("config", "main", config(12));
  runFor(Seconds(2));
  CHECK(Daemon->configVersion() == 12);
}

TEST_CASE_FIXTURE(FrontFixture,
                  "directory, readiness and metrics endpoints respond") {
  start();
  HttpReply R = ask(Set.Directory, "/resolve?name=a.example&region=r&zone=z");
  CHECK(R.Status == 200);
  auto Doc = nlohmann::json::parse(R.Body);
  CHECK(Doc["addrs"] == nlohmann::json({Set.Callers.str()}));
  get("/x/1");
  R = ask(Set.Metrics, "/metrics");
  CHECK(R.Body.find("shallot_forward_answers_total{route=\"search\","
                    "outcome=\"complete\"} 1") != std::string::npos);
}

TEST_CASE_FIXTURE(FrontFixture, "reports of slow replicas are off without a "
                                "port, and idle in a small region") {
  constexpr const char *Held = "shallot_replicas_held";
  SUBCASE("no port") {
    start();
    CHECK(ask(Set.Metrics, "/metrics").Body.find(Held) == std::string::npos);
  }
  SUBCASE("a port") {
    Set.Reports = freeEndpoint(ownLoopbackIp());
    start();
    CHECK(get("/x/1").Status == 200);
    runFor(3 * ReportPeriod);
    std::string Page = ask(Set.Metrics, "/metrics").Body;
    CHECK(Page.find("shallot_replicas_held 0") != std::string::npos);
    CHECK(Page.find("shallot_replica_reports_sent_bytes 0") !=
          std::string::npos);
  }
}

TEST_CASE_FIXTURE(FrontFixture, "a shutdown answers requests that were read") {
  start();
  Pay.Instead = [this](const WireConnectionPtr &C, const WireRequest &) {
    Loop.after(Millis(400), [C] {
      WireReply R;
      R.Headers = {{"Server-Stamp", "i-3.1"}};
      R.Body = "booked";
      C->reply(R);
    });
    return true;
  };
  std::optional<HttpReply> Got;
  HttpRequest R;
  R.Method = "POST";
  R.To = Set.Callers;
  R.Path = "/p/book";
  R.Headers = {{"Host", "a.example"}, {"Request-Id", "q-5"}};
  R.Body = "lane 4";
  Http.send(std::move(R), [&](HttpReply A) { Got = std::move(A); });
  runUntil([&] { return !Pay.Seen.empty(); });
  bool Gone = false;
  Instant Began = Loop.now();
  Daemon->requestStop([&] { Gone = true; });
  CHECK(ask(Set.Readiness, "/readiness").Status == 503);
  CHECK(ask(Set.Directory, "/resolve?zone=z").Status == 503);
  // Callers that still have the address cached are served.
  CHECK(get("/x/1").Status == 200);
  runUntil([&] { return Gone; });
  REQUIRE(Got);
  CHECK(Got->Body == "booked");
  CHECK(Loop.now() - Began < Set.StopGrace);
}

TEST_CASE_FIXTURE(FrontFixture,
                  "a caller that disconnects cancels the work of replicas") {
  start();
  WireConnectionPtr Held;
  Two.Instead = [&](const WireConnectionPtr &C, const WireRequest &) {
    Held = C;
    return true;
  };
  HttpRequest R;
  R.To = Set.Callers;
  R.Path = "/x/1";
  R.Headers = {{"Host", "a.example"}, {"Request-Id", "q-6"}};
  auto Id = Http.send(std::move(R), [](const HttpReply &) {});
  runUntil([&] { return Held != nullptr; });
  Http.cancel(Id);
  runFor(Millis(450));
  CHECK_FALSE(Held->open()); // The replica stops working on it.
  HttpReply Page = ask(Set.Metrics, "/metrics");
  CHECK(Page.Body.find("shallot_forward_gone_total 1") != std::string::npos);
  CHECK(Page.Body.find("shallot_in_flight 0") != std::string::npos);
}
