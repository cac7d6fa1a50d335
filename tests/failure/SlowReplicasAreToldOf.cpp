// Guards against reports that are believed too easily or for too long.
#include "shallotshift/forward.h"

#include <array>
#include <cmath>
#include <doctest/doctest.h>

using namespace shallot;

namespace {

constexpr Instant Start{Seconds(1000)};
constexpr Duration Work = Millis(20);
constexpr std::uint64_t StartedAt = 7;

UpstreamId idOf(unsigned I) { return UpstreamId("r" + std::to_string(I)); }

ReplicaEntry entryOf(unsigned I, std::uint64_t Started = StartedAt) {
  ReplicaEntry E{idOf(I),
                 ServiceName("shard"),
                 {"10.0.0.1", 1},
                 AvailabilityZone("zone"),
                 Region("region"),
                 4,
                 false,
                 {}};
  E.StartedUnixMs = Started;
  return E;
}

ReplicaObservation slow(unsigned I, double Slowness,
                        Duration Age = Millis(50)) {
  ReplicaObservation O;
  O.Key = replicaKey(idOf(I), StartedAt);
  O.Slowness = Slowness;
  O.Late = 3;
  O.Age = Age;
  O.FirstAge = Age + Millis(600);
  return O;
}

ReplicaObservationReport reportOf(const std::string &Host,
                                  std::uint64_t Sequence,
                                  std::vector<ReplicaObservation> Replicas) {
  return {{HostId(Host), 1}, Sequence, std::move(Replicas)};
}

/// A daemon with replicas of one service that it has not used yet.
struct Reader {
  explicit Reader(unsigned Replicas, std::size_t Daemons = 100)
      : Registry({AvailabilityZone("zone"), Region("region")}, options()) {
    Registry.setFleetShare({Daemons, 0, 0.01});
    for (unsigned I = 0; I < Replicas; ++I)
      Registry.put(entryOf(I), Start);
    Service = {ServiceName("shard"), 10000};
  }
  static ReplicaRegistryOptions options() {
    ReplicaRegistryOptions O;
    O.ShareObservations = true;
    return O;
  }
  bool receive(const ReplicaObservationReport &R, Instant Now = Start) {
    return Registry.sharing().receive(R, Now);
  }
  ReplicaPtr choose(double Jitter, Instant Now = Start) {
    ReplicaCriteria C;
    C.Service = &Service;
    C.ServiceTime = Work;
    return Registry.choose(C, Jitter, Now);
  }
  ReplicaPtr replica(unsigned I) {
    std::vector<ReplicaPtr> Others;
    ReplicaCriteria C;
    C.Service = &Service;
    C.ServiceTime = Work;
    while (ReplicaPtr R = Registry.choose(C, 0.5, Start)) {
      if (R->entry().Id == idOf(I))
        return R;
      Others.push_back(std::move(R));
      C.Exclude = Others;
    }
    return nullptr;
  }
  /// Fraction of selections that take the replica \p I.
  double part(unsigned I, Instant Now = Start) {
    constexpr unsigned Draws = 2000;
    unsigned Count = 0;
    for (unsigned D = 0; D < Draws; ++D)
      Count += choose(uniform01(Rng), Now)->entry().Id == idOf(I);
    return double(Count) / Draws;
  }
  double slownessOf(unsigned I, Instant Now = Start) {
    Replica R(entryOf(I), Distance::SameZone,
              std::make_shared<RttEstimate>(Millis(1)), Now);
    return Registry.sharing().told(R, Now).Slowness;
  }

  ReplicaRegistry Registry;
  ServiceInfo Service;
  Random Rng{3};
};

void tellOfZero(Reader &D, double Slowness = 8) {
  for (const char *Host : {"a", "b"})
    D.receive(reportOf(Host, 1, {slow(0, Slowness)}));
}

} // namespace

TEST_CASE("a replica that two daemons tell of as slow gets few requests") {
  Reader D(3);
  CHECK(D.part(0) > 0.2);
  tellOfZero(D);
  CHECK(D.slownessOf(0) > 7);
  CHECK(D.part(0) < 0.03);
  CHECK(D.part(0) > 0); // Someone has to notice when it is fast again.
}

// Guards against a daemon that lies, or is slow itself, and accuses everyone.
TEST_CASE("a single daemon's report changes no selection") {
  Reader Told(3);
  Reader Untold(3);
  for (std::uint64_t Sequence = 1; Sequence < 50; ++Sequence)
    Told.receive(
        reportOf("liar", Sequence, {slow(0, 20), slow(1, 20), slow(2, 20)}));
  for (unsigned I = 0; I < 500; ++I) {
    double Jitter = I / 500.0;
    CHECK(Told.choose(Jitter)->entry().Id == Untold.choose(Jitter)->entry().Id);
  }
}

// Guards against a hundred daemons that all run to the replica that looks best.
TEST_CASE("daemons with the same reports at most double a replica's load") {
  constexpr unsigned Replicas = 10;
  constexpr unsigned Daemons = 100;
  constexpr unsigned Rounds = 50;
  std::vector<ReplicaObservation> AllButOne;
  for (unsigned I = 1; I < Replicas; ++I)
    AllButOne.push_back(slow(I, 8));
  std::array<unsigned, Replicas> Sends{};
  Random Rng(5);
  for (unsigned Round = 0; Round < Rounds; ++Round)
    for (unsigned I = 0; I < Daemons; ++I) {
      Reader D(Replicas);
      D.receive(reportOf("a", 1, AllButOne));
      D.receive(reportOf("b", 1, AllButOne));
      std::string Chosen = D.choose(uniform01(Rng))->entry().Id.str();
      ++Sends[std::stoul(Chosen.substr(1))];
    }
  double Fair = double(Daemons * Rounds) / Replicas;
  MESSAGE("load of the best replica relative to a fair part: " << Sends[0] /
                                                                      Fair);
  for (unsigned Count : Sends)
    CHECK(Count < 2.2 * Fair); // A tenth for chance.
}

