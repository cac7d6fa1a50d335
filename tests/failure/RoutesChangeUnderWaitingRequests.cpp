// Guards against requests that wait while a version changes their route.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

using Json = nlohmann::json;

/// An organisation with a quota, whose requests wait until the daemon owns the
/// account, and one without.
struct WaitingForToken : FrontFixture {
  WaitingForToken() {
    // In a zone that nobody is in, an owner waits before it grants.
    Set.Zones[AvailabilityZone("other")] = Region("r");
    Store.put("config", "main", withQuota(8));
  }

  Json withQuota(int Version) const {
    Json C = config(Version);
    for (Json &R : C["routes"]) {
      R["timeout_ms"] = 9000;
      R["target_latency_ms"] = 8000;
    }
    C["tenants"] = {{{"name", "acme"},
                     {"api_keys", {"key-a"}},
                     {"rate_per_s", 100},
                     {"burst", 10}},
                    {{"name", "blue"}, {"api_keys", {"key-b"}}}};
    return C;
  }
  void ask(const char *Path, const char *Key, std::optional<HttpReply> &Got) {
    HttpRequest R;
    R.Method = "POST";
    R.To = Set.Callers;
    R.Path = Path;
    R.Headers = {{"Host", "a.example"},
                 {"Request-Id", Path},
                 {"Deadline-Ms", "9000"},
                 {"Authorization", std::string("Token ") + Key}};
    R.Body = "lane 4";
    R.Timeout = Seconds(10);
    Http.send(std::move(R), [&Got](HttpReply A) { Got = std::move(A); });
  }
  /// The answer to a booking that waits for a token while \p Next is installed.
  HttpReply bookWhile(Json Next) {
    start();
    std::optional<HttpReply> Waits;
    ask("/p/waits", "key-a", Waits);
    runFor(Millis(30));
    REQUIRE_FALSE(Waits);
    REQUIRE(Pay.Seen.empty());
    Store.put("config", "main", std::move(Next));
    runUntil([&] { return Daemon->configVersion() == 9; });
    std::optional<HttpReply> Other;
    ask("/x/other", "key-b", Other);
    runUntil([&] { return Other && Waits; });
    CHECK(Other->Status == 200);
    return std::move(*Waits);
  }
  void isToldNotRun(const HttpReply &R) {
    CHECK(R.Status == 503);
    CHECK(R.Body.find("SS2015") != std::string::npos);
    CHECK(Pay.Seen.empty());
  }
};

} // namespace

TEST_CASE_FIXTURE(WaitingForToken, "its route is removed") {
  Json C = withQuota(9);
  C["routes"].erase(1);
  isToldNotRun(bookWhile(C));
}

TEST_CASE_FIXTURE(WaitingForToken, "its route has another objective and rank") {
  Json C = withQuota(9);
  C["routes"][1]["target_latency_ms"] = 200;
  C["routes"][1]["priority"] = 4;
  isToldNotRun(bookWhile(C));
}

TEST_CASE_FIXTURE(WaitingForToken, "its route leads to another service") {
  Json C = withQuota(9);
  C["routes"][1]["service"] = "s1";
  isToldNotRun(bookWhile(C));
}

TEST_CASE_FIXTURE(WaitingForToken, "its organisation is removed") {
  Json C = withQuota(9);
  C["tenants"].erase(0);
  isToldNotRun(bookWhile(C));
}

TEST_CASE_FIXTURE(WaitingForToken, "a version that keeps its route runs it") {
  Json C = withQuota(9);
  C["routes"][0]["target_latency_ms"] = 200;
  CHECK(bookWhile(C).Status == 200);
  CHECK(Pay.Seen.size() == 1);
}
