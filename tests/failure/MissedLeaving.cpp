// Guards against sends to a replica that left, where only its removal was read.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct RemovalFixture : FrontFixture {
  /// The removal of the only replica of the service, with its last state.
  void removeLast(const std::string &State) {
    KindChange C;
    C.Object.Name = Pay.id();
    C.Object.Revision = StoreRevision(0, 1000);
    C.Object.Content = Pay.registration(State);
    C.Removed = true;
    StoreSchema Schema = wire::storeSchema(Set);
    StoreObjectApplier(Loop, *Daemon, Schema).applyReplica(C, Loop.now());
  }
};

} // namespace

TEST_CASE_FIXTURE(
    RemovalFixture,
    "a replica that was leaving when it was removed gets nothing") {
  start();
  removeLast("draining");
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 503);
  CHECK(Pay.Seen.empty());
}

TEST_CASE_FIXTURE(RemovalFixture,
                  "a ready replica whose entry lapsed is held for a while") {
  start();
  removeLast("ready");
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 200);
}
