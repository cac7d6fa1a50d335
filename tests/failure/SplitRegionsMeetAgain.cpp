// Two regions are partitioned for an hour. Each considers the other Failed and
// must keep serving. When the partition heals, each side reports the other side
// as Failed. No member may be marked Failed because of that, and the message
// rate must stay bounded.
#include "FleetBag.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

bool otherRegion(std::size_t A, std::size_t B) { return A % 2 != B % 2; }

double peakDatagramsPerMember(FleetBag &Bag, int ForSeconds) {
  double Peak = 0;
  for (int S = 0; S < ForSeconds; ++S) {
    std::uint64_t Before = Bag.datagrams();
    Bag.run(Seconds(1));
    Peak = std::max(Peak, static_cast<double>(Bag.datagrams() - Before));
  }
  return Peak / static_cast<double>(Bag.Nodes.size());
}

} // namespace

TEST_CASE("regions merge after an hour without false failures or a burst") {
  FleetBag Bag(24, 6);
  Bag.startMet();
  Bag.run(Seconds(10));
  Bag.Faults.Cut = otherRegion;
  Bag.run(Seconds(3600));
  for (std::size_t N = 0; N < 24; ++N) {
    CHECK(Bag.at(N).peersKnown() == 11);
    CHECK(Bag.at(N).mayAct(Bag.Now));
  }
  Bag.Faults.Cut = nullptr;
  Bag.Events.clear();
  double Peak = peakDatagramsPerMember(Bag, 30);
  CHECK(Peak < 25); // Datagrams per member and second; 2.7 at rest.
  CHECK(Bag.agreed());
  CHECK(Bag.countEvents(MembershipEventKind::Failed) == 0);
}
