// What callers see: after a power loss of everything they are sent to hosts
// that few others know of, and the store is asked by half of the fleet. In what
// order: all hosts of a large fleet start at one moment and ask the same three
// seeds; those answer some and are silent to the rest; tables of members then
// go round a few datagrams a second. Why it must hold: who carries callers and
// who asks the store follows from the table of members.
#include "FleetBag.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr std::size_t Hosts = 295;

/// Members that the daemon in the middle knows.
std::size_t middleKnows(const FleetBag &Bag) {
  std::vector<std::size_t> Known;
  for (std::size_t N = 0; N < Hosts; ++N)
    Known.push_back(Bag.at(N).view().Members.size());
  std::ranges::nth_element(Known, Known.begin() + Hosts / 2);
  return Known[Hosts / 2];
}

} // namespace

TEST_CASE("a large fleet that starts at one moment knows itself in 4 s") {
  for (std::uint64_t Seed : {1, 2, 3}) {
    FleetBag Bag(Hosts, Seed);
    Bag.startAll();
    // The seeds answer everybody: before anyone asks the store, a quarter of a
    // second after the start, most know of some others.
    Bag.run(Millis(250));
    CHECK(middleKnows(Bag) >= 30);
    CHECK(Bag.untilAgreed(Seconds(20)) <= Millis(3750));
    // Sixteen seconds' worth of what control may take of a link, 15 KB/s.
    CHECK(Bag.bytes() / Hosts <= 240'000);
  }
}

TEST_CASE("tables go round mostly within regions") {
  // Links between regions are the dear ones; half of the hosts are in each.
  FleetBag Bag(Hosts, 5);
  Bag.startAll();
  Bag.untilAgreed(Seconds(20));
  CHECK(double(Bag.farBytes()) <= 0.3 * double(Bag.bytes()));
}

TEST_CASE("a start costs the fleet nothing once it is over") {
  FleetBag Bag(Hosts, 4);
  Bag.startAll();
  Bag.untilAgreed(Seconds(20));
  Bag.run(Seconds(20));
  std::uint64_t Before = Bag.bytes();
  Bag.run(Seconds(20));
  CHECK((Bag.bytes() - Before) / Hosts / 20 <= 3'000);
}
