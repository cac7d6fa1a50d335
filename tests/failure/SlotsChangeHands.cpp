// Guards against two daemons using the same slot when the fleet changes and
// daemons learn of it at different times: the upstream would get more
// concurrent requests than it has slots and shed them. HandoverGuard must not
// use a gained slot until every reachable daemon has the new view and the work
// that ran on the slot has ended. The cap then holds as long as views propagate
// within ViewPropagationTime; for slower propagation the overshoot is measured.
#include "AllocationFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::fixture;

namespace {

constexpr unsigned Daemons = 9;
constexpr unsigned Views = 12;
constexpr Duration Tick = Millis(50);
/// Every sub-request takes as long as its deadline.
constexpr Duration Work = Seconds(1);
const Shape Services{4, 3, 2, 25, 3};

/// A daemon that keeps all its usable slots busy.
class BusyDaemon {
public:
  BusyDaemon(DaemonId Id, Duration GuardTime)
      : Id(std::move(Id)), Guard(GuardTime) {}

  void applyView(const Config &C, const FleetView &V, Instant Now) {
    Guard.update(SlotAllocation::make(C, V, Id), Now);
  }

  /// Number of requests at the upstream: on usable slots, and started before a
  /// slot was lost.
  unsigned running(const UpstreamId &U, Instant Now) {
    std::vector<Instant> &Until = BusyUntil[U];
    Until.resize(Services.Slots);
    unsigned Usable = Guard.usable(U).Slots;
    unsigned N = 0;
    for (unsigned I = 0; I < Services.Slots; ++I) {
      if (I < Usable)
        Until[I] = Now + Work;
      N += Until[I] > Now ? 1 : 0;
    }
    return N;
  }

  unsigned connections(const UpstreamId &U, unsigned Running) const {
    return std::max(Guard.usable(U).Connections, Running);
  }

  DaemonId Id;
  HandoverGuard Guard;
  unsigned Seen = 0; ///< Number of the last view.

private:
  std::map<UpstreamId, std::vector<Instant>> BusyUntil;
};

struct Overshoot {
  unsigned Slots = 0;       ///< Maximum beyond the cap at an upstream.
  unsigned Connections = 0; ///< Maximum open at an upstream.
  unsigned Peak = 0;        ///< Maximum requests at an upstream.
};

struct ViewChange {
  FleetView View;
  std::vector<Instant> SeenAt; ///< By daemon.
};

std::vector<ViewChange> randomHistory(Random &Rng, Duration Spread) {
  std::vector<ViewChange> Out;
  std::vector<bool> In(Daemons, true);
  Instant At = Instant() + Seconds(20);
  for (unsigned N = 1; N <= Views; ++N) {
    ViewChange P;
    P.View.Number = N;
    if (N > 1)
      In[below(Rng, Daemons)].flip();
    for (unsigned D = 0; D < Daemons; ++D) {
      if (In[D])
        P.View.Members.push_back(daemon(D, Services.Zones));
      auto Late = Duration(below(Rng, std::uint64_t(Spread.count())));
      P.SeenAt.push_back(N == 1 ? Instant() : At + Late);
    }
    At += Millis(200 + below(Rng, 8000));
    Out.push_back(P);
  }
  return Out;
}

Overshoot run(std::uint64_t Seed, Duration Spread, Duration GuardTime) {
  Random Rng(Seed);
  ConfigPtr C = config(Services);
  std::vector<ViewChange> History = randomHistory(Rng, Spread);
  std::vector<BusyDaemon> Fleet;
  for (unsigned D = 0; D < Daemons; ++D)
    Fleet.emplace_back(daemon(D, Services.Zones).Id, GuardTime);
  Overshoot Worst;
  Instant End = History.back().SeenAt[0] + Seconds(20);
  for (Instant Now; Now < End; Now += Tick) {
    for (unsigned D = 0; D < Daemons; ++D) {
      Fleet[D].Guard.due(Now);
      for (const ViewChange &P : History)
        if (P.SeenAt[D] <= Now && P.View.Number > Fleet[D].Seen) {
          Fleet[D].Seen = P.View.Number;
          Fleet[D].applyView(*C, P.View, Now);
        }
    }
    eachUpstream(*C, [&](const Upstream &U) {
      unsigned Running = 0;
      unsigned Open = 0;
      for (BusyDaemon &D : Fleet) {
        unsigned N = D.running(U->Id, Now);
        Running += N;
        Open += D.connections(U->Id, N);
      }
      Worst.Peak = std::max(Worst.Peak, Running);
      Worst.Slots =
          std::max(Worst.Slots, Running - std::min(Running, U->Slots));
      Worst.Connections = std::max(Worst.Connections, Open);
    });
  }
  return Worst;
}

Overshoot worstOf(Duration Spread, Duration GuardTime) {
  Overshoot Worst;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    Overshoot O = run(Seed, Spread, GuardTime);
    Worst.Slots = std::max(Worst.Slots, O.Slots);
    Worst.Connections = std::max(Worst.Connections, O.Connections);
    Worst.Peak = std::max(Worst.Peak, O.Peak);
  }
  return Worst;
}

