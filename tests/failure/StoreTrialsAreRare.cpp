// Guards against needless trials of the store and a watcher that flaps.
#include "shallotshift/front.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

struct TrialsFixture {
  Instant Now{Seconds(1000)};
  Random Rng{3};
  StoreTrials T;
  FeedTree Tree;

  TrialsFixture() {
    Tree.IsWatcher = true;
    T.setTree(Tree, Rng, Now);
  }
  void fail() { T.failed(Now, Rng, Now); }
  /// Makes the trials that are due within \p For.
  unsigned trials(Duration For, bool Answered) {
    unsigned Made = 0;
    for (Instant End = Now + For; Now < End; Now += Millis(10)) {
      T.tick(Rng, Now);
      if (!T.due(Now))
        continue;
      ++Made;
      T.started(Now);
      if (Answered)
        T.trialAnswered(Now);
      else
        T.trialFailed(Rng, Now);
    }
    return Made;
  }
  void refuse() {
    fail();
    Now += Millis(100);
    fail();
    CHECK(T.access() == StoreAccess::Refused);
  }
  void setRegion(std::size_t Readers, std::size_t Refused) {
    Tree.Access.Readers = Readers;
    Tree.Access.Refused = Tree.Access.Sharing = Refused;
    Tree.Access.OutranksReaders = true;
    T.setTree(Tree, Rng, Now);
  }
};

} // namespace

TEST_CASE_FIXTURE(TrialsFixture, "answered calls cause no trial") {
  for (int Call = 0; Call < 100; ++Call) {
    T.answered(Now);
    CHECK(trials(Millis(1500), true) == 0);
  }
  CHECK(T.access() == StoreAccess::Untried);
}

TEST_CASE_FIXTURE(TrialsFixture, "one lost call is not a refusal") {
  // Two calls were open when the connection was lost.
  Instant Began = Now - Seconds(1);
  T.failed(Began, Rng, Now);
  T.failed(Began, Rng, Now);
  CHECK(T.access() == StoreAccess::Untried);
  T.answered(Now);
  CHECK(trials(Seconds(5), true) == 0);
}

TEST_CASE_FIXTURE(TrialsFixture, "a trial confirms that the store is silent") {
  T.failed(Now - Seconds(2), Rng, Now);
  CHECK(trials(Millis(300), false) == 1);
  CHECK(T.access() == StoreAccess::Refused);
}

TEST_CASE_FIXTURE(TrialsFixture, "a late answer is still an answer") {
  CHECK(T.suspect(Now));
  CHECK(T.due(Now));
  T.started(Now);
  Now += TrialPatience;
  T.tick(Rng, Now);
  CHECK(T.access() == StoreAccess::Refused);
  Now += Millis(100);
  T.trialAnswered(Now);
  CHECK(T.access() == StoreAccess::Reads);
  CHECK(T.patience() > TrialPatience);
}

TEST_CASE_FIXTURE(TrialsFixture, "a watcher suspects its calls seldom") {
  unsigned Made = 0;
  for (int Period = 0; Period < 50; ++Period) {
    T.suspect(Now);
    Made += trials(Millis(200), true);
  }
  CHECK(Made <= 7);
}

TEST_CASE_FIXTURE(TrialsFixture,
                  "a watcher that flaps takes over less and less often") {
  unsigned TakenOver = 0;
  setRegion(1, 1);
  for (Instant End = Now + Seconds(300); Now < End;) {
    if (T.access() == StoreAccess::Untried)
      refuse();
    trials(Millis(100), true);
    if (T.access() != StoreAccess::Reads)
      continue;
    ++TakenOver;
    refuse();
  }
  MESSAGE("took over ", TakenOver, " times in 300 s");
  CHECK(TakenOver <= 16);
  CHECK(TakenOver >= 5);
}

TEST_CASE_FIXTURE(TrialsFixture,
                  "a refused daemon reads at once when nobody else does") {
  setRegion(1, 1);
  refuse();
  CHECK(trials(MinRetryDelay + MinReturnDelay, true) >= 1);
  CHECK(T.access() == StoreAccess::Refused);
  setRegion(0, 2);
  CHECK(T.access() == StoreAccess::Reads);
}
