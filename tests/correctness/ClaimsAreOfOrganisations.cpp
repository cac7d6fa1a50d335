// A request claims the share of its caller's organisation, or of its route's
// owner if the caller has none, and its cost is the work of all parts.
#include "shallotshift/forward.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

std::shared_ptr<const ServingConfig> config(bool WithOrganisations) {
  Route R;
  R.Name = "search";
  R.Host = "search.example";
  R.PathPrefix = "/";
  R.Timeout = Millis(800);
  R.Objective = Millis(150);
  R.Kind = RetrySemantics::Idempotent;
  ShardFanOut Fan;
  Fan.Shards = {ServiceName("a"), ServiceName("b"), ServiceName("c")};
  Fan.MaxRecords = 5;
  Fan.MinCoverage = 0.5;
  R.Target = Fan;
  R.Owner = Tenant("north");
  R.Public = true;
  std::vector<Organisation> All;
  if (WithOrganisations)
    for (const char *Name : {"north", "south"}) {
      Organisation O;
      O.Name = Tenant(Name);
      O.Share.Weight = All.empty() ? 3 : 1;
      All.push_back(O);
    }
  auto C = attempt([&]() -> Result<ServingConfig> {
    BOOST_LEAF_AUTO(Callers, Organisations::make(All));
    return ServingConfig::make(
        1, {R},
        {{ServiceName("a"), 9}, {ServiceName("b"), 9}, {ServiceName("c"), 9}},
        CallerLimits(), Callers);
  });
  REQUIRE_MESSAGE(C, C.error().Detail);
  return std::make_shared<ServingConfig>(*C);
}

ForwardRequest request(std::shared_ptr<const ServingConfig> C) {
  ForwardRequest R;
  R.Config = std::move(C);
  R.Matched = &R.Config->routes().front();
  return R;
}

} // namespace

TEST_CASE("without organisations all requests claim the same share") {
  CHECK(request(config(false)).claim(Millis(11)) == FairClaim());
}

TEST_CASE("a request claims its caller's share, at the cost of its parts") {
  ForwardRequest R = request(config(true));
  R.Caller = R.Config->callers().find(Tenant("south"));
  FairClaim C = R.claim(Millis(11));
  CHECK(C.Organisation == Tenant("south"));
  CHECK(C.Weight == 1);
  CHECK(C.Cost == doctest::Approx(33));
}

TEST_CASE("a caller without a key claims the share of the route's owner") {
  FairClaim C = request(config(true)).claim(Millis(11));
  CHECK(C.Organisation == Tenant("north"));
  CHECK(C.Weight == 3);
}
