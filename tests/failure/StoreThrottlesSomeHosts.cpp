// Guards against a feed that is led by a host that the store throttles.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

StoreAccess announcedBy(const FrontFixture &Bed) {
  return Bed.Daemon->fleet().self().Store;
}

} // namespace

TEST_CASE_FIXTURE(FrontFixture,
                  "a throttled daemon announces that it cannot read") {
  start();
  Store.setFaults({.Mode = StoreMode::Throttled});
  // The open watch ends, and a trial confirms its failure.
  runFor(StoreWatchWait + Millis(500));
  CHECK(announcedBy(*this) == StoreAccess::Refused);
}

TEST_CASE_FIXTURE(FrontFixture, "a throttled trial proves no access") {
  start();
  Store.setFaults({.Mode = StoreMode::Reset});
  runFor(Millis(500));
  REQUIRE(announcedBy(*this) == StoreAccess::Refused);
  Store.setFaults({.Mode = StoreMode::Throttled});
  runFor(Seconds(5));
  CHECK(announcedBy(*this) == StoreAccess::Refused);
}
