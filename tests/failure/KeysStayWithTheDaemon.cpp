// Guards against keys that reach replicas and requests without a known key.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

struct TwoOrganisations : FrontFixture {
  TwoOrganisations() { Store.put("config", "main", withKeys(8)); }

  /// The configuration with two organisations and a public action.
  nlohmann::json withKeys(int Version) const {
    nlohmann::json C = config(Version);
    C["routes"][1]["public"] = true;
    C["tenants"] = {{{"name", "acme"}, {"api_keys", {"key-a1", "key-a2"}}},
                    {{"name", "blue"}, {"api_keys", {"key-b1"}}}};
    return C;
  }

  HttpReply getAs(HttpHeaders Credentials, const std::string &Id,
                  const std::string &Path = "/x/1") {
    HttpRequest R;
    R.To = Set.Callers;
    R.Path = Path;
    R.Headers = {
        {"Host", "a.example"}, {"Request-Id", Id}, {"Deadline-Ms", "800"}};
    R.Headers.insert(R.Headers.end(), Credentials.begin(), Credentials.end());
    return exchange(Http, std::move(R));
  }

  HttpReply getWithKey(const std::string &Key, const std::string &Id) {
    return getAs({{"Authorization", "Token " + Key}}, Id);
  }
};

} // namespace

TEST_CASE_FIXTURE(TwoOrganisations,
                  "a replica sees the organisation and not the key") {
  start();
  HttpReply R =
      getAs({{"authorization", "token key-a2"}, {"Tenant", "blue"}}, "q-1");
  CHECK(R.Status == 200);
  REQUIRE(One.Seen.size() == 1);
  CHECK(headerValue(One.Seen[0].Headers, "Authorization").empty());
  CHECK(headerValue(One.Seen[0].Headers, "Tenant") == "acme");
  auto IsTenant = [](const HttpHeader &H) {
    return sameHeaderName(H.Name, "Tenant");
  };
  CHECK(std::ranges::count_if(One.Seen[0].Headers, IsTenant) == 1);
  CHECK(ask(Set.Metrics, "/metrics").Body.find("key-a2") == std::string::npos);
}

TEST_CASE_FIXTURE(TwoOrganisations,
                  "a request without a known key is refused") {
  start();
  const std::vector<HttpHeaders> Bad = {
      {},
      {{"Authorization", "Token key-c1"}},
      {{"Authorization", "Token"}},
      {{"Authorization", "Token "}},
      {{"Authorization", "Token key-a"}},
      {{"Authorization", "Bearer key-a1"}},
      {{"Authorization", "key-a1"}},
      {{"Authorization", "Token key-a1"}, {"Authorization", "Token key-b1"}}};
  for (const HttpHeaders &Credentials : Bad) {
    HttpReply R = getAs(Credentials, "q-1");
    CHECK(R.Status == 401);
    CHECK(headerValue(R.Headers, "WWW-Authenticate") == "Token");
    CHECK(R.Body.find("key-") == std::string::npos);
  }
  CHECK(One.Seen.empty());
}

TEST_CASE_FIXTURE(TwoOrganisations, "a public route needs no key") {
  start();
  CHECK(getAs({}, "q-1", "/p/1").Status == 200);
  CHECK(getAs({{"Authorization", "Token key-c1"}, {"Tenant", "acme"}}, "q-2",
              "/p/1")
            .Status == 200);
  REQUIRE(Pay.Seen.size() == 2);
  for (const WireRequest &R : Pay.Seen) {
    CHECK(headerValue(R.Headers, "Authorization").empty());
    CHECK(headerValue(R.Headers, "Tenant").empty());
  }
}

TEST_CASE_FIXTURE(TwoOrganisations,
                  "a key that was taken away ends on open connections") {
  start();
  CHECK(getWithKey("key-a1", "q-1").Status == 200);
  nlohmann::json Fewer = withKeys(9);
  Fewer["tenants"][0]["api_keys"] = {"key-a2"};
  Store.put("config", "main", Fewer);
  runFor(Millis(200));
  CHECK(getWithKey("key-a1", "q-2").Status == 401);
  CHECK(getWithKey("key-a2", "q-3").Status == 200);
  // An older version brings no key back.
  Store.put("config", "main", withKeys(8));
  runFor(Millis(200));
  CHECK(getWithKey("key-a1", "q-4").Status == 401);
}

TEST_CASE_FIXTURE(TwoOrganisations,
                  "requests stay in the regions of their organisation") {
  nlohmann::json C = withKeys(9);
  C["tenants"][1]["allowed_regions"] = {"elsewhere"};
  Store.put("config", "main", C);
  start();
  CHECK(getWithKey("key-a1", "q-1").Status == 200);
  CHECK(getWithKey("key-b1", "q-2").Status == 503);
  CHECK(One.Seen.size() == 1);
}

TEST_CASE_FIXTURE(TwoOrganisations,
                  "a configuration with wrong organisations is not installed") {
  start();
  auto Refused = [&](int Version, auto Change) {
    nlohmann::json C = withKeys(Version);
    Change(C["tenants"]);
    Store.put("config", "main", C);
    runFor(Millis(200));
    return Daemon->configVersion() == 8;
  };
  using Json = nlohmann::json;
  CHECK(Refused(9, [](Json &T) { T[1]["api_keys"] = {"key-a1"}; }));
  CHECK(Refused(10, [](Json &T) { T[1]["name"] = "acme"; }));
  CHECK(Refused(11, [](Json &T) { T[1]["rate_per_s"] = -1; }));
  CHECK(Refused(12, [](Json &T) { T[1]["api_keys"] = {""}; }));
  CHECK(Refused(13, [](Json &T) { T[1]["api_keys"] = {7}; }));
  CHECK(getWithKey("key-b1", "q-1").Status == 200);
}

TEST_CASE_FIXTURE(TwoOrganisations,
                  "an organisation above its quota takes nothing from others") {
  Set.QuotaLimits = {Seconds(5), 0.1, 20};
  nlohmann::json C = withKeys(9);
  C["tenants"][0]["rate_per_s"] = 5;
  C["tenants"][0]["burst"] = 5;
  Store.put("config", "main", C);
  start();
  runFor(Seconds(6));
  int Served = 0;
  int Refused = 0;
  for (int I = 0; I < 60; ++I) {
    HttpReply R = getWithKey("key-a1", "q-" + std::to_string(I));
    Served += R.Status == 200;
    if (R.Status == 429) {
      ++Refused;
      CHECK_FALSE(headerValue(R.Headers, "Retry-After").empty());
    }
  }
  CHECK(Served >= 5);
  CHECK(Served <= 53); // (5 x 5 + 5) x 1.1 + 20
  CHECK(Refused == 60 - Served);
  CHECK(One.Seen.size() == std::size_t(Served));
  CHECK(getWithKey("key-b1", "q-b").Status == 200);
}
