// Guards against state that a restore of the store takes back or brings back.
#include "FakeKindStore.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct KeptFixture {
  FakeKindStore S;
  Random Rng{3};
  std::map<std::string, int> Held;
  std::set<std::string> Withheld;
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
    H.Withheld = [this](const KindObject &O) { Withheld.insert(O.Name); };
    // Objects named "v..." are ordered by their content.
    H.Outlives = [](const KindObject &Held, const KindObject *Stored) {
      return Held.Name.starts_with("v") &&
             (!Stored || Held.Content > Stored->Content);
    };
    return H;
  }
  void start() {
    W.start();
    S.runFor(Millis(100));
  }
  /// Restores the copy and lets the watch notice it.
  void restore() {
    S.restoreCopy();
    S.runFor(Millis(300));
  }
};

} // namespace

TEST_CASE_FIXTURE(KeptFixture, "a lost object is kept until written again") {
  start();
  S.takeCopy();
  S.put("new", 1);
  S.runFor(Millis(100));
  restore();
  CHECK(Held.contains("new"));
  S.put("new", 2);
  S.runFor(Seconds(10));
  CHECK(Held.at("new") == 2);
}

TEST_CASE_FIXTURE(KeptFixture, "a lost object that nobody writes again goes") {
  start();
  S.takeCopy();
  S.put("new", 1);
  S.runFor(Millis(100));
  restore();
  S.runFor(RestoreOptions().KeepLost);
  CHECK_FALSE(Held.contains("new"));
}

TEST_CASE_FIXTURE(KeptFixture, "a removed object is withheld") {
  S.put("old", 1);
  start();
  S.takeCopy();
  S.remove("old");
  S.runFor(Millis(100));
  restore();
  CHECK_FALSE(Held.contains("old"));
  CHECK(Withheld.contains("old"));
  S.remove("old");
  S.runFor(Seconds(20));
  CHECK_FALSE(Held.contains("old"));
}

TEST_CASE_FIXTURE(KeptFixture,
                  "a removed object that is written again counts at once") {
  S.put("old", 1);
  start();
  S.takeCopy();
  S.remove("old");
  S.runFor(Millis(100));
  restore();
  S.put("old", 2);
  S.runFor(Millis(200));
  CHECK(Held.at("old") == 2);
}

TEST_CASE_FIXTURE(KeptFixture, "a removed object that stays is believed") {
  S.put("old", 1);
  start();
  S.takeCopy();
  S.remove("old");
  S.runFor(Millis(100));
  restore();
  S.runFor(RestoreOptions().WithholdRemoved);
  CHECK(Held.contains("old"));
}

TEST_CASE_FIXTURE(KeptFixture, "both hold over a second restore and a list") {
  S.put("old", 1);
  start();
  S.takeCopy();
  S.remove("old");
  S.put("new", 1);
  S.runFor(Millis(100));
  restore();
  S.forgetHistory();
  S.runFor(Millis(500));
  CHECK(Held.contains("new"));
  CHECK_FALSE(Held.contains("old"));
  restore();
  CHECK(Held.contains("new"));
  CHECK_FALSE(Held.contains("old"));
}

TEST_CASE_FIXTURE(KeptFixture, "an object with a newer version stays") {
  S.put("v", 4);
  start();
  S.takeCopy();
  S.put("v", 8);
  S.runFor(Millis(100));
  restore();
  CHECK(Held.at("v") == 8);
  // It is what peers are told, too.
  CHECK(W.cache().page("").Objects.front().Content == 8);
  S.put("v", 6); // The operator writes all of them again.
  S.runFor(Seconds(20));
  CHECK(Held.at("v") == 8);
  S.put("v", 9);
  S.runFor(Millis(200));
  CHECK(Held.at("v") == 9);
}

TEST_CASE_FIXTURE(KeptFixture, "an older list may hold a newer version") {
  S.put("v", 8);
  S.takeCopy();
  S.put("v", 4);
  start();
  REQUIRE(Held.at("v") == 4);
  S.answerFromCopy();
  W.relist();
  S.runFor(Millis(50));
  CHECK(Held.at("v") == 8);
  S.put("x", 1);
  S.runFor(Millis(200));
  CHECK(Held.contains("x"));
}
