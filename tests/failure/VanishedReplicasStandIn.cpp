// Guards against a service without replicas while registrations of live ones
// lapse, because the store is unreachable or lost entries. Some entries return
// with the store; a replica whose entry does not has left. The hold is bounded,
// since a replica that leaves without notice serves for a few more seconds
// only.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct ReplicaFixture : ForwardFixture {
  ReplicaFixture() {
    add("near", "a", "here");
    add("far", "a", "there");
  }
  std::string chosen() {
    ServiceInfo Info{ServiceName("a"), 100};
    ReplicaCriteria C;
    C.Service = &Info;
    C.ServiceTime = Millis(10);
    ReplicaPtr R = Replicas.choose(C, 0, Now);
    return R ? R->entry().Id.str() : "none";
  }
  void vanish(const std::string &Id) { Replicas.remove(UpstreamId(Id), Now); }
};

} // namespace

TEST_CASE_FIXTURE(ReplicaFixture,
                  "a vanished replica is unused while there is another") {
  CHECK(chosen() == "near");
  vanish("near");
  CHECK(chosen() == "far");
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "the last replicas are held for a while, then removed") {
  vanish("near");
  vanish("far");
  CHECK(chosen() == "near");
  CHECK(Replicas.servable({ServiceName("a"), 100}, AllowedRegions::anywhere(),
                          Now));
  Now += ReplicaRegistryOptions().LapseHold;
  CHECK(chosen() == "none");
  CHECK_FALSE(Replicas.servable({ServiceName("a"), 100},
                                AllowedRegions::anywhere(), Now));
  Replicas.expire(Now);
  CHECK(Replicas.size() == 0);
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "after an outage entries have time to come back") {
  Replicas.storeLost();
  vanish("near");
  vanish("far");
  Now += Seconds(9);
  Replicas.expire(Now);
  Replicas.storeRecovered(Now);
  CHECK(chosen() == "near");
  Now += Seconds(2);
  add("far", "a", "there");
  CHECK(chosen() == "far");
  Now += Seconds(1);
  Replicas.expire(Now);
  CHECK(Replicas.size() == 1);
}

// Guards against sends to a replica that left, held again after each further
// loss of the feed.
TEST_CASE_FIXTURE(ReplicaFixture,
                  "losses of the feed after a replica vanished do not prolong "
                  "its hold") {
  const ReplicaRegistryOptions Usual;
  Replicas.storeLost();
  Now += Millis(300);
  Replicas.storeRecovered(Now);
  vanish("near");
  vanish("far");
  Instant HeldUntil = Now + std::max(Usual.LapseHold, Usual.RecoveryGrace);
  CHECK(chosen() == "near");
  Now += Millis(2100);
  Replicas.storeLost();
  Replicas.expire(Now);
  CHECK(chosen() == "near");
  Now = HeldUntil;
  CHECK(chosen() == "none");
  Now += Seconds(1);
  Replicas.storeRecovered(Now);
  CHECK(chosen() == "none");
  Replicas.expire(Now);
  CHECK(Replicas.size() == 0);
}

// Guards against sends to a replica that left while nobody told this daemon.
TEST_CASE_FIXTURE(ReplicaFixture,
                  "a replica that vanished while the feed was lost is held "
                  "for no longer than it serves on") {
  const ReplicaRegistryOptions Usual;
  Instant LastHeard = Now;
  Replicas.storeLost();
  SUBCASE("for less than that") { Now += Millis(1200); }
  SUBCASE("for longer") { Now += Millis(3200); }
  Replicas.storeRecovered(Now, false);
  Replicas.remove(UpstreamId("near"), Now, LastHeard);
  Replicas.remove(UpstreamId("far"), Now, LastHeard);
  for (; Now < LastHeard + Seconds(6); Now += Millis(100))
    CHECK((Now < LastHeard + Usual.ServesOn || chosen() == "none"));
  Replicas.expire(Now);
  CHECK(Replicas.size() == 0);
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "a leaving replica gets nothing, not even alone") {
  add("near", "a", "here", true);
  add("far", "a", "there", true);
  CHECK(chosen() == "none");
  vanish("near");
  CHECK(chosen() == "none");
}

TEST_CASE_FIXTURE(ReplicaFixture, "a replica that a list lacks has vanished") {
  Replicas.replaceAll({{UpstreamId("far"),
                        ServiceName("a"),
                        {"10.0.0.1", 1},
                        AvailabilityZone("there"),
                        Region("there"),
                        2,
                        false,
                        {}}},
                      Now);
  CHECK(chosen() == "far");
  Now += Seconds(3);
  Replicas.expire(Now);
  CHECK(Replicas.size() == 1);
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "a replica that moved to another service is new") {
  Replicas.put({UpstreamId("near"),
                ServiceName("b"),
                {"10.0.0.1", 1},
                AvailabilityZone("here"),
                Region("here"),
                2,
                false,
                {}},
               Now);
  CHECK(chosen() == "far");
}
