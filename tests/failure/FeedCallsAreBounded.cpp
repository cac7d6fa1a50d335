// Guards against calls to a store that is down that grow with the fleet.
#include "FeedFleet.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr std::size_t Regions = 7;

} // namespace

TEST_CASE("a store that returns is found soon") {
  for (std::size_t Count : {81, 986}) {
    FeedFleet F(Count, Regions);
    F.run(Seconds(5));
    F.Store = [](std::size_t) { return StoreSays::TurnsAway; };
    F.run(Seconds(20));
    F.write();
    F.Store = [](std::size_t) { return StoreSays::Answers; };
    Duration Took = F.untilRead(Seconds(20));
    MESSAGE(Count, " daemons: everybody has the change after ", toMillis(Took),
            " ms");
    // Large fleets hear of each other later here, and pass on in three hops.
    CHECK(Took <= Seconds(Count < 200 ? 2 : 3));
  }
}

TEST_CASE("calls to a store that is down do not grow with the fleet") {
  std::vector<std::uint64_t> Calls;
  for (std::size_t Count : {81, 141, 986, 1700}) {
    FeedFleet F(Count, Regions);
    F.run(Seconds(5));
    std::uint64_t Before = F.StoreCalls;
    F.Callers.clear();
    F.Store = [](std::size_t) { return StoreSays::TurnsAway; };
    F.run(Seconds(2));
    std::uint64_t First = F.StoreCalls - Before;
    F.run(Seconds(10));
    std::uint64_t Later = F.StoreCalls - Before - First;
    MESSAGE(Count, " daemons: ", First, " calls in the first 2 s, ", Later,
            " in the next 10 s, by ", F.Callers.size(), " daemons");
    // Four calls of each watcher and up to six trials in each region until it
    // is known that no region reads, then one search for the fleet.
    CHECK(First <= Regions * 10 + FleetSearchSize + 16);
    // Six first trials and two repeated ones each second, and some more until
    // every daemon knows how many share the rate.
    CHECK(Later <= 120);
  }
}
