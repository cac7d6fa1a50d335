// Callers go on with the configuration in force while what is offered instead
// is broken, old or cut short. In order: the offer is refused with its reason,
// the fetch is tried elsewhere, and the next good change is installed.
#include "ConfigBag.h"

using namespace shallot;
using namespace shallot::test;

namespace {

Draft first(const Draft &) { return draftOfSize(2, 3); }

} // namespace

TEST_CASE("a blob with a wrong hash is never installed") {
  ConfigBag Bag(6, 11);
  Bag.change(first);
  Bag.run(Seconds(10));
  REQUIRE(Bag.behind() == 0);
  Bag.PlatformUp = false;
  Bag.Garble = [](ConfigParts &P) {
    for (auto &[Hash, Json] : P.Blobs)
      Json.pop_back();
  };
  Bag.restart(0);
  Bag.run(Seconds(20));
  CHECK(Bag.Nodes[0].Sync->generation() == 0);
  CHECK(Bag.Nodes[0].Sync->status().LastRejection.Code ==
        ResultCode::ContentMismatch);
  Bag.Garble = nullptr;
  Bag.run(Seconds(30));
  CHECK(Bag.behind() == 0);
}

TEST_CASE("a head that fails its checks does not stop later ones") {
  Random Rng(3);
  ConfigSync Sync({HostId("entry-a"), 1}, AvailabilityZone("z"), Rng);
  Instant Now{};
  FleetView View;
  Sync.members(View, Now);
  auto One =
      good([&] { return prepare(nullptr, draftOfSize(1, 2), change("one")); });
  Sync.accepted({One.HeadJson, One.NewBlobs}, Now);
  REQUIRE(Sync.generation() == 1);
  CHECK(Sync.confirmedBy() == 1);
  auto Two = good([&] {
    return prepare(One.After, switched(draftOf(*One.After)), change("two"));
  });
  // The preset in force is one that the head does not have.
  std::string Broken = Two.HeadJson;
  Broken.replace(Broken.rfind("\"peak\""), 6, "\"none\"");
  Sync.accepted({Broken, Two.NewBlobs}, Now);
  CHECK(Sync.generation() == 1);
  CHECK(Sync.status().Rejections == 1);
  Sync.accepted({One.HeadJson, {}}, Now);
  CHECK(Sync.generation() == 1);
  Sync.accepted({Two.HeadJson, Two.NewBlobs}, Now);
  CHECK(Sync.generation() == 2);
  Sync.accepted({One.HeadJson, {}}, Now);
  CHECK(Sync.generation() == 2);
  CHECK(Sync.status().LastRejection.Code == ResultCode::StaleGeneration);
}

TEST_CASE("after a pause only a fresh answer confirms") {
  ConfigBag Bag(6, 12);
  Bag.change(first);
  Bag.run(Seconds(10));
  ConfigSync &Paused = *Bag.Nodes[2].Sync;
  REQUIRE(Paused.confirmedBy() > 0);
  Bag.Nodes[2].Up = false;
  Bag.run(Seconds(5));
  Bag.Nodes[2].Up = true;
  Paused.revalidate(Bag.Now);
  Paused.announced(Bag.View.Members[0].Id, 1, Bag.Now);
  CHECK(Paused.confirmedBy() == 0);
  Bag.run(Seconds(5));
  CHECK(Paused.confirmedBy() > 0);
}

TEST_CASE("a daemon starts from its peers while the platform is down") {
  ConfigBag Bag(6, 13);
  Bag.change(first);
  Bag.run(Seconds(10));
  Bag.PlatformUp = false;
  std::uint64_t Calls = Bag.PlatformCalls;
  Bag.restart(4);
  Bag.run(Seconds(10));
  CHECK(Bag.behind() == 0);
  CHECK(Bag.Nodes[4].Sync->confirmedBy() > 0);
  // Only watchers may have asked it meanwhile, and seldom.
  CHECK(Bag.PlatformCalls - Calls <= 30);
}
