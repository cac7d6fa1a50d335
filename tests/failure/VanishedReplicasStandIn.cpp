// What callers see: nothing, while registrations of live replicas lapse. What
// happens: the store is away or forgets, entries vanish, and some come back
// when it returns; one that stays away is gone. Why the hold has an end: a
// replica that leaves without a word serves on for a few seconds only.
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
    C.Work = Millis(10);
    ReplicaPtr R = Replicas.choose(C, 0, Now);
    return R ? R->entry().Id.str() : "none";
  }
  void vanish(const std::string &Id) { Replicas.remove(UpstreamId(Id), Now); }
};

} // namespace

TEST_CASE_FIXTURE(ReplicaFixture,
                  "a vanished replica is left while there is another") {
  CHECK(chosen() == "near");
  vanish("near");
  CHECK(chosen() == "far");
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "the last ones stand in for a while, then are gone") {
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

TEST_CASE_FIXTURE(ReplicaFixture,
                  "a leaving replica gets nothing, not even alone") {
  add("near", "a", "here", true);
  add("far", "a", "there", true);
  CHECK(chosen() == "none");
  vanish("near");
  CHECK(chosen() == "none");
}

TEST_CASE_FIXTURE(ReplicaFixture, "what a list does not name has vanished") {
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
                  "an address that moved to another service is new") {
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
