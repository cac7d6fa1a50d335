// The platform's host list lags: it lists dead hosts, omits hosts that serve,
// and marks hosts as leaving that were replaced long ago. Callers must still be
// sent to daemons that answer and not to those that are leaving.
#include "FleetBag.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

ListedHost listed(const FleetBag &Bag, std::size_t N, bool Leaving = false) {
  Member M = Bag.member(N);
  return {M.Id.Host, M.Gossip, M.Zone, Leaving};
}

} // namespace

TEST_CASE("a member that answers stays, whatever the list contains") {
  FleetBag Bag(6, 3);
  Bag.startMet();
  Bag.Nodes[0].Machine->onHostList({listed(Bag, 5)}, Bag.Now);
  Bag.run(Seconds(20));
  CHECK(Bag.agreed());
}

TEST_CASE("a listed leaving state applies to the known incarnation only") {
  FleetBag Bag(6, 3);
  Bag.startMet();
  MembershipOutput Out =
      Bag.Nodes[0].Machine->onHostList({listed(Bag, 4, true)}, Bag.Now);
  CHECK(Out.Changed);
  REQUIRE(Out.Events.size() == 1);
  CHECK(Out.Events[0].Evidence == "the platform's host list");
  CHECK(Bag.seen(0, 4) == MemberState::Leaving);
  Bag.crash(4);
  Bag.start(4); // Replaced; the list still marks it as leaving.
  Bag.run(Seconds(5));
  CHECK(Bag.seen(0, 4) == MemberState::Alive);
}

TEST_CASE("a daemon without seeds joins the fleet through the host list") {
  FleetBag Bag(6, 3);
  Bag.startMet();
  Bag.crash(5);
  Bag.run(Seconds(10));
  Bag.start(5);
  auto Alone = attempt([&] {
    return Membership::make({}, Bag.member(5), {}, Bag.Rng, Bag.Now);
  });
  Bag.Nodes[5].Machine.emplace(std::move(Alone.value()));
  Bag.run(Seconds(5));
  CHECK(Bag.at(5).settled(Bag.Now)); // It knows of no other members.
  Bag.Nodes[5].Machine->onHostList({listed(Bag, 1), listed(Bag, 5)}, Bag.Now);
  Bag.run(Seconds(5));
  CHECK(Bag.agreed());
  CHECK(Bag.at(5).settled(Bag.Now));
}
