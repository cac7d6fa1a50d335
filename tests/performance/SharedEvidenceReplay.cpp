// Replays a fleet in which each daemon sees few answers of a replica, in
// virtual time: with own evidence alone, with reports of slow replicas, and
// with an oracle that knows every queue. Prints the figures of each and checks
// what reports gain.
#include "ForwardWorld.h"

#include <array>
#include <cstdio>
#include <doctest/doctest.h>
#include <tuple>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr std::uint64_t Seeds = 2;

struct Outcome {
  double Worth = 0;
  double P99Ms = 0;
  double Extra = 0;          ///< Further sends relative to first sends.
  double SlowSends = 0;      ///< Fraction of all sends.
  double BytesPerSecond = 0; ///< Of reports, for each daemon.
};

using Prepare = std::function<void(ForwardWorld &)>;

/// 33 daemons in each of three zones; a replica gets \p PerSecond queries per
/// second of its zone, by default 1.5 of each daemon.
WorldShape fleet(double PerSecond = 50) {
  WorldShape S;
  S.Shards = 54;
  S.DaemonsPerZone = 33;
  S.Slots = 4;
  S.MaxConnections = 200;
  S.QueriesPerSecond = PerSecond;
  S.WorkMs = 20;
  S.PauseMs = 250;
  S.PauseEveryMs = 6000;
  S.ObjectiveMs = 200;
  S.DeadlineMs = 1000;
  S.MinCoverage = 0.95;
  S.Retries.Constant = 164;
  return S;
}

Outcome replay(const char *Name, const WorldShape &Shape,
               const Prepare &Trouble, Duration For) {
  WorldFigures Sum;
  double Daemons = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ForwardWorld W(Shape, Seed);
    W.runUntil(Seconds(4));
    Trouble(W);
    W.takeFigures();
    W.runUntil(Seconds(4) + For);
    WorldFigures F = W.takeFigures();
    Daemons = double(W.daemons());
    Sum.Asked += F.Asked;
    Sum.Credit += F.Credit;
    Sum.FirstSends += F.FirstSends;
    Sum.ExtraSends += F.ExtraSends;
    Sum.SlowSends += F.SlowSends;
    Sum.ReportBytes += F.ReportBytes;
    Sum.LatencyMs.insert(Sum.LatencyMs.end(), F.LatencyMs.begin(),
                         F.LatencyMs.end());
  }
  Outcome O;
  O.Worth = Sum.worth();
  O.P99Ms = Sum.latencyMs(0.99);
  O.Extra = double(Sum.ExtraSends) / Sum.FirstSends;
  O.SlowSends = double(Sum.SlowSends) / (Sum.FirstSends + Sum.ExtraSends);
  O.BytesPerSecond =
      double(Sum.ReportBytes) / Seeds / Daemons / (toMillisF(For) / 1000);
  std::printf("%-34s worth %.4f  p99 %5.0f ms  extra %.4f  slow sends %.4f  "
              "%4.0f B/s\n",
              Name, O.Worth, O.P99Ms, O.Extra, O.SlowSends, O.BytesPerSecond);
  return O;
}

struct Comparison {
  Outcome Own, Told, Oracle;

  double regretBefore() const { return Oracle.Worth - Own.Worth; }
  double regret() const { return Oracle.Worth - Told.Worth; }
};

Comparison compare(const char *Name, WorldShape Shape, const Prepare &Trouble,
                   Duration For = Seconds(6)) {
  std::printf("%s\n", Name);
  Comparison C;
  C.Own = replay("  own evidence", Shape, Trouble, For);
  Shape.ShareObservations = true;
  C.Told = replay("  reports", Shape, Trouble, For);
  Shape.ShareObservations = false;
  Shape.Oracle = true;
  C.Oracle = replay("  oracle", Shape, Trouble, For);
  return C;
}

/// One of the three replicas of each shard is slow.
void aThirdSlow(ForwardWorld &W) {
  for (unsigned Shard = 0; Shard < 54; ++Shard)
    W.trouble(Shard, Shard % 3).Slow = 8;
}

/// One of the three replicas of each shard has a third of the others' speed.
void unevenSpeeds(ForwardWorld &W) {
  for (unsigned Shard = 0; Shard < 54; ++Shard)
    W.trouble(Shard, Shard % 3).Slow = 3;
}

} // namespace

TEST_CASE("daemons that send rarely avoid slow replicas after reports") {
  Comparison C =
      compare("a third of the replicas slow x8", fleet(), aThirdSlow);
  CHECK(C.regret() < C.regretBefore() / 2);
}

TEST_CASE("daemons that send once in three seconds avoid slow replicas") {
  Comparison C = compare("a third slow x8, a quarter of the requests",
                         fleet(12), aThirdSlow);
  CHECK(C.regret() < C.regretBefore());
}

