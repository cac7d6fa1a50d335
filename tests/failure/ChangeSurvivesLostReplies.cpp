// The operator's tool swaps the head, and the reply is lost after the swap took
// effect, or the request is lost before it, or it arrives only after the tool
// gave up on it. The tool hears nothing in any of them. Retrying blindly would
// apply the change twice, and giving up would report a landed change as failed.
// The writer looks its change id up in the head and retries the same swap.
#include "ChangeFixture.h"

using namespace shallot;
using namespace shallot::test;

TEST_CASE("a swap whose reply is lost is found to have landed") {
  Configured On;
  On.Store.OnCall = onHeadSwap(Fault::LostReply);
  auto End = begin(On.Store, settingSlots("c2", 0, 3));
  On.Store.run();
  REQUIRE(*End);
  REQUIRE(**End);
  CHECK((**End)->Generation == 2);
  CHECK((**End)->FoundAfterLoss);
  CHECK(On.Store.HeadSwaps == 1);
}

TEST_CASE("a swap whose request is lost is made again") {
  Configured On;
  On.Store.OnCall = onHeadSwap(Fault::LostRequest);
  auto End = begin(On.Store, settingSlots("c2", 0, 3));
  On.Store.run();
  REQUIRE(*End);
  REQUIRE(**End);
  CHECK(On.Store.HeadSwaps == 1);
  CHECK(slotsOf(storedConfig(On.Store), 0) == 3);
}

TEST_CASE("a swap that arrives after its second copy does nothing") {
  Configured On;
  On.Store.OnCall = onHeadSwap(Fault::Late);
  auto End = begin(On.Store, settingSlots("c2", 0, 3));
  On.Store.run();
  REQUIRE(*End);
  REQUIRE(**End);
  CHECK(On.Store.HeadSwaps == 1);
  CHECK(storedConfig(On.Store)->generation() == 2);
}

TEST_CASE("a lagging read after a lost reply is not taken for the answer") {
  // An older head than the one that was swapped must not be taken for a head
  // that has moved on without the change.
  Configured On;
  auto Earlier = begin(On.Store, settingSlots("c1", 0, 5));
  On.Store.run();
  REQUIRE(**Earlier);
  unsigned Reads = 0;
  auto Swap = onHeadSwap(Fault::LostReply);
  On.Store.OnCall = [&, Swap](const FakeCall &C) {
    bool HeadRead = !C.IsWrite && C.Path == HeadPath;
    if (HeadRead && ++Reads >= 2 && Reads <= 4)
      return Fault::LaggingRead;
    return Swap(C);
  };
  auto End = begin(On.Store, settingSlots("c2", 0, 3));
  On.Store.run();
  REQUIRE(*End);
  REQUIRE(**End);
  CHECK((**End)->Generation == 3);
  CHECK(On.Store.HeadSwaps == 2);
}

TEST_CASE("the first configuration of all survives a lost reply") {
  FakeObjectStore Store;
  Store.OnCall = onHeadSwap(Fault::LostReply);
  auto End = begin(Store, applying("c1", {presetFields("ordinary")}));
  Store.run();
  REQUIRE(*End);
  REQUIRE(**End);
  CHECK((**End)->FoundAfterLoss);
  CHECK(Store.HeadSwaps == 1);
}

TEST_CASE("when it cannot be found out, that is said, and how to ask") {
  Configured On;
  bool Dark = false;
  On.Store.OnCall = [&](const FakeCall &C) {
    if (std::exchange(Dark, Dark || (C.IsWrite && C.Path == HeadPath)))
      return Fault::LostRequest;
    return Dark ? Fault::LostReply : Fault::None;
  };
  auto End = begin(On.Store, settingSlots("c2", 0, 3));
  On.Store.run();
  REQUIRE(*End);
  REQUIRE_FALSE(**End);
  CHECK((*End)->error().Code == ResultCode::ChangeUnknown);
  CHECK((*End)->error().Detail.find("`shallotctl change c2`") !=
        std::string::npos);
}

TEST_CASE("a change that the head has forgotten is unknown, not absent") {
  ConfigPtr C = configOf(draftOfSize(1, 1));
  const Head &H = C->head();
  CHECK(landed(H, ChangeId("first"), 1) == Landed::Yes);
  CHECK(landed(H, ChangeId("other"), 1) == Landed::No);
  HeadFields F = *H;
  F.Generation = 1 + MaxRecentChanges;
  Head Later = good([&] { return Head::make(F); });
  CHECK(landed(Later, ChangeId("other"), 1) == Landed::Unknown);
  CHECK(landed(Later, ChangeId("other"), 2) == Landed::No);
}
