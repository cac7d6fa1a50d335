// Guards against hedges that are denied to the parts an answer still needs
// while requests wait for admission.
#include "ForwardFixture.h"

using namespace shallot;
using namespace shallot::test;

namespace {

struct QueuedRequestsFixture : ForwardFixture {
  QueuedRequestsFixture() {
    Shared.Rules.Retries.Constant = 100;
    Shared.RequestsQueued = true;
    for (const char *S : {"a", "b", "c", "d"})
      for (const char *Zone : {"here", "there"})
        add(std::string(S) + "-" + Zone, S, Zone);
  }

  /// A search over four shards with a minimum coverage of \p Least.
  ForwardRun search(double Least) {
    ShardFanOut Fan;
    for (const char *S : {"a", "b", "c", "d"})
      Fan.Shards.emplace_back(S);
    Fan.MaxRecords = 3;
    Fan.MinCoverage = Least;
    return run(route(Fan));
  }
};

} // namespace

TEST_CASE_FIXTURE(QueuedRequestsFixture,
                  "parts that an answer needs are hedged") {
  ForwardRun R = search(0.5);
  REQUIRE(R.begin(Shared, Now).Start.size() == 4);
  Now += Millis(5);
  R.replied(Shared, 0, answered(), Now);
  // One part succeeded and two are needed; any of the three open ones decides.
  CHECK_FALSE(tickUntil(R, Now + Millis(100)).Start.empty());
}

TEST_CASE_FIXTURE(QueuedRequestsFixture,
                  "parts are not hedged while many are open") {
  ForwardRun R = search(1);
  REQUIRE(R.begin(Shared, Now).Start.size() == 4);
  CHECK(tickUntil(R, Now + Millis(60)).Start.empty());
}

TEST_CASE_FIXTURE(QueuedRequestsFixture,
                  "with full coverage required the last two parts are hedged") {
  ForwardRun R = search(1);
  REQUIRE(R.begin(Shared, Now).Start.size() == 4);
  Now += Millis(5);
  R.replied(Shared, 0, answered(), Now);
  R.replied(Shared, 1, answered(), Now);
  CHECK_FALSE(tickUntil(R, Now + Millis(100)).Start.empty());
}