TEST_CASE("daemons that send rarely use replicas according to their speed") {
  Comparison C = compare("speeds 1:3", fleet(), unevenSpeeds);
  CHECK(C.regret() <= C.regretBefore());
}

TEST_CASE("pauses are no reason to avoid a replica") {
  Comparison C = compare("pauses only", fleet(), [](ForwardWorld &) {});
  CHECK(C.Told.Worth > C.Own.Worth - 0.002);
}

// Guards against a partition or a lost port that leaves a daemon worse off.
TEST_CASE("when no report arrives, decisions are those without reports") {
  WorldShape Off = fleet();
  WorldShape On = Off;
  On.ShareObservations = true;
  WorldShape Small = On;
  Small.DaemonsPerZone = Off.DaemonsPerZone = 7;
  for (auto [Left, Right, Lose] :
       {std::tuple(fleet(), On, true), std::tuple(Off, Small, false)}) {
    ForwardWorld A(Left, 1);
    ForwardWorld B(Right, 1);
    if (Lose)
      B.filterReports(
          [](unsigned, ReplicaObservationReport &) { return false; });
    for (ForwardWorld *W : {&A, &B}) {
      aThirdSlow(*W);
      W->runUntil(Seconds(3));
    }
    WorldFigures F = A.takeFigures();
    WorldFigures G = B.takeFigures();
    CHECK(F.Credit == G.Credit);
    CHECK(F.LatencyMs == G.LatencyMs);
    CHECK(G.ReportBytes == 0);
  }
}

// Guards against daemons that lie, and reports that say what is long past.
TEST_CASE("false reports cost at most a detour") {
  struct Case {
    const char *Name;
    ForwardWorld::ReportFilter Filter;
  };
  Random Rng(9);
  auto Lie = [&](unsigned From, ReplicaObservationReport &R) {
    if (From % 5 != 0)
      return true;
    R.Replicas.clear();
    for (std::size_t I = 0; I < MaxReportedReplicas; ++I) {
      UpstreamId Id("r" + std::to_string(below(Rng, 54)) + "-" +
                    std::to_string(below(Rng, 3)));
      R.Replicas.push_back(
          {replicaKey(Id, 0), 20, 0, 9, Millis(1), Seconds(2)});
    }
    return true;
  };
  auto Stale = [](unsigned, ReplicaObservationReport &R) {
    for (ReplicaObservation &O : R.Replicas) {
      O.Age += Seconds(3);
      O.FirstAge += Seconds(3);
    }
    return true;
  };
  for (const Case &C : {Case{"a fifth of the daemons lie", Lie},
                        Case{"reports 3 s late", Stale}})
    for (Prepare Trouble :
         {Prepare([](ForwardWorld &) {}), Prepare(aThirdSlow)}) {
      std::printf("%s\n", C.Name);
      Outcome Own = replay("  own evidence", fleet(), Trouble, Seconds(6));
      WorldShape On = fleet();
      On.ShareObservations = true;
      Outcome Told = replay(
          "  reports", On,
          [&](ForwardWorld &W) {
            W.filterReports(C.Filter);
            Trouble(W);
          },
          Seconds(6));
      CHECK(Told.Worth > Own.Worth - 0.01);
      CHECK(Told.Extra < Own.Extra + 0.01);
    }
}

TEST_CASE("a replica that recovered is used again about as soon") {
  std::array<double, 2> Part{};
  for (bool Share : {false, true}) {
    WorldShape S = fleet();
    S.ShareObservations = Share;
    ForwardWorld W(S, 1);
    W.runUntil(Seconds(4));
    aThirdSlow(W);
    W.runUntil(Seconds(10));
    for (unsigned Shard = 0; Shard < 54; ++Shard)
      W.trouble(Shard, Shard % 3).Slow = 1;
    auto Sends = [&](bool All) {
      std::size_t Sum = 0;
      for (unsigned Shard = 0; Shard < 54; ++Shard)
        for (unsigned Zone = 0; Zone < 3; ++Zone)
          Sum += All || Shard % 3 == Zone ? W.sends(Shard, Zone) : 0;
      return double(Sum);
    };
    W.runUntil(Seconds(12));
    double Before = Sends(false);
    double AllBefore = Sends(true);
    W.runUntil(Seconds(13));
    Part[Share] = (Sends(false) - Before) / (Sends(true) - AllBefore);
  }
  std::printf("third second after recovery, part of sends: own evidence %.3f, "
              "reports %.3f, even 0.333\n",
              Part[0], Part[1]);
  CHECK(Part[1] > 0.8 * Part[0]);
}