Duration guard() {
  ClassPolicy P;
  P.Deadline = Work;
  return guardTime(preset({{CallerClass("desk"), P}}));
}

} // namespace

TEST_CASE("views that propagate in time never exceed an upstream's cap") {
  Overshoot With = worstOf(ViewPropagationTime, guard());
  Overshoot Without = worstOf(ViewPropagationTime, Duration{0});
  MESSAGE("slots over the cap of ", Services.Slots, ": with guard ", With.Slots,
          ", without ", Without.Slots, "; connections ", With.Connections,
          " and ", Without.Connections);
  CHECK(With.Peak == Services.Slots);
  CHECK(With.Slots == 0);
  CHECK(Without.Slots >= 1);
  CHECK(With.Connections <= Services.Connections);
}

TEST_CASE("views that propagate three times too late overshoot a little") {
  Overshoot With = worstOf(3 * ViewPropagationTime, guard());
  Overshoot Without = worstOf(3 * ViewPropagationTime, Duration{0});
  MESSAGE("slots over the cap of ", Services.Slots, ": with guard ", With.Slots,
          ", without ", Without.Slots, "; connections ", With.Connections,
          " and ", Without.Connections);
  CHECK(With.Slots <= Services.Slots);
  CHECK(With.Connections <= Services.Connections);
}

TEST_CASE("each of three partitions allocates every slot once") {
  ConfigPtr C = config(Services);
  std::map<UpstreamId, Share> Sum;
  for (unsigned Side = 0; Side < 3; ++Side) {
    FleetView V;
    for (unsigned D = Side; D < Daemons; D += 3)
      V.Members.push_back(daemon(D, Services.Zones));
    SlotAllocation A = SlotAllocation::make(*C, V, DaemonId());
    eachUpstream(*C, [&](const Upstream &U) {
      for (const Holder &H : A.holders(U->Id)) {
        Sum[U->Id].Slots += H.Slots;
        Sum[U->Id].Connections += H.Connections;
      }
    });
  }
  for (const auto &[Id, S] : Sum) {
    CHECK(S.Slots == 3 * Services.Slots);
    CHECK(S.Connections <= Services.Connections);
  }
}

TEST_CASE(
    "a lost slot is unusable at once and a regained one is delayed again") {
  ConfigPtr C = config(Services);
  FleetView Six = fleet(6, 3);
  FleetView Many = fleet(18, 3);
  DaemonId Self = Six.Members[0].Id;
  SlotAllocation Wide = SlotAllocation::make(*C, Six, Self);
  SlotAllocation Narrow = SlotAllocation::make(*C, Many, Self);
  HandoverGuard G(Seconds(4));
  G.update(Wide, Instant());
  CHECK(G.nextDue() == Instant() + Seconds(4));
  CHECK(G.due(Instant() + Millis(3999)).empty());
  CHECK(G.due(Instant() + Seconds(4)).size() == Wide.heldBySelf().size());
  CHECK(G.pending() == 0);

  Instant Later = Instant() + Seconds(10);
  std::vector<ShareChange> Lost = G.update(Narrow, Later);
  REQUIRE(!Lost.empty());
  CHECK(Lost[0].Now == Share{});
  CHECK(G.update(Wide, Later + Millis(1)).empty());
  CHECK(G.usable(Lost[0].Id) == Share{});
  CHECK(G.pending() == Lost.size());
  CHECK(G.due(Later + Millis(4001)).size() == Lost.size());
}
