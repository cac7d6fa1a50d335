// Guards against changes that are ignored after the store came back from a
// copy.
#include "FakeKindStore.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

/// Longer than any wait of a watch, so that what was held back has been
/// decided.
constexpr Duration Settled = Seconds(20);

struct RestoredFixture {
  FakeKindStore S;
  Random Rng{3};
  std::map<std::string, int> Held;
  KindWatch<FakeKindStore, FakeKindStore> W{S, S, "things", {}, Rng, hooks()};

  KindWatchHooks hooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      Held.clear();
      for (const KindObject &O : Now)
        Held[O.Name] = O.Content.get<int>();
    };
    H.Changed = [this](const KindChange &C) {
      if (C.Removed)
        Held.erase(C.Object.Name);
      else
        Held[C.Object.Name] = C.Object.Content.get<int>();
    };
    H.Away = [](const Error &) {};
    H.Back = [] {};
    H.Advanced = [] {};
    return H;
  }
  /// Revisions that the copy does not have.
  void advance(int Count) {
    for (int I = 0; I < Count; ++I)
      S.put("counter", I);
  }
};

using Things = std::map<std::string, int>;

} // namespace

TEST_CASE_FIXTURE(RestoredFixture, "a change after a restore is taken") {
  S.put("x", 1);
  W.start();
  S.runFor(Millis(100));
  S.takeCopy();
  advance(40);
  S.put("x", 2);
  S.runFor(Millis(200));
  REQUIRE(Held.at("x") == 2);
  S.restoreCopy();
  S.runFor(Millis(200));
  S.put("x", 3);
  S.runFor(Seconds(1));
  CHECK(Held.at("x") == 3);
}

TEST_CASE_FIXTURE(RestoredFixture,
                  "changes whose revisions were given out before are taken") {
  S.put("x", 1);
  W.start();
  S.runFor(Millis(100));
  S.takeCopy();
  advance(10);
  S.runFor(Millis(200));
  // The revision passes the old value before the watch reaches the store.
  S.Trouble = [](bool) { return ResultCode::PlatformDown; };
  S.restoreCopy();
  S.runFor(Seconds(7));
  S.put("x", 2);
  S.put("y", 1);
  advance(20);
  S.Trouble = [](bool) { return ResultCode::Ok; };
  S.runFor(Seconds(2));
  CHECK(Held.at("x") == 2);
  CHECK(Held.contains("y"));
}

TEST_CASE_FIXTURE(RestoredFixture, "several restores in a row are followed") {
  S.put("x", 1);
  W.start();
  S.runFor(Millis(100));
  S.takeCopy();
  for (int Round = 2; Round < 6; ++Round) {
    advance(30);
    S.runFor(Millis(100));
    S.restoreCopy();
    S.runFor(Millis(100));
    S.put("x", Round);
    S.runFor(Seconds(1));
    CHECK(Held.at("x") == Round);
  }
}

TEST_CASE("after restores among other troubles it ends with what is there") {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    RestoredFixture F;
    Random Dice(Seed);
    F.W.start();
    Things Expected;
    Things Copied;
    for (int Round = 0; Round < 300; ++Round) {
      auto Kind = below(Dice, 12);
      std::string Name = "t" + std::to_string(below(Dice, 12));
      if (Kind < 5) {
        F.S.put(Name, Round);
        Expected[Name] = Round;
      } else if (Kind == 5 && Expected.contains(Name)) {
        F.S.remove(Name);
        Expected.erase(Name);
      } else if (Kind == 6) {
        F.S.forgetHistory();
      } else if (Kind == 7) {
        F.W.renew();
      } else if (Kind == 8) {
        F.S.takeCopy();
        Copied = Expected;
      } else if (Kind == 9) {
        F.S.restoreCopy();
        Expected = Copied;
      }
      bool Bad = below(Dice, 4) == 0;
      F.S.Trouble = [Bad](bool) {
        return Bad ? ResultCode::PlatformThrottled : ResultCode::Ok;
      };
      F.S.runFor(Millis(static_cast<int>(below(Dice, 200))));
    }
    F.S.Trouble = [](bool) { return ResultCode::Ok; };
    F.S.runFor(Settled);
    CAPTURE(Seed);
    CHECK(F.Held == Expected);
  }
}
