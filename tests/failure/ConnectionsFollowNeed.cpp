// What callers see: nothing, when a region's replicas turn slow or dark. What
// happens: its daemon needs more connections to far replicas than its share,
// and these are idle; it takes more one by one, and gives way when one is
// reset. Why an action does not: on a connection that is reset it may have run.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct NeedFixture : ForwardFixture {
  NeedFixture() {
    Replicas.setFleetShare({1, 5, 1.0 / 6});
    add("far", "a", "there");
  }
  ReplicaPtr choose(bool WithinShare = false) {
    ServiceInfo Info{ServiceName("a"), 25};
    ReplicaCriteria C;
    C.Service = &Info;
    C.Work = Millis(10);
    C.WithinShare = WithinShare;
    return Replicas.choose(C, 0, Now);
  }
  /// Sends without an end until no more is allowed; how many are open then.
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

TEST_CASE_FIXTURE(NeedFixture, "whoever needs more takes more, one by one") {
  CHECK(fill(Millis(10)) == share() + 1);
  std::size_t Later = fill(Millis(200));
  CHECK(Later >= share() + 8);
  CHECK(fill(Seconds(5)) <= 25 * 0.6 + 1);
}

TEST_CASE_FIXTURE(NeedFixture, "an action keeps to the share") {
  CHECK(fill(Seconds(1), true) == share());
}

TEST_CASE("a reset gives half back and grows no more for a while") {
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

TEST_CASE("what is not wanted any more is given back") {
  Instant Now{Seconds(1000)};
  ConnectionAllowance A;
  for (int I = 0; I < 10; ++I, Now += Millis(20))
    A.grow(Now);
  CHECK(A.extra(Now) == 10);
  CHECK(A.extra(Now + Millis(1500)) == 5);
  CHECK(A.extra(Now + Seconds(10)) == 0);
}

TEST_CASE_FIXTURE(NeedFixture, "a replica with a queue gets no more of them") {
  ReplicaPtr R = choose();
  R->loadReported({2, 5, 2}, Now);
  CHECK(fill(Millis(100)) == share());
  R->loadReported({2, 0, 2}, Now);
  CHECK(fill(Millis(100)) > share());
}
