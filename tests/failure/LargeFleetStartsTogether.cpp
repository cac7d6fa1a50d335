// Guards against slow convergence when all hosts of a large fleet start at
// once, for example after a power loss. All of them ask the same three seeds.
// If these answer only some, and tables then spread at a few datagrams per
// second, callers are sent to hosts that few others know, and half of the fleet
// asks the store: the entry hosts and the daemons that ask the store are
// selected from the member table.
#include "FleetBag.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr std::size_t Hosts = 295;

/// Median number of members known to a daemon.
std::size_t medianKnownMembers(const FleetBag &Bag) {
  std::vector<std::size_t> Known;
  for (std::size_t N = 0; N < Hosts; ++N)
    Known.push_back(Bag.at(N).view().Members.size());
  std::ranges::nth_element(Known, Known.begin() + Hosts / 2);
  return Known[Hosts / 2];
}

} // namespace

TEST_CASE("a large fleet that starts at once converges within 4 s") {
  for (std::uint64_t Seed : {1, 2, 3}) {
    FleetBag Bag(Hosts, Seed);
    Bag.startAll();
    // The seeds answer everybody, so most daemons know some others 250 ms after
    // the start, before any of them asks the store.
    Bag.run(Millis(250));
    CHECK(medianKnownMembers(Bag) >= 30);
    CHECK(Bag.untilAgreed(Seconds(20)) <= Millis(3750));
    // 16 s at 15 KB/s, the share of a link that control traffic may use.
    CHECK(Bag.bytes() / Hosts <= 240'000);
  }
}

TEST_CASE("tables spread mostly within regions") {
  // Links between regions are expensive; half of the hosts are in each region.
  FleetBag Bag(Hosts, 5);
  Bag.startAll();
  Bag.untilAgreed(Seconds(20));
  CHECK(double(Bag.farBytes()) <= 0.3 * double(Bag.bytes()));
}

TEST_CASE("traffic returns to normal after a start") {
  FleetBag Bag(Hosts, 4);
  Bag.startAll();
  Bag.untilAgreed(Seconds(20));
  Bag.run(Seconds(20));
  std::uint64_t Before = Bag.bytes();
  Bag.run(Seconds(20));
  CHECK((Bag.bytes() - Before) / Hosts / 20 <= 3'000);
}