// Guards against a report that outlives the pause of a replica.
TEST_CASE("late answers within one pause are not believed") {
  Reader D(3);
  ReplicaObservation Short = slow(0, 8, Millis(100));
  Short.FirstAge = Millis(300);
  D.receive(reportOf("a", 1, {Short}));
  D.receive(reportOf("b", 1, {Short}));
  CHECK(D.slownessOf(0) == 1);
}

// Guards against reports of a daemon that has died since.
TEST_CASE("reports fade unless they are renewed") {
  Reader D(3);
  tellOfZero(D);
  CHECK(D.slownessOf(0, Start + Millis(950)) == doctest::Approx(4.5));
  CHECK(D.slownessOf(0, Start + Seconds(4)) == 1);
  D.Registry.sharing().takeChanges(Start + Seconds(5));
  CHECK(D.Registry.sharing().toldOf() == 0);
}

// Guards against a link that delivers late, twice or in another order.
TEST_CASE("outdated and repeated reports are dropped") {
  Reader D(3);
  CHECK(D.receive(reportOf("a", 5, {slow(1, 8)})));
  CHECK_FALSE(D.receive(reportOf("a", 5, {slow(0, 8)})));
  CHECK_FALSE(D.receive(reportOf("a", 4, {slow(0, 8)})));
  CHECK(D.Registry.sharing().toldOf() == 1);
  ReplicaObservationReport Restarted = reportOf("a", 1, {slow(0, 8)});
  Restarted.From.Incarnation = 2;
  CHECK(D.receive(Restarted));
  CHECK_FALSE(D.receive(reportOf("a", 6, {slow(2, 8)})));
}

// Guards against blaming a replica that restarted for its predecessor.
TEST_CASE("reports of another incarnation have no effect") {
  Reader D(3);
  tellOfZero(D);
  D.Registry.put(entryOf(0, StartedAt + 1), Start);
  CHECK(D.part(0) > 0.2);
}

// Guards against reports that overrule what this daemon sees itself.
TEST_CASE("an own timely answer voids earlier reports") {
  Reader Told(3);
  Reader Untold(3);
  tellOfZero(Told);
  Instant Then = Start + Millis(21);
  for (Reader *D : {&Told, &Untold}) {
    ReplicaPtr Zero = D->replica(0);
    REQUIRE(Zero);
    Zero->sendStarted(Start);
    Zero->sendEnded(Start, SendStatus::Answered, Work, Then);
  }
  for (unsigned I = 0; I < 500; ++I)
    CHECK(Told.choose(I / 500.0, Then)->entry().Id ==
          Untold.choose(I / 500.0, Then)->entry().Id);
}

// Guards against a fleet so small that reports cost more than they tell.
TEST_CASE("a small region neither sends nor uses reports") {
  Reader D(3, MinReportingDaemons - 1);
  tellOfZero(D);
  CHECK(D.Registry.sharing().toldOf() == 0);
  CHECK(D.part(0) > 0.2);
  CHECK(D.Registry.sharing().observations(Start).empty());
}

// Guards against messages that were damaged or made up.
TEST_CASE("meaningless reports are ignored and take bounded memory") {
  Reader D(3);
  Random Rng(11);
  std::vector<ReplicaObservation> Bad(5, slow(0, 8));
  Bad[0].Slowness = std::nan("");
  Bad[1].Slowness = -4;
  Bad[2].Age = Seconds(-5);
  Bad[3].FirstAge = Duration(0);
  Bad[4].Late = 0;
  D.receive(reportOf("a", 1, Bad));
  D.receive(reportOf("b", 1, Bad));
  CHECK(D.Registry.sharing().toldOf() == 0);
  for (unsigned I = 0; I < 20000; ++I) {
    ReplicaObservation O = slow(0, 8);
    O.Key = Rng();
    D.receive(reportOf("h" + std::to_string(I), 1, {O}));
  }
  CHECK(D.Registry.sharing().toldOf() <= 4096);
  CHECK(D.part(0) > 0.2);
}

// Guards against a daemon that is slow itself and blames every replica.
TEST_CASE("a daemon to which most answers are late tells of no replica") {
  for (unsigned LateReplicas : {1, 3}) {
    Reader D(4);
    Instant Now = Start;
    for (unsigned Round = 0; Round < 3; ++Round)
      for (unsigned I = 0; I < 4; ++I) {
        ReplicaPtr R = D.replica(I);
        REQUIRE(R);
        Instant Began = Now;
        R->sendStarted(Began);
        Now += I < LateReplicas ? Millis(160) : Millis(20);
        R->sendEnded(Began, SendStatus::Answered, Work, Now);
        D.Registry.sharing().observed(R, Now);
      }
    CHECK(D.Registry.sharing().observations(Now).size() ==
          (LateReplicas == 1 ? 1 : 0));
  }
}

TEST_CASE("the beginning and the end of a hold are recorded") {
  Reader D(3);
  tellOfZero(D);
  CHECK(D.part(0) < 0.03);
  auto Changes = D.Registry.sharing().takeChanges(Start);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Began);
  CHECK(Changes[0].Id == idOf(0));
  CHECK(Changes[0].Told.Sources == 2);
  CHECK(D.Registry.sharing().held() == 1);
  Changes = D.Registry.sharing().takeChanges(Start + Seconds(6));
  REQUIRE(Changes.size() == 1);
  CHECK_FALSE(Changes[0].Began);
  CHECK(Changes[0].Sends > 300);
  CHECK(D.Registry.sharing().held() == 0);
}
