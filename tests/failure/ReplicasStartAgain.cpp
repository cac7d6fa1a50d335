// Guards against state of an ended process that is applied to its successor
// under the same id. The new registration has a later start time; slowness,
// losses and open sends of the old process do not apply to it, and
// registrations of the old process may arrive late, by any path and in any
// order. Only the start time tells them apart: the id, the address and the
// counts may be the same.
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
    C.ServiceTime = Millis(10);
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

TEST_CASE_FIXTURE(RestartFixture,
                  "observations of the previous incarnation are dropped") {
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

TEST_CASE_FIXTURE(RestartFixture, "it is used at its new address") {
  Replicas.put(entry(Before), Now);
  Replicas.put(entry(After, 2), Now);
  REQUIRE(chosen());
  CHECK(chosen()->entry().At.Port == 2);
  // The old process's last heartbeat reaches the store after the new one's.
  Replicas.put(entry(Before, 1), Now);
  CHECK(chosen()->entry().At.Port == 2);
  CHECK(Replicas.size() == 1);
}

TEST_CASE_FIXTURE(RestartFixture,
                  "a late drain notice of the old process is ignored") {
  Replicas.put(entry(Before), Now);
  Replicas.put(entry(After), Now);
  ReplicaEntry Draining = entry(Before);
  Draining.Leaving = true;
  Replicas.put(Draining, Now);
  REQUIRE(chosen());
  // The same in a list, as after an outage or when history was compacted.
  Replicas.replaceAll({Draining}, Now);
  CHECK(chosen());
}

TEST_CASE_FIXTURE(RestartFixture,
                  "a replica that drained and restarted serves") {
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
                  "an old registration does not restore a removed replica") {
  Replicas.put(entry(After), Now);
  Replicas.remove(UpstreamId("r"), Now);
  Now += Seconds(10);
  Replicas.expire(Now);
  CHECK(Replicas.size() == 0);
  Replicas.put(entry(Before), Now);
  CHECK_FALSE(chosen());
  CHECK(Replicas.size() == 0);
}

TEST_CASE_FIXTURE(RestartFixture,
                  "a restart during a store outage is detected") {
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

TEST_CASE_FIXTURE(RestartFixture, "a clock that was set back is detected") {
  Replicas.put(entry(After), Now);
  ReplicaPtr Old = chosen();
  // The new process registers at each heartbeat; nothing contradicts it.
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

TEST_CASE_FIXTURE(RestartFixture,
                  "a contradicted old registration is not accepted") {
  Replicas.put(entry(After), Now);
  Replicas.put(entry(Before, 2), Now);
  Now += Seconds(2);
  Replicas.put(entry(After), Now);
  Now += Seconds(10);
  Replicas.expire(Now);
  CHECK(chosen()->entry().At.Port == 1);
}

TEST_CASE_FIXTURE(RestartFixture,
                  "a registration without a start time changes nothing") {
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
                  "an action in flight during the restart may have run") {
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
