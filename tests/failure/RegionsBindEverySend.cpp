// Guards against further sends of a request that leave the regions where it may
// be served: hedges, retries, and sends after a change of configuration.
#include "ForwardFixture.h"

using namespace shallot;
using namespace shallot::test;

namespace {

struct RegionsFixture : ForwardFixture {
  Route inRegions(RouteTarget Target, std::set<Region> Regions) const {
    Route R = route(std::move(Target));
    R.Regions = AllowedRegions::only(std::move(Regions));
    return R;
  }
};

AllowedRegions only(std::set<Region> Regions) {
  return AllowedRegions::only(std::move(Regions));
}

} // namespace

TEST_CASE_FIXTURE(RegionsFixture, "a retry stays in the allowed regions") {
  add("a1", "a", "here");
  add("a2", "a", "abroad");
  ForwardRun R = run(inRegions(ServiceName("a"), {Region("here")}));
  RunOutput First = R.begin(Shared, Now);
  REQUIRE(First.Start.size() == 1);
  CHECK(First.Start[0].To->entry().Id == UpstreamId("a1"));
  RunOutput Next = R.replied(Shared, 0, ended(SendStatus::Rejected), Now);
  for (const StartSend &S : Next.Start)
    CHECK(S.To->entry().Id == UpstreamId("a1"));
}

TEST_CASE_FIXTURE(RegionsFixture, "a hedge stays in the allowed regions") {
  add("a1", "a", "here");
  add("a2", "a", "abroad");
  ForwardRun R = run(inRegions(ServiceName("a"), {Region("here")}));
  R.begin(Shared, Now);
  CHECK(tickUntil(R, Now + Millis(700)).Start.empty());
}

TEST_CASE_FIXTURE(RegionsFixture,
                  "a newer configuration applies to open requests") {
  add("a1", "a", "here");
  add("a2", "a", "abroad");
  ForwardRun R = run(route(ServiceName("a")));
  R.begin(Shared, Now);
  R.restrictRegions(only({Region("here")}));
  CHECK(tickUntil(R, Now + Millis(700)).Start.empty());
}

TEST_CASE_FIXTURE(RegionsFixture, "without a replica there it is refused at "
                                  "once, as not run") {
  add("a1", "a", "abroad");
  ForwardRun R = run(inRegions(ServiceName("a"), {Region("here")}));
  RunOutput Out = R.begin(Shared, Now);
  CHECK(Out.Start.empty());
  CHECK(own(Out).Code == ResultCode::NoAllowedReplica);
  CHECK(infoOf(own(Out).Code).Effect == RequestEffect::NotRun);
  CHECK(own(Out).RetryAfter > Duration(0));
}

TEST_CASE_FIXTURE(RegionsFixture, "a region that no route shares serves "
                                  "nothing") {
  add("a1", "a", "here");
  add("a2", "a", "abroad");
  ForwardRun R = run(inRegions(ServiceName("a"), {}));
  RunOutput Out = R.begin(Shared, Now);
  CHECK(Out.Start.empty());
  CHECK(own(Out).Code == ResultCode::NoAllowedReplica);
}

TEST_CASE_FIXTURE(RegionsFixture, "coverage counts allowed replicas only") {
  for (const char *S : {"a", "b", "c"})
    add(std::string(S) + "1", S, "here");
  add("d1", "d", "abroad");
  ShardFanOut Fan{
      {ServiceName("a"), ServiceName("b"), ServiceName("c"), ServiceName("d")},
      3,
      0.75};
  ForwardRun Enough = run(inRegions(Fan, {Region("here")}));
  CHECK(Enough.begin(Shared, Now).Start.size() == 3);
  Fan.MinCoverage = 1;
  ForwardRun Whole = run(inRegions(Fan, {Region("here")}));
  RunOutput Out = Whole.begin(Shared, Now);
  CHECK(Out.Start.empty());
  CHECK(own(Out).Code == ResultCode::NoAllowedReplica);
}

TEST_CASE_FIXTURE(RegionsFixture, "the regions of a route and its "
                                  "tenant are intersected") {
  Route R = inRegions(ServiceName("a"), {Region("here"), Region("abroad")});
  R.Owner = Tenant("firm");
  Organisation Firm;
  Firm.Name = Tenant("firm");
  Firm.Regions = only({Region("abroad")});
  Organisation Other;
  Other.Name = Tenant("other");
  Other.Regions = only({Region("here")});
  auto Callers = attempt([&] { return Organisations::make({Firm, Other}); });
  REQUIRE(Callers);
  auto C = attempt([&] {
    return ServingConfig::make(1, {R}, {{ServiceName("a"), 100}},
                               CallerLimits(), *Callers);
  });
  REQUIRE(C);
  CHECK(C->routes().front().Regions == only({Region("abroad")}));
  CHECK(C->regionsOf("a.example") == only({Region("abroad")}));
  CHECK_FALSE(C->regionsOf("b.example").restricted());
}

TEST_CASE("routes of a host that share no region are served in any of theirs") {
  CHECK(only({Region("x")}).intersect(only({Region("y")})).none());
  CHECK(AllowedRegions::anywhere().intersect(only({Region("y")})) ==
        only({Region("y")}));
  CHECK(only({Region("x"), Region("y")}).str() == "x,y");
  CHECK(AllowedRegions::anywhere().allows(Region("unknown")));
}
