// What callers see: nothing, while replicas crash and start again under the id
// that they had. What happens: the registration comes with a later start time;
// slowness, losses and open sends of the process before say nothing of the new
// one. Words of the old process come late, by any way and in any order. Why
// they are told apart by the start time: the id, the address and the counts
// may all be the same.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr std::uint64_t Before = 1'700'000'000'000;
constexpr std::uint64_t After = Before + 9000;

struct RestartFixture : ForwardFixture {
  ReplicaEntry entry(std::uint64_t Started, std::uint16_t Port = 1) const {
    ReplicaEntry E;
    E.Id = UpstreamId("r");
    E.Service = ServiceName("a");
    E.At = {"10.0.0.1", Port};
    E.Zone = AvailabilityZone("here");
    E.Reg = Region("here");
    E.Slots = 2;
    E.StartedUnixMs = Started;
    return E;
  }
  ReplicaPtr chosen() {
    ServiceInfo Info{ServiceName("a"), 100};
    ReplicaCriteria C;
    C.Service = &Info;
    C.Work = Millis(10);
    return Replicas.choose(C, 0, Now);
  }
  void loseThree(const ReplicaPtr &R) {
    for (int I = 0; I < 3; ++I) {
      R->sendStarted(Now);
      R->sendEnded(Now, SendStatus::Lost, Millis(10), Now);
    }
  }
};

} // namespace

TEST_CASE_FIXTURE(RestartFixture, "what was seen of the one before is void") {
  Replicas.put(entry(Before), Now);
  ReplicaPtr Old = chosen();
  loseThree(Old);
  Old->loadReported({2, 12, 2}, Now);
  CHECK_FALSE(chosen());
  Replicas.put(entry(After), Now);
  ReplicaPtr New = chosen();
  REQUIRE(New);
  CHECK(New != Old);
  CHECK(New->openSends() == 0);
  CHECK(New->predicted(Millis(10), Now) < Millis(12));
  CHECK(New->connectionsValidFrom() == Now);
  // The end of a send to the old process does not count against the new one.
  Old->sendEnded(Now, SendStatus::Lost, Millis(10), Now);
  CHECK_FALSE(New->ejected());
}

TEST_CASE_FIXTURE(RestartFixture, "at another address it is found there") {
  Replicas.put(entry(Before), Now);
  Replicas.put(entry(After, 2), Now);
  REQUIRE(chosen());
  CHECK(chosen()->entry().At.Port == 2);
  // The old process's last heartbeat reaches the store behind the new one's.
  Replicas.put(entry(Before, 1), Now);
  CHECK(chosen()->entry().At.Port == 2);
  CHECK(Replicas.size() == 1);
}

TEST_CASE_FIXTURE(RestartFixture, "a late word that it drains empties nobody") {
  Replicas.put(entry(Before), Now);
  Replicas.put(entry(After), Now);
  ReplicaEntry Draining = entry(Before);
  Draining.Leaving = true;
  Replicas.put(Draining, Now);
  REQUIRE(chosen());
  // In a list as well: after an outage, or when history was compacted.
  Replicas.replaceAll({Draining}, Now);
  CHECK(chosen());
}

TEST_CASE_FIXTURE(RestartFixture, "one that drained starts again and serves") {
  ReplicaEntry Draining = entry(Before);
  Draining.Leaving = true;
  Replicas.put(Draining, Now);
  CHECK_FALSE(chosen());
  Replicas.put(entry(After), Now);
  CHECK(chosen());
  Replicas.put(Draining, Now);
  CHECK(chosen());
}

TEST_CASE_FIXTURE(RestartFixture,
                  "an old word brings nothing back that was removed") {
  Replicas.put(entry(After), Now);
  Replicas.remove(UpstreamId("r"), Now);
  Now += Seconds(10);
  Replicas.expire(Now);
  CHECK(Replicas.size() == 0);
  Replicas.put(entry(Before), Now);
  CHECK_FALSE(chosen());
  CHECK(Replicas.size() == 0);
}

TEST_CASE_FIXTURE(RestartFixture, "it starts again while the store is away") {
  Replicas.put(entry(Before), Now);
  Replicas.storeLost();
  ReplicaPtr Old = chosen();
  loseThree(Old);
  Now += Seconds(20);
  Replicas.storeRecovered(Now);
  Replicas.replaceAll({entry(After)}, Now);
  REQUIRE(chosen());
  CHECK(chosen() != Old);
}

TEST_CASE_FIXTURE(RestartFixture, "a clock that was set back is found out") {
  Replicas.put(entry(After), Now);
  ReplicaPtr Old = chosen();
  // The new process says so at each heartbeat; nobody contradicts it.
  Replicas.put(entry(Before, 2), Now);
  Now += Seconds(3);
  Replicas.put(entry(Before, 2), Now);
  Replicas.expire(Now);
  CHECK(chosen() == Old);
  Now += Seconds(2) + Millis(100);
  Replicas.expire(Now);
  REQUIRE(chosen());
  CHECK(chosen()->entry().At.Port == 2);
  CHECK(chosen()->entry().StartedUnixMs == Before);
}

TEST_CASE_FIXTURE(RestartFixture, "an old word that is contradicted is not") {
  Replicas.put(entry(After), Now);
  Replicas.put(entry(Before, 2), Now);
  Now += Seconds(2);
  Replicas.put(entry(After), Now);
  Now += Seconds(10);
  Replicas.expire(Now);
  CHECK(chosen()->entry().At.Port == 1);
}

TEST_CASE_FIXTURE(RestartFixture, "without a start time nothing flaps") {
  Replicas.put(entry(After), Now);
  ReplicaPtr Known = chosen();
  Replicas.put(entry(0), Now);
  CHECK(chosen() == Known);
  Replicas.put(entry(After), Now);
  CHECK(chosen() == Known);
  Replicas.put(entry(Before), Now);
  CHECK(chosen() == Known);
}

TEST_CASE_FIXTURE(RestartFixture,
                  "an action under way across the restart may have run") {
  Replicas.put(entry(Before), Now);
  ForwardRun Run = run(route(ServiceName("a"), RetrySemantics::AtMostOnce));
  RunOutput Out = Run.begin(Shared, Now);
  REQUIRE(Out.Start.size() == 1);
  Replicas.put(entry(After), Now);
  SendResult Lost;
  Lost.How = SendStatus::Lost;
  Out = Run.replied(Shared, 0, Lost, Now);
  CHECK(Out.Start.empty());
  REQUIRE(Out.Answer);
  CHECK(std::get<LocalAnswer>(*Out.Answer).Code == ResultCode::OutcomeUnknown);
}

TEST_CASE("the table forgets what was removed a minute ago, not before") {
  IncarnationTable T;
  Instant Now{Seconds(1000)};
  ReplicaEntry E;
  E.Id = UpstreamId("r");
  E.StartedUnixMs = After;
  CHECK(T.observe(E, Now) == IncarnationOrder::Current);
  T.removed(E.Id, Now);
  T.forget(Now + Seconds(59));
  CHECK(T.size() == 1);
  T.forget(Now + Seconds(60));
  CHECK(T.size() == 0);
}
