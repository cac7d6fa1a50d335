// All daemons with the same view compute the same allocation. It covers all
// slots of each upstream exactly once and no more connections than the upstream
// accepts.
#include "AllocationFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::fixture;

namespace {

void checkCaps(const Config &C, const SlotAllocation &A) {
  eachUpstream(C, [&](const Upstream &U) {
    unsigned Slots = 0;
    unsigned Connections = 0;
    for (const Holder &H : A.holders(U->Id)) {
      Slots += H.Slots;
      Connections += H.Connections;
      CHECK(H.Connections >= H.Slots);
    }
    CHECK(Slots == U->Slots);
    CHECK(Connections <= U->Connections);
  });
}

} // namespace

TEST_CASE(
    "random fleets allocate every slot once and stay within connections") {
  Random Rng(7);
  for (int Round = 0; Round < 200; ++Round) {
    Shape S;
    S.Services = 1 + below(Rng, 8);
    S.Replicas = 1 + below(Rng, 9);
    S.Slots = 1 + below(Rng, 7);
    S.Connections = S.Slots + below(Rng, 20);
    S.Zones = 1 + below(Rng, 4);
    ConfigPtr C = config(S);
    // Daemons may be in zones without upstreams, and vice versa.
    FleetView V = fleet(1 + below(Rng, 40), 1 + below(Rng, 5));
    SlotAllocation A = SlotAllocation::make(*C, V, V.Members[0].Id);
    checkCaps(*C, A);
    unsigned PerService = S.Replicas * S.Slots;
    if (PerService < V.Members.size())
      continue;
    for (unsigned Svc = 0; Svc < S.Services; ++Svc) {
      std::map<HostId, unsigned> Held;
      for (unsigned R = 0; R < S.Replicas; ++R)
        for (const Holder &H : A.holders(upstream(S, Svc, R)->Id))
          Held[H.Daemon->Id.Host] += H.Slots;
      CHECK(Held.size() == V.Members.size());
      for (const auto &[Host, N] : Held)
        CHECK(N <= PerService / V.Members.size() + 1);
    }
  }
}

TEST_CASE(
    "the current six daemons hold one slot of each service, in their zone") {
  ConfigPtr C = config(Shape());
  FleetView V = fleet(6, 3);
  SlotAllocation A = SlotAllocation::make(*C, V, V.Members[2].Id);
  CHECK(A.heldBySelf().size() == 25);
  eachUpstream(*C, [&](const Upstream &U) {
    for (const Holder &H : A.holders(U->Id)) {
      CHECK(H.Daemon->Zone == U->Zone);
      CHECK(H.Slots == 1);
      CHECK(H.Connections == 2);
    }
  });
}

TEST_CASE("only members that take new work hold slots, one per host") {
  ConfigPtr C = config(Shape());
  FleetView V = fleet(6, 3);
  V.Members[0].State = MemberState::Leaving;
  V.Members[1].State = MemberState::Starting;
  Member Restarted = V.Members[2];
  Restarted.Id.Incarnation = 2;
  V.Members.push_back(Restarted);
  SlotAllocation A = SlotAllocation::make(*C, V, V.Members[0].Id);
  CHECK(A.heldBySelf().empty());
  eachUpstream(*C, [&](const Upstream &U) {
    for (const Holder &H : A.holders(U->Id)) {
      CHECK(takesNewWork(*H.Daemon));
      CHECK(H.Daemon->Id != V.Members[2].Id);
    }
  });
  checkCaps(*C, A);
  CHECK(SlotAllocation::make(*C, FleetView(), DaemonId()).heldBySelf().empty());
}
