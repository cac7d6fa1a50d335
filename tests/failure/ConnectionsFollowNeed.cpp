// Guards against requests that wait for connections while other replicas are
// idle. When the replicas of a region are slow or unreachable, its daemon needs
// more connections to remote replicas than its share; it opens more one at a
// time and backs off when one is reset. An action uses no connection beyond the
// share, since it may have run on one that is reset.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct AllowanceFixture : ForwardFixture {
  AllowanceFixture() {
    Replicas.setFleetShare({1, 5, 1.0 / 6});
    add("far", "a", "there");
  }
  ReplicaPtr choose(bool WithinShare = false) {
    ServiceInfo Info{ServiceName("a"), 25};
    ReplicaCriteria C;
    C.Service = &Info;
    C.ServiceTime = Millis(10);
    C.WithinShare = WithinShare;
    return Replicas.choose(C, 0, Now);
  }
  /// Starts sends without ending them until no more is allowed; returns how
  /// many are open then.
  std::size_t fill(Duration For, bool WithinShare = false) {
    Instant End = Now + For;
    std::size_t Open = 0;
    for (; Now < End; Now += Millis(1))
      while (ReplicaPtr R = choose(WithinShare)) {
        R->sendStarted(Now);
        Open = R->openSends();
      }
    return Open;
  }
  std::size_t share() const {
    return connectionShare(25, Distance::OtherRegion, Replicas.fleetShare());
  }
};

} // namespace

TEST_CASE_FIXTURE(AllowanceFixture,
                  "connections beyond the share are opened one at a time") {
  CHECK(fill(Millis(10)) == share() + 1);
  std::size_t Later = fill(Millis(200));
  CHECK(Later >= share() + 8);
  CHECK(fill(Seconds(5)) <= 25 * 0.6 + 1);
}

TEST_CASE_FIXTURE(AllowanceFixture, "an action stays within the share") {
  CHECK(fill(Seconds(1), true) == share());
}

TEST_CASE("a reset halves the allowance and stops its growth for a while") {
  Instant Now{Seconds(1000)};
  ConnectionAllowance A;
  for (int I = 0; I < 10; ++I, Now += Millis(20))
    CHECK(A.grow(Now));
  std::size_t Before = A.extra(Now);
  A.refused(Now);
  CHECK(A.extra(Now) <= Before / 2 + 1);
  CHECK_FALSE(A.grow(Now + Seconds(1)));
  CHECK(A.grow(Now + Seconds(2)));
}

TEST_CASE("unused allowance decays") {
  Instant Now{Seconds(1000)};
  ConnectionAllowance A;
  for (int I = 0; I < 10; ++I, Now += Millis(20))
    A.grow(Now);
  CHECK(A.extra(Now) == 10);
  CHECK(A.extra(Now + Millis(1500)) == 5);
  CHECK(A.extra(Now + Seconds(10)) == 0);
}

TEST_CASE_FIXTURE(AllowanceFixture,
                  "a replica with a queue gets no further connections") {
  ReplicaPtr R = choose();
  R->loadReported({2, 5, 2}, Now);
  CHECK(fill(Millis(100)) == share());
  R->loadReported({2, 0, 2}, Now);
  CHECK(fill(Millis(100)) > share());
}
