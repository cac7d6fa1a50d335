// Guards against daemons that each send little to a cold replica but together
// more than it tolerates.
#include "shallotshift/front.h"

#include "front/EntryAddresses.h"

#include <deque>
#include <doctest/doctest.h>

using namespace shallot;

namespace {

constexpr double Tolerated = 8;
constexpr WarmupBound Bound{1.5, 5};
constexpr double MaxPerSecond = Tolerated * 1.5 + 5;

/// Daemons in three regions, each with its own view of the fleet, that all have
/// requests for one service whose replicas are cold.
class ColdFleet {
public:
  explicit ColdFleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Whole.Members.push_back(member(I));
    for (std::size_t I = 0; I < Count; ++I)
      join(I, Whole);
  }

  static Region region(std::size_t I) {
    return Region("r" + std::to_string(I % 3));
  }

  static Member member(std::size_t I) {
    Member M;
    M.Id = {HostId("h" + std::to_string(I)), 1};
    M.Zone = AvailabilityZone("z" + std::to_string(I % 6));
    M.Reg = region(I);
    M.Http = {"10.0.0.1", static_cast<std::uint16_t>(I + 1)};
    M.State = MemberState::Alive;
    M.Capacity = 250;
    return M;
  }

  /// Restarts daemon \p I with the fleet view \p View.
  void join(std::size_t I, const FleetView &View) {
    ReplicaRegistryOptions O;
    O.Warmup = Bound;
    Location Here{AvailabilityZone("z" + std::to_string(I % 6)), region(I)};
    if (Registries.size() <= I)
      Registries.resize(I + 1);
    Registries[I] = std::make_unique<ReplicaRegistry>(Here, O);
    see(I, View);
    for (std::size_t R = 0; R < 3; ++R)
      Registries[I]->put(entry(R), Now);
  }

  void see(std::size_t I, const FleetView &View) {
    HostId Self("h" + std::to_string(I));
    Registries[I]->setWarmupSenders(warmupSenders(View, Self));
  }

  static ReplicaEntry entry(std::size_t R) {
    ReplicaEntry E;
    E.Id = UpstreamId("i-" + std::to_string(R));
    E.Service = ServiceName("s");
    E.At = {"10.0.1.1", static_cast<std::uint16_t>(R + 1)};
    E.Zone = AvailabilityZone("z" + std::to_string(R));
    E.Reg = region(R);
    E.Slots = 4;
    E.WarmupLeft = Seconds(60);
    return E;
  }

  /// Every daemon tries to send every 20 ms for \p For; returns the largest
  /// number of requests that one replica received in any second.
  double busiest(Duration For) {
    ServiceInfo Info{ServiceName("s"), 100, Tolerated};
    std::map<UpstreamId, std::deque<Instant>> Sends;
    std::size_t Most = 0;
    for (Instant End = Now + For; Now < End; Now += Millis(20))
      for (auto &B : Registries) {
        ReplicaCriteria C;
        C.Service = &Info;
        C.ServiceTime = Millis(5);
        ReplicaPtr To = B->choose(C, 0.5, Now);
        if (!To)
          continue;
        To->sendStarted(Now);
        To->sendEnded(Now, SendStatus::Answered, C.ServiceTime, Now);
        std::deque<Instant> &Window = Sends[To->entry().Id];
        Window.push_back(Now);
        while (Window.front() <= Now - Seconds(1))
          Window.pop_front();
        Most = std::max(Most, Window.size());
        ++Total;
      }
    return double(Most);
  }

  /// The fleet with the daemons for which \p Gone holds in state \p As.
  template <typename Fn> FleetView without(Fn Gone, MemberState As) const {
    FleetView V = Whole;
    for (std::size_t I = 0; I < V.Members.size(); ++I)
      if (Gone(I))
        V.Members[I].State = As;
    return V;
  }

  Instant Now{Seconds(1000)};
  FleetView Whole;
  std::vector<std::unique_ptr<ReplicaRegistry>> Registries;
  std::size_t Total = 0;
};

const auto Sizes = {6, 83, 300};

} // namespace

TEST_CASE("a fleet of any size stays within the bound without wasting it") {
  for (int Count : Sizes) {
    ColdFleet F(static_cast<std::size_t>(Count));
    CHECK(F.busiest(Seconds(10)) <= MaxPerSecond);
    // Three cold replicas for ten seconds, at half the tolerated rate.
    CHECK(double(F.Total) >= 3 * 10 * Tolerated / 2);
  }
}

TEST_CASE("daemons with an outdated fleet view stay within the bound") {
  for (int Count : Sizes) {
    ColdFleet F(static_cast<std::size_t>(Count));
    auto Third = [](std::size_t I) { return I % 3 == 1; };
    FleetView Old = F.without(Third, MemberState::Left);
    auto Some = [](std::size_t I) { return I % 7 == 2; };
    FleetView Older = F.without(Some, MemberState::Failed);
    for (std::size_t I = 0; I < F.Registries.size(); ++I) {
      if (I % 4 == 0)
        F.see(I, Old);
      if (I % 4 == 1)
        F.see(I, Older);
    }
    CHECK(F.busiest(Seconds(10)) <= MaxPerSecond);
  }
}

TEST_CASE("daemons in a minority partition send nothing") {
  for (int Count : Sizes) {
    ColdFleet F(static_cast<std::size_t>(Count));
    for (std::size_t I = 0; I < F.Registries.size(); I += 3)
      F.see(I, F.without([I](std::size_t Other) { return Other != I; },
                         MemberState::Failed));
    CHECK(F.busiest(Seconds(10)) <= MaxPerSecond);
  }
}

TEST_CASE("restarting owners stay within the bound") {
  for (int Count : Sizes) {
    ColdFleet F(static_cast<std::size_t>(Count));
    double Most = 0;
    for (std::size_t Round = 0; Round < 20; ++Round) {
      Most = std::max(Most, F.busiest(Millis(700)));
      // A daemon that has just started does not know its fleet yet.
      F.join(Round % F.Registries.size(), FleetView());
    }
    CHECK(Most <= MaxPerSecond);
  }
}

TEST_CASE("daemons return to a warm replica at different times") {
  Duration First = WarmupReturnSpread, Last{0};
  for (int I = 0; I < 20; ++I) {
    Duration D =
        warmupReturnDelay(HostId("h" + std::to_string(I)), UpstreamId("i-1"));
    First = std::min(First, D);
    Last = std::max(Last, D);
  }
  CHECK(First < WarmupReturnSpread / 4);
  CHECK(Last > WarmupReturnSpread * 3 / 4);
  CHECK(Last < WarmupReturnSpread);
}

TEST_CASE("a bound too small for its owners allows no requests") {
  CHECK(warmupRate(1, {1, 0}) == 0);
  CHECK(warmupRate(2, {1.5, 5}) == doctest::Approx(5.0 / 3));
  CHECK(warmupRate(1, {1.5, 50}) == 1);
}
