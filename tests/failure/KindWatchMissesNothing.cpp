// What callers see when this fails: a route that was changed is served as it
// was, or a replica that lives is forgotten. What happens: calls fail, watches
// are cut, history is dropped, a list changes between its pages, an answer
// comes from a source that is behind. The watch must end with what the store
// holds, and an object never goes back on the way.
#include "FakeKindStore.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct WatchFixture {
  FakeKindStore S;
  Random Rng{3};
  std::map<std::string, int> Held;
  std::map<std::string, StoreRevision> Revisions;
  unsigned Away = 0, Back = 0, All = 0;
  bool WentBack = false;
  /// No call is open for this long after changes, and a reply takes its time.
  static constexpr Duration Unwatched = Millis(50);
  bool SinceIsTooLate = false; ///< A change came from before changedSince().
  Duration Late{};             ///< Of the last change, at most.
  KindWatch<FakeKindStore, FakeKindStore> W{S, S, "things", {}, Rng, hooks()};

  KindWatchHooks hooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      ++All;
      Held.clear();
      for (const KindObject &O : Now)
        hold(O);
    };
    H.Changed = [this](const KindChange &C) {
      Instant Told = W.changedSince();
      SinceIsTooLate =
          SinceIsTooLate || Told > S.ChangedAt[C.Object.Name] + Unwatched;
      Late = S.now() - Told;
      if (C.Removed)
        Held.erase(C.Object.Name);
      else
        hold(C.Object);
    };
    H.Away = [this](const Error &) { ++Away; };
    H.Back = [this] { ++Back; };
    H.Advanced = [] {};
    return H;
  }
  void hold(const KindObject &O) {
    WentBack = WentBack || O.Revision < Revisions[O.Name];
    Revisions[O.Name] = O.Revision;
    Held[O.Name] = O.Content.get<int>();
  }
};

using Things = std::map<std::string, int>;

} // namespace

TEST_CASE_FIXTURE(WatchFixture, "a list of several pages, then changes") {
  for (int I = 0; I < 8; ++I)
    S.put("t" + std::to_string(I), I);
  W.start();
  S.runFor(Millis(100));
  CHECK(Held.size() == 8);
  CHECK(S.Lists == 3);
  S.put("t1", 100);
  S.remove("t7");
  S.runFor(Millis(100));
  CHECK(Held.at("t1") == 100);
  CHECK_FALSE(Held.contains("t7"));
  CHECK(W.cache().size() == 7);
}

TEST_CASE_FIXTURE(WatchFixture,
                  "what changes between the pages is not missed") {
  for (int I = 0; I < 6; ++I)
    S.put("t" + std::to_string(I), I);
  bool Once = false;
  S.BetweenPages = [&] {
    if (std::exchange(Once, true))
      return;
    S.put("t0", 77); // On a page that is already read.
    S.remove("t1");
    S.put("a", 1);
  };
  W.start();
  S.runFor(Seconds(1));
  CHECK(
      Held ==
      Things{{"a", 1}, {"t0", 77}, {"t2", 2}, {"t3", 3}, {"t4", 4}, {"t5", 5}});
}

// Guards against changes between the revisions of two pages that are missed.
TEST_CASE_FIXTURE(WatchFixture, "a later page comes from a source that is "
                                "behind") {
  for (int I = 0; I < 5; ++I)
    S.put("t" + std::to_string(I), I);
  S.takeCopy();
  S.put("t4", 40);
  S.BetweenPages = [this] {
    S.answerFromCopy();
    S.BetweenPages = nullptr;
  };
  W.start();
  S.runFor(Seconds(5));
  CHECK(Held.size() == 5);
  CHECK(Held.at("t4") == 40);
}

TEST_CASE_FIXTURE(WatchFixture, "dropped history is listed anew") {
  S.put("x", 1);
  W.start();
  S.runFor(Millis(50));
  // Changes while the watch is between two calls, then the history goes.
  S.Trouble = [](bool) { return ResultCode::PlatformDown; };
  S.runFor(Seconds(7));
  S.put("x", 2);
  S.put("y", 3);
  S.forgetHistory();
  S.Trouble = [](bool) { return ResultCode::Ok; };
  S.runFor(Seconds(3));
  CHECK(Held == Things{{"x", 2}, {"y", 3}});
  CHECK(All == 2);
}

TEST_CASE_FIXTURE(WatchFixture, "an outage is told once, and its end") {
  S.put("x", 1);
  W.start();
  S.runFor(Millis(50));
  S.Trouble = [](bool) { return ResultCode::PlatformDown; };
  S.runFor(Seconds(20));
  CHECK(Away == 1);
  CHECK(Back == 0);
  CHECK_FALSE(W.storeAnswers());
  unsigned Calls = S.Watches;
  S.runFor(Seconds(10));
  CHECK(S.Watches - Calls < 40); // Each call is paid for.
  S.put("x", 5);
  S.Trouble = [](bool) { return ResultCode::Ok; };
  S.runFor(Seconds(2));
  CHECK(Back == 1);
  CHECK(Held.at("x") == 5);
}

TEST_CASE_FIXTURE(WatchFixture,
                  "a renewed watch ignores the answer of the old one") {
  S.put("x", 1);
  W.start();
  S.runFor(Millis(50));
  W.renew();
  W.renew();
  S.put("x", 2);
  S.runFor(Seconds(1));
  CHECK(Held.at("x") == 2);
  CHECK_FALSE(WentBack);
}

TEST_CASE("under random troubles it ends with what is there") {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    WatchFixture F;
    Random Dice(Seed);
    F.W.start();
    Things Expected;
    for (int Round = 0; Round < 300; ++Round) {
      auto Kind = below(Dice, 10);
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
      }
      bool Bad = below(Dice, 4) == 0;
      F.S.Trouble = [Bad](bool) {
        return Bad ? ResultCode::PlatformThrottled : ResultCode::Ok;
      };
      F.S.runFor(Millis(static_cast<int>(below(Dice, 200))));
    }
    F.S.Trouble = [](bool) { return ResultCode::Ok; };
    F.S.runFor(Seconds(10));
    CAPTURE(Seed);
    CHECK(F.Held == Expected);
    CHECK_FALSE(F.WentBack);
    CHECK_FALSE(F.SinceIsTooLate);
  }
}

// Guards against an old change that is taken for a new one.
TEST_CASE_FIXTURE(WatchFixture,
                  "a change tells since when it may have happened") {
  S.put("t1", 1);
  W.start();
  S.runFor(Seconds(1));
  S.put("t1", 2);
  S.runFor(Millis(100));
  CHECK(Late == Duration(0));
  S.Trouble = [](bool) { return ResultCode::PlatformDown; };
  W.renew();
  S.runFor(Millis(500));
  S.put("t1", 3);
  S.runFor(Millis(500));
  S.Trouble = [](bool) { return ResultCode::Ok; };
  S.runFor(Seconds(1));
  CHECK(Held.at("t1") == 3);
  CHECK(Late >= Millis(500));
  CHECK_FALSE(SinceIsTooLate);
}
