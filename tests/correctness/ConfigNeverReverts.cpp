// Whatever is lost, late or restarted, no daemon ever goes back to an older
// configuration, each has exactly one preset in force, and all agree on the
// newest once messages flow again.
#include "ConfigBag.h"

#include <rapidcheck.h>

using namespace shallot;
using namespace shallot::test;

namespace {

Draft first(const Draft &) { return draftOfSize(2, 3); }

/// One disturbance of the fleet, chosen by \p Rng.
void disturb(ConfigBag &Bag, Random &Rng) {
  std::size_t I = below(Rng, Bag.Nodes.size());
  switch (below(Rng, 7)) {
  case 0:
    return Bag.change(switched);
  case 1:
    return Bag.restart(I);
  case 2:
    Bag.Nodes[I].Up = false;
    return;
  case 3:
    Bag.Nodes[I].Up = true;
    return Bag.Nodes[I].Sync->revalidate(Bag.Now);
  case 4:
    Bag.PlatformUp = !Bag.PlatformUp;
    return;
  case 5:
    Bag.PlatformLags = !Bag.PlatformLags;
    return;
  default:
    // A platform that lags shows an old head on a watch, too.
    Bag.Nodes[I].Sync->announced(Bag.View.Members[0].Id, below(Rng, 3),
                                 Bag.Now);
  }
}

} // namespace

TEST_CASE("never back, and together again, over random orders of events") {
  bool Holds = rc::check([](std::uint64_t Seed) {
    BagOptions O;
    O.Loss = 0.2;
    ConfigBag Bag(7, Seed, O);
    Random Rng(Seed ^ 0x5eed);
    Bag.change(first);
    for (int Step = 0; Step < 40; ++Step) {
      disturb(Bag, Rng);
      Bag.run(Millis(below(Rng, 800)));
      RC_ASSERT(Bag.Reversions == 0U);
    }
    Bag.PlatformUp = true;
    Bag.PlatformLags = false;
    for (auto &N : Bag.Nodes)
      N.Up = true;
    Bag.change(switched);
    Bag.run(Seconds(120));
    RC_ASSERT(Bag.behind() == 0U);
    RC_ASSERT(Bag.Reversions == 0U);
    for (auto &N : Bag.Nodes)
      RC_ASSERT(N.Sync->config()->preset()->Name == Bag.Stored->preset()->Name);
  });
  CHECK(Holds);
}

TEST_CASE("each zone has two watchers, and few more when views differ") {
  ConfigBag Bag(24, 5);
  CHECK(Bag.watchers() == 6);
  FleetView Part = Bag.View;
  std::erase_if(Part.Members, [&](const Member &M) {
    return M.Id.Host.str() < "entry-0012";
  });
  ++Part.Number;
  for (std::size_t I = 12; I < 24; ++I)
    Bag.Nodes[I].Sync->members(Part, Bag.Now);
  Bag.run(Seconds(1));
  // Two views: at most the watchers of both.
  CHECK(Bag.watchers() >= 6);
  CHECK(Bag.watchers() <= 12);
}
