// Guards against requests that are sent outside the allowed regions of their
// route.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

struct TwoRegions : FrontFixture {
  TwoRegions()
      : Abroad(Loop.context(), Store, Log, far("i-9", "p")),
        ShardAbroad(Loop.context(), Store, Log, far("i-8", "s2")) {
    Set.Zones.emplace(AvailabilityZone("far"), Region("abroad"));
    for (RegisteredReplica *R : {&Abroad, &ShardAbroad}) {
      REQUIRE(attempt([&] { return R->listen(); }));
      R->announce("ready");
    }
  }

  static ReplicaShape far(const char *Id, const char *Service) {
    ReplicaShape S;
    S.Id = Id;
    S.Service = Service;
    S.Zone = "far";
    S.At = S.Registered = freeEndpoint(ownLoopbackIp());
    S.WorkMs = 0;
    S.FixedRecord = std::string(16, 'f');
    return S;
  }

  /// The configuration with \p Regions on each route.
  nlohmann::json restricted(int Version, const nlohmann::json &Regions) const {
    nlohmann::json C = config(Version);
    for (nlohmann::json &R : C["routes"])
      R["allowed_regions"] = Regions;
    return C;
  }

  RegisteredReplica Abroad, ShardAbroad;
};

} // namespace

TEST_CASE_FIXTURE(
    TwoRegions, "a request is refused when only replicas elsewhere are left") {
  Store.put("config", "main", restricted(8, {"r"}));
  start();
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 200);
  Pay.announce("draining");
  runFor(Millis(400));
  HttpReply R = get("/p/book", "q-2", "POST", "lane 4");
  CHECK(R.Status == 503);
  CHECK_FALSE(headerValue(R.Headers, "Retry-After").empty());
  CHECK(Abroad.Seen.empty());
}

TEST_CASE_FIXTURE(TwoRegions,
                  "each shard of a search stays in the allowed regions") {
  Store.put("config", "main", restricted(8, {"r"}));
  start();
  Two.announce("draining");
  runFor(Millis(400));
  HttpReply R = get("/x/1", "q-1");
  CHECK(R.Status == 200);
  CHECK(headerValue(R.Headers, "Missing-Parts") == "1");
  CHECK(ShardAbroad.Seen.empty());
}

TEST_CASE_FIXTURE(TwoRegions, "an empty list of regions means no restriction") {
  Store.put("config", "main", restricted(8, nlohmann::json::array()));
  start();
  Pay.announce("draining");
  runFor(Millis(400));
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 200);
  CHECK(Abroad.Seen.size() == 1);
}

TEST_CASE_FIXTURE(TwoRegions, "a change that restricts a route takes effect") {
  start();
  Pay.announce("draining");
  runFor(Millis(400));
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 200);
  Store.put("config", "main", restricted(8, {"r"}));
  runFor(Millis(400));
  CHECK(get("/p/book", "q-2", "POST", "lane 4").Status == 503);
  CHECK(Abroad.Seen.size() == 1);
}
