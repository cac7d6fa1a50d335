// Guards against daemons that stay alone long after the seeds have started.
#include "FleetBag.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr std::size_t Seeds = 3;
constexpr std::size_t Hosts = 81;

/// Number of daemons that know no other.
std::size_t alone(const FleetBag &Bag) {
  std::size_t Count = 0;
  for (std::size_t N = Seeds; N < Hosts; ++N)
    Count += Bag.at(N).view().Members.size() == 1;
  return Count;
}

} // namespace

TEST_CASE("daemons that started before the seeds join within 0.4 s") {
  for (std::uint64_t Seed : {1, 2, 3, 4, 5}) {
    CAPTURE(Seed);
    FleetBag Bag(Hosts, Seed);
    for (std::size_t N = Seeds; N < Hosts; ++N)
      Bag.start(N);
    Bag.run(Millis(300));
    CHECK(alone(Bag) == Hosts - Seeds);
    for (std::size_t N = 0; N < Seeds; ++N)
      Bag.start(N);
    Bag.run(Millis(400));
    CHECK(alone(Bag) == 0);
  }
}

TEST_CASE("a daemon whose seeds never start asks no more often than before") {
  FleetBag Bag(Seeds + 1, 6);
  Bag.start(Seeds);
  Bag.run(Seconds(5));
  std::uint64_t Before = Bag.datagrams();
  Bag.run(Seconds(60));
  // Three seeds, once per mean period of a second.
  CHECK(Bag.datagrams() - Before <= 60 * Seeds * 2);
}
