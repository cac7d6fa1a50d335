// A daemon restarts before its failure is detected. Updates about the old
// incarnation, including suspicions, must not apply to the new one, and an old
// process that is still running must notice the new one and stop acting.
#include "FleetBag.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

TEST_CASE("a quick restart replaces the old incarnation") {
  FleetBag Bag(6, 3);
  Bag.startMet();
  Bag.crash(4);
  Bag.run(Seconds(2)); // It may be suspected, but is not Failed yet.
  Bag.start(4);
  CHECK(Bag.untilAgreed(Seconds(20)) < Seconds(5));
  Bag.run(Seconds(20));
  CHECK(Bag.countEvents(MembershipEventKind::Failed) == 0);
  CHECK(Bag.countEvents(MembershipEventKind::Restarted) == 5);
  CHECK(Bag.countEvents(MembershipEventKind::Ended) == 5);
}

TEST_CASE("an old incarnation that learns of a later one may not act") {
  FleetBag Bag(3, 3);
  Bag.startMet();
  GossipMessage M;
  M.Sender.Who = Bag.member(1);
  MemberUpdate Later;
  Later.Who = Bag.member(0);
  Later.Who.Id.Incarnation = 99;
  M.Updates.push_back(Later);
  MembershipOutput Out = Bag.Nodes[0].Machine->onMessage(M, Bag.Now);
  REQUIRE(Out.Events.size() == 1);
  CHECK(Out.Events[0].Kind == MembershipEventKind::Superseded);
  CHECK_FALSE(Bag.at(0).mayAct(Bag.Now));
}

TEST_CASE("a planned leave is known everywhere within a second or two") {
  FleetBag Bag(6, 3);
  Bag.startMet();
  Bag.say(4, MemberState::Leaving);
  Bag.run(Seconds(2));
  for (std::size_t N = 0; N < 6; ++N)
    CHECK(Bag.seen(N, 4) == MemberState::Leaving);
  Bag.say(4, MemberState::Left);
  Bag.crash(4);
  Bag.run(Seconds(2));
  for (std::size_t N = 0; N < 6; ++N)
    if (Bag.up(N))
      CHECK(Bag.seen(N, 4) == MemberState::Left);
  Bag.run(Seconds(30));
  CHECK(Bag.countEvents(MembershipEventKind::Failed) == 0);
}
