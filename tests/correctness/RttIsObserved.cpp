// Guards against predictions from assumed network distances: the RTT to a
// replica is learned from connections and replies, and an assumed one is used
// only until the first of them.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

TEST_CASE("the first connection replaces the initial estimate") {
  RttEstimate T(Millis(20));
  T.opened(Millis(90));
  CHECK(T.value() == Millis(90));
}

TEST_CASE("one slow connection does not raise the RTT, a longer path does") {
  RttEstimate T(Millis(20));
  T.opened(Millis(16));
  T.opened(Millis(900));
  CHECK(T.value() < Millis(18));
  for (int I = 0; I < 60; ++I)
    T.opened(Millis(30));
  CHECK(T.value() > Millis(28));
  T.opened(Millis(16));
  CHECK(T.value() == Millis(16));
}

TEST_CASE("a reply bounds the RTT") {
  RttEstimate T(Millis(20));
  T.opened(Millis(40));
  T.replied(Millis(25));
  CHECK(T.value() == Millis(25));
  T.replied(Millis(60));
  CHECK(T.value() == Millis(25));
}

TEST_CASE_FIXTURE(ForwardFixture, "replicas of a zone share an RTT estimate") {
  add("one", "a", "there");
  add("two", "b", "there");
  add("near", "c", "here");
  auto Of = [&](const char *Service) {
    ServiceInfo Info{ServiceName(Service), 100};
    ReplicaCriteria C;
    C.Service = &Info;
    C.ServiceTime = Millis(10);
    return Replicas.choose(C, 0, Now);
  };
  Of("a")->rtt().opened(Millis(90));
  CHECK(Of("b")->roundTrip() == Millis(90));
  CHECK(Of("c")->roundTrip() < Millis(1));
}

TEST_CASE_FIXTURE(ForwardFixture,
                  "a reply over a long distance is not late and not hedged") {
  add("far", "a", "there");
  add("far-too", "a", "there");
  ForwardRun R = run(route(ServiceName("a")));
  RunOutput Out = R.begin(Shared, Now);
  REQUIRE(Out.Start.size() == 1);
  ReplicaPtr To = Out.Start.front().To;
  Instant Began = Now;
  SendResult First = answered();
  First.Opened = Millis(90);
  Out = R.replied(Shared, 0, First, Began + Millis(100));
  CHECK(To->slowness(Began + Millis(100)) < 1.5);
  // The next send is not hedged before the whole RTT and the service time have
  // passed.
  ForwardRun Next = run(route(ServiceName("a")));
  Now = Began + Millis(200);
  REQUIRE(Next.begin(Shared, Now).Start.size() == 1);
  CHECK(tickUntil(Next, Now + Millis(95)).Start.empty());
}
