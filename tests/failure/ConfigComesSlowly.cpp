// Callers are answered by an old configuration for good. What happens: a daemon
// behind a slow link asks a peer for a configuration whose answer takes longer
// than a lost answer is waited for. It gives up and asks the next peer; the
// first answer arrives and is thrown away, then the second one, and so on.
#include "ConfigBag.h"

using namespace shallot;
using namespace shallot::test;

namespace {

/// An answer with the whole takes some 4 s at this rate.
constexpr std::uint64_t SlowRate = 30000;

Draft large(const Draft &) { return draftOfSize(20, 10); }

} // namespace

TEST_CASE("an answer that takes longer than the patience is used") {
  BagOptions O;
  ConfigBag Bag(6, 21, O);
  Bag.change(large);
  Bag.run(Seconds(10));
  REQUIRE(Bag.behind() == 0);
  Bag.PlatformUp = false;
  Bag.setBytesPerSecond(SlowRate);
  Bag.restart(5);
  Bag.run(Seconds(12));
  CHECK(Bag.behind() == 0);
}

TEST_CASE("a late answer takes nothing back") {
  Random Rng(3);
  ConfigSync Sync({HostId("entry-a"), 1}, AvailabilityZone("z"), Rng);
  DaemonId Peer{HostId("entry-b"), 1};
  FleetView View;
  for (const DaemonId &Id : {DaemonId{HostId("entry-a"), 1}, Peer}) {
    Member M;
    M.Id = Id;
    M.State = MemberState::Alive;
    View.Members.push_back(M);
  }
  Instant Now{};
  auto One =
      good([&] { return prepare(nullptr, draftOfSize(1, 2), change("one")); });
  auto Two = good([&] {
    return prepare(One.After, switched(draftOf(*One.After)), change("two"));
  });
  Sync.members(View, Now);
  std::uint64_t Ticket = 0;
  for (const ConfigCommand &C : Sync.take())
    if (const auto *F = std::get_if<FetchFromPeer>(&C))
      Ticket = F->Ticket;
  REQUIRE(Ticket != 0);
  Now += Seconds(5);
  Sync.tick(Now);
  ConfigParts Both{Two.HeadJson, One.NewBlobs};
  Both.Blobs.insert(Two.NewBlobs.begin(), Two.NewBlobs.end());
  Sync.accepted(Both, Now);
  REQUIRE(Sync.generation() == 2);
  unsigned Rejections = Sync.status().Rejections;
  Sync.fetched(Ticket, {One.HeadJson, One.NewBlobs}, Now);
  CHECK(Sync.generation() == 2);
  CHECK(Sync.status().Rejections == Rejections);
}
