// A request takes the route with the longest matching prefix among those of its
// host.
#include "shallotshift/forward.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

Route route(std::string Name, std::string Host, std::string Prefix) {
  Route R;
  R.Name = std::move(Name);
  R.Host = std::move(Host);
  R.PathPrefix = std::move(Prefix);
  R.Timeout = Millis(800);
  R.Objective = Millis(100);
  R.Target = ServiceName("s");
  return R;
}

ServingConfig config(std::vector<Route> Routes) {
  auto C = attempt([&] {
    return ServingConfig::make(1, std::move(Routes), {{ServiceName("s"), 5}},
                               CallerLimits());
  });
  REQUIRE_MESSAGE(C, C.error().Detail);
  return *C;
}

std::string matched(const ServingConfig &C, std::string_view Host,
                    std::string_view Path) {
  const Route *R = C.match(Host, Path);
  return R ? R->Name : "none";
}

} // namespace

TEST_CASE("the longest prefix of the request's host wins") {
  ServingConfig C = config({route("short", "a.example", "/x/"),
                            route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/x/y/z/")});
  CHECK(matched(C, "a.example", "/x/1") == "short");
  CHECK(matched(C, "a.example", "/x/y/1") == "long");
  CHECK(matched(C, "a.example", "/x/y/z/1") == "long");
  CHECK(matched(C, "b.example", "/x/y/z/1") == "other");
  CHECK(matched(C, "b.example", "/x/1") == "none");
  CHECK(matched(C, "c.example", "/x/1") == "none");
}

TEST_CASE("a prefix ends at a slash") {
  ServingConfig C = config({route("x", "a.example", "/x/")});
  CHECK(matched(C, "a.example", "/x") == "none");
  CHECK(matched(C, "a.example", "/xy/") == "none");
  CHECK(matched(C, "a.example", "/x/") == "x");
}

TEST_CASE("a split selects services in proportion to their weights") {
  WeightedSplit Split{
      {ServiceName("a"), 9}, {ServiceName("b"), 1}, {ServiceName("c"), 0}};
  unsigned ToA = 0, ToB = 0, ToC = 0;
  constexpr unsigned Draws = 10000;
  for (unsigned I = 0; I < Draws; ++I) {
    const ServiceName &S = drawService(Split, I / double(Draws));
    ToA += S == ServiceName("a");
    ToB += S == ServiceName("b");
    ToC += S == ServiceName("c");
  }
  CHECK(ToA == 9000);
  CHECK(ToB == 1000);
  CHECK(ToC == 0);
}
