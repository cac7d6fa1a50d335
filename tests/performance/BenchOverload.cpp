// Goodput and refusals at and beyond capacity, with admission, slot queues and
// budgets and for a baseline without them. Runs in virtual time with a fixed
// seed, so results are the same on every machine. Prints lines of "name value
// unit bound", with "-" for no bound, and fails if a bound is exceeded. An
// argument sets another seed.
#include "performance/BenchReport.h"
#include "performance/OverloadModel.h"

#include <cstdlib>

using namespace shallot;
using namespace shallot::bench;

namespace {

test::BenchReport Out("overload_");
std::uint64_t Seed = 1;

double quantile(std::vector<double> V, double Q) {
  if (V.empty())
    return 0;
  std::sort(V.begin(), V.end());
  return V[static_cast<std::size_t>(Q * static_cast<double>(V.size() - 1))];
}

double goodPart(const Figures &F, const char *Class) {
  const ClassFigures &C = F.Classes.at(CallerClass(Class));
  return double(C.Good) / C.Offered;
}

/// Measures goodput by load, with overload control and for the baseline.
/// Returns the figures with overload control at twice the capacity and sets
/// both peaks and the baseline's goodput at twice the capacity.
Figures sweep(double &Peak, double &BasePeak, double &BaseAtTwice) {
  Figures AtTwice;
  for (double Load : {0.5, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0}) {
    Figures Ours = run({.Load = Load, .Seed = Seed});
    Figures Base = run({.Baseline = true, .Load = Load, .Seed = Seed});
    std::string Suffix = fmt::format("_at_{}", Load);
    Out.print("goodput" + Suffix, Ours.Goodput, "queries/s");
    Out.print("goodput_baseline" + Suffix, Base.Goodput, "queries/s");
    Peak = std::max(Peak, Ours.Goodput);
    BasePeak = std::max(BasePeak, Base.Goodput);
    BaseAtTwice = Base.Goodput;
    AtTwice = Ours;
  }
  return AtTwice;
}

void overload() {
  double Peak = 0;
  double BasePeak = 0;
  double BaseAtTwice = 0;
  Figures F = sweep(Peak, BasePeak, BaseAtTwice);
  Out.print("capacity", capacity(), "queries/s");
  Out.print("goodput_peak", Peak, "queries/s");
  Out.print("goodput_peak_baseline", BasePeak, "queries/s");
  Out.atLeast("goodput_at_2x_of_peak", F.Goodput / Peak, "ratio", 0.95);
  Out.print("goodput_at_2x_of_peak_baseline", BaseAtTwice / BasePeak, "ratio");
  Out.atLeast("peak_of_baseline_peak", Peak / BasePeak, "ratio", 0.95);
  Out.atMost("refusal_wait_p50", quantile(F.RefusalMs, 0.5), "ms", 5);
  Out.print("refusal_wait_p99", quantile(F.RefusalMs, 0.99), "ms");
  auto Late =
      std::ranges::count_if(F.RefusalMs, [](double Ms) { return Ms > 5; });
  Out.atMost("refused_after_5ms", double(Late) / double(F.RefusalMs.size()),
             "ratio", 0.2);
  Out.atMost("refused_with_sub_requests", F.RefusedWithSubRequests, "queries",
             0);
  Out.atMost("ended_twice_or_never", F.EndedTwiceOrNever, "queries", 0);
  Out.atLeast("desk_good", goodPart(F, "reception-desk"), "ratio", 0.95);
  Out.print("lookup_good", goodPart(F, "lookup"), "ratio");
  Out.atLeast("pull_good", goodPart(F, "routine-pull"), "ratio", 0.01);
  unsigned Failed = 0;
  unsigned Offered = 0;
  for (const auto &[Class, C] : F.Classes) {
    Failed += C.Failed;
    Offered += C.Offered;
  }
  Out.print("started_in_vain", double(Failed) / Offered, "ratio");
}

void zoneLost() {
  Scenario S{.Load = 0.8, .ZoneLostAt = Seconds(5), .Seed = Seed};
  Figures F = run(S);
  S.Baseline = true;
  Figures Base = run(S);
  Out.atMost("zone_lost_extra", F.ExtraSubRequests / F.FirstSubRequests,
             "ratio", 0.11);
  Out.print("zone_lost_extra_baseline",
            Base.ExtraSubRequests / Base.FirstSubRequests, "ratio");
  Out.print("zone_lost_goodput", F.Goodput, "queries/s");
  Out.print("zone_lost_goodput_baseline", Base.Goodput, "queries/s");
  Out.atLeast("zone_lost_goodput_of_what_is_left",
              F.Goodput / (capacity() * 2 / 3), "ratio", 0.75);
  Out.atLeast("zone_lost_desk_good", goodPart(F, "reception-desk"), "ratio",
              0.95);
  Out.atMost("zone_lost_ended_twice_or_never", F.EndedTwiceOrNever, "queries",
             0);
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc > 1)
    Seed = std::strtoull(Argv[1], nullptr, 10);
  overload();
  zoneLost();
  return Out.exitCode();
}
