// How far a replica is follows from what connections and replies show, wherever
// it is: no figure of a network is built in but a guess until the first one.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

TEST_CASE("the first connection replaces the guess") {
  RttEstimate T(Millis(20));
  T.opened(Millis(90));
  CHECK(T.value() == Millis(90));
}

TEST_CASE("a busy host is no longer way, a longer way is learnt") {
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

TEST_CASE("no reply is quicker than the way") {
  RttEstimate T(Millis(20));
  T.opened(Millis(40));
  T.replied(Millis(25));
  CHECK(T.value() == Millis(25));
  T.replied(Millis(60));
  CHECK(T.value() == Millis(25));
}

TEST_CASE_FIXTURE(ForwardFixture, "replicas of a zone share what is observed") {
  add("one", "a", "there");
  add("two", "b", "there");
  add("near", "c", "here");
  auto Of = [&](const char *Service) {
    ServiceInfo Info{ServiceName(Service), 100};
    ReplicaCriteria C;
    C.Service = &Info;
    C.Work = Millis(10);
    return Replicas.choose(C, 0, Now);
  };
  Of("a")->rtt().opened(Millis(90));
  CHECK(Of("b")->roundTrip() == Millis(90));
  CHECK(Of("c")->roundTrip() < Millis(1));
}

TEST_CASE_FIXTURE(ForwardFixture,
                  "a reply over a long way is no late one, and not hedged") {
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
  // The next one waits for the whole way and its work before it asks again.
  ForwardRun Next = run(route(ServiceName("a")));
  Now = Began + Millis(200);
  REQUIRE(Next.begin(Shared, Now).Start.size() == 1);
  CHECK(tickUntil(Next, Now + Millis(95)).Start.empty());
}
