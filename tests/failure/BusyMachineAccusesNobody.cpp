// Guards against false failures under CPU contention, which would send callers
// away from daemons that serve. Every datagram and every tick is delayed by up
// to 300 ms on all daemons, without loss. Timeouts adapted to round trips, the
// suspicion timeout and local health must prevent accusations.
#include "FleetBag.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

TEST_CASE("no false failure without loss, with 300 ms of processing delay") {
  for (std::size_t Members : {3, 6, 40}) {
    CAPTURE(Members);
    FleetBag Bag(Members, Members);
    Bag.startMet();
    Bag.Faults.MaxProcessing = Millis(300);
    Bag.run(Seconds(600));
    CHECK(Bag.countEvents(MembershipEventKind::Failed) == 0);
    CHECK(Bag.countEvents(MembershipEventKind::Paused) == 0);
  }
}

TEST_CASE("one slow daemon of six is not failed") {
  FleetBag Bag(6, 4);
  Bag.startMet();
  // Stops for one of every two seconds, less than the suspicion timeout.
  for (int Round = 0; Round < 150; ++Round) {
    Bag.pause(2, Seconds(1));
    Bag.run(Seconds(2));
  }
  CHECK(Bag.countEvents(MembershipEventKind::Failed) == 0);
}

TEST_CASE("nobody is failed with 10% packet loss") {
  for (std::size_t Members : {6, 40}) {
    CAPTURE(Members);
    FleetBag Bag(Members, 3);
    Bag.startMet();
    Bag.Faults.Loss = 0.1;
    Bag.run(Seconds(600));
    CHECK(Bag.countEvents(MembershipEventKind::Failed) == 0);
  }
}
