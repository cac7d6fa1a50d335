// Shares of organisations over twenty daemons that send to the same replicas,
// for three ways to divide scarce capacity. Prints the figures of each.
#include "performance/FleetFairnessModel.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <numeric>

using namespace shallot;
using namespace shallot::bench;

namespace {

constexpr std::uint64_t Seeds = 2;

struct FleetFigures {
  double Jain = 1;  ///< Of what each got, divided by its max-min share.
  double Least = 1; ///< The least-served tenth, of their max-min share.
  double Hot = 0;   ///< Organisation 0, of its max-min share.
  double Busy = 1;
  double RowsPerSecond = 0; ///< Of reports, all daemons together.
};

std::vector<double> maxMin(const std::vector<double> &Demands, double Room) {
  std::vector<double> Sorted = Demands;
  std::ranges::sort(Sorted);
  double Level = 0;
  for (std::size_t I = 0; I < Sorted.size(); ++I) {
    Level = Room / double(Sorted.size() - I);
    if (Sorted[I] > Level)
      break;
    Room -= Sorted[I];
  }
  std::vector<double> Shares;
  Shares.reserve(Demands.size());
  for (double D : Demands)
    Shares.push_back(std::min(D, Level));
  return Shares;
}

FleetFigures judge(const FleetFairnessModel &M, Duration Length) {
  double Got = std::accumulate(M.inTime().begin(), M.inTime().end(), 0.0);
  std::vector<double> Shares = maxMin(M.asked(), Got);
  std::vector<double> Parts;
  double Sum = 0;
  double Squares = 0;
  for (std::size_t I = 0; I < Shares.size(); ++I) {
    double X = M.inTime()[I] / Shares[I];
    Parts.push_back(X);
    Sum += X;
    Squares += X * X;
  }
  FleetFigures F;
  F.Jain = Sum * Sum / (double(Shares.size()) * Squares);
  F.Hot = Parts[0];
  std::ranges::sort(Parts);
  auto Tenth =
      static_cast<std::ptrdiff_t>(std::max<std::size_t>(1, Parts.size() / 10));
  F.Least = std::accumulate(Parts.begin(), Parts.begin() + Tenth, 0.0) /
            double(Tenth);
  F.Busy = M.busy(Length);
  F.RowsPerSecond = double(M.rowsTold()) / 16;
  return F;
}

FleetFigures replay(const char *Name, const char *Which, FleetLoad L) {
  constexpr Duration WarmUp = Seconds(6);
  constexpr Duration Length = Seconds(10);
  FleetFigures Worst;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    L.Seed = Seed;
    FleetFairnessModel M(L);
    M.run(WarmUp);
    M.reset();
    M.run(Length);
    FleetFigures F = judge(M, Length);
    Worst.Jain = std::min(Worst.Jain, F.Jain);
    Worst.Least = std::min(Worst.Least, F.Least);
    Worst.Hot = std::max(Worst.Hot, F.Hot);
    Worst.Busy = std::min(Worst.Busy, F.Busy);
    Worst.RowsPerSecond = F.RowsPerSecond;
  }
  std::printf("%-24s %-22s jain %.3f least-tenth %.3f hot %.3f busy %.3f "
              "rows/s %.0f\n",
              Name, Which, Worst.Jain, Worst.Least, Worst.Hot, Worst.Busy,
              Worst.RowsPerSecond);
  return Worst;
}

/// \p Count organisations of \p Demand each, at \p Each of 20 daemons.
FleetLoad spread(unsigned Count, double Demand, unsigned Each) {
  FleetLoad L;
  Random Rng(7);
  for (unsigned I = 0; I < Count; ++I) {
    FleetOrganisation O;
    O.Demand = Demand;
    for (unsigned K = 0; K < Each; ++K)
      O.Daemons.push_back(static_cast<unsigned>(below(Rng, L.Daemons)));
    L.Callers.push_back(std::move(O));
  }
  return L;
}

void compare(const char *Name, FleetLoad L) {
  FleetFigures Local = replay(Name, "local", L);
  L.Policy = FleetPolicy::SharedUse;
  replay(Name, "shared use", L);
  L.Policy = FleetPolicy::FairRate;
  FleetFigures Rate = replay(Name, "fair rate", L);
  L.LoseReports = 0.2;
  replay(Name, "fair rate, a 5th lost", L);
  CHECK(Local.Busy >= 0.95);
  CHECK(Rate.Busy >= 0.95);
  CHECK(Rate.Jain > Local.Jain);
  CHECK(Rate.Least > Local.Least);
}

} // namespace

// Load: one of forty organisations sends ten times its usual to three daemons.
TEST_CASE("a hot organisation at three of twenty daemons") {
  FleetLoad L = spread(40, 0.025, 3);
  L.Callers[0].Demand = 0.4;
  compare("hot at 3 of 20", L);
}

// Load: forty organisations of 1.5 times the capacity, each at two daemons, so
// that daemons have one to eight of them.
TEST_CASE("organisations that are spread unevenly") {
  compare("uneven, 1.5 of the room", spread(40, 0.0375, 2));
}

// Load: the hot organisation reaches every daemon, the others two.
TEST_CASE("a hot organisation everywhere") {
  FleetLoad L = spread(40, 0.02, 2);
  L.Callers[0].Demand = 0.8;
  L.Callers[0].Daemons.clear();
  for (unsigned D = 0; D < L.Daemons; ++D)
    L.Callers[0].Daemons.push_back(D);
  compare("hot everywhere", L);
}
