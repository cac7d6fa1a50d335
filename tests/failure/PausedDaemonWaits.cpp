// A daemon is suspended and resumes without noticing, while others reassigned
// its slots and callers. It must refuse to act (StaleDaemon) until two peers
// have answered requests sent after the pause, and must not accuse others of
// the silence that it caused itself.
#include "FleetBag.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

TEST_CASE("a resumed daemon may not act even before its first tick") {
  FleetBag Bag(6, 8);
  Bag.startMet();
  Bag.run(Seconds(5));
  CHECK(Bag.at(2).mayAct(Bag.Now));
  CHECK(Bag.at(2).mayAct(Bag.Now + Millis(1400)));
  CHECK_FALSE(Bag.at(2).mayAct(Bag.Now + Seconds(2)));
  CHECK(
      Bag.at(2).refusalReason(Bag.Now + Seconds(2)).find("did not run for 2") ==
      0);
}

TEST_CASE("it accuses nobody, learns that it was failed, and recovers") {
  FleetBag Bag(6, 8);
  Bag.startMet();
  Bag.run(Seconds(5));
  Bag.pause(2, Seconds(60));
  Bag.run(Seconds(60));
  CHECK(Bag.seen(0, 2) == MemberState::Failed);
  std::size_t FailedBefore = Bag.countEvents(MembershipEventKind::Failed);
  Bag.run(Seconds(10));
  CHECK(Bag.countEvents(MembershipEventKind::Failed) == FailedBefore);
  CHECK(Bag.countEvents(MembershipEventKind::Paused) == 1);
  CHECK(Bag.countEvents(MembershipEventKind::CaughtUp) == 1);
  CHECK(Bag.countEvents(MembershipEventKind::Accused) >= 1);
  CHECK(Bag.agreed());
  CHECK(Bag.at(2).mayAct(Bag.Now));
}

TEST_CASE("it shows itself as failed first, so that slots are gained again") {
  FleetBag Bag(6, 8);
  Bag.startMet();
  Bag.run(Seconds(5));
  Bag.pause(2, Seconds(60));
  Bag.run(Seconds(60) + Millis(500));
  CHECK(Bag.seen(2, 2) == MemberState::Failed);
  CHECK(Bag.at(2).self().State == MemberState::Alive);
  Bag.run(Seconds(5));
  CHECK(Bag.seen(2, 2) == MemberState::Alive);
}

TEST_CASE("answers to requests from before the pause do not count") {
  FleetBag Bag(6, 8);
  Bag.startMet();
  Bag.run(Seconds(5));
  Bag.pause(2, Seconds(20));
  Bag.run(Seconds(19));
  // From now on it only receives what was queued in its socket.
  Bag.Faults.Cut = [](std::size_t A, std::size_t B) {
    return A == 2 || B == 2;
  };
  CHECK(Bag.Nodes[2].WhilePaused.size() > 5);
  Bag.run(Seconds(3));
  CHECK(Bag.countEvents(MembershipEventKind::Paused) == 1);
  CHECK_FALSE(Bag.at(2).mayAct(Bag.Now));
  CHECK(Bag.at(2).refusalReason(Bag.Now).find("0 of 2 peers") !=
        std::string::npos);
  Bag.Faults.Cut = nullptr;
  Bag.run(Seconds(2));
  CHECK(Bag.at(2).mayAct(Bag.Now));
}

TEST_CASE("a pause of the whole fleet fails nobody") {
  FleetBag Bag(24, 8);
  Bag.startMet();
  Bag.run(Seconds(5));
  for (std::size_t N = 0; N < 24; ++N)
    Bag.pause(N, Seconds(30));
  Bag.run(Seconds(50));
  CHECK(Bag.countEvents(MembershipEventKind::Failed) == 0);
  CHECK(Bag.agreed());
}

// Guards against a daemon that waits for ever for peers that are gone.
TEST_CASE("a resumed daemon whose peers were lost meanwhile goes on alone") {
  FleetBag Bag(6, 8);
  Bag.startMet();
  Bag.run(Seconds(5));
  Bag.pause(2, Seconds(4));
  Bag.run(Seconds(1));
  for (std::size_t N : {0, 1, 3, 4, 5})
    Bag.crash(N);
  Bag.run(Seconds(3) + Seconds(40));
  CHECK(Bag.at(2).peersKnown() == 0);
  CHECK(Bag.at(2).mayAct(Bag.Now));
  CHECK(Bag.seen(2, 2) == MemberState::Alive);
}
