// Benchmark of the search strategy in virtual time: every step of the strategy
// against the baseline in the same run. Prints one "name value unit bound" line
// per figure, where "-" means no bound. QueryTailIsBounded.cpp checks the same
// runs.
#include "performance/QueryWorld.h"

#include <cstdio>

using namespace shallot;

namespace {

void line(std::string_view Step, std::string_view Figure, double Value,
          std::string_view Unit, std::string_view Bound = "-") {
  fmt::print("query.{}.{} {:.3f} {} {}\n", Step, Figure, Value, Unit, Bound);
}

void print(std::string_view Step, const WorldFigures &F) {
  line(Step, "p50", F.P50, "ms");
  line(Step, "p99", F.P99, "ms");
  line(Step, "p999", F.P999, "ms");
  line(Step, "coverage", F.Coverage, "share");
  line(Step, "extra", F.ExtraPercent, "percent");
}

} // namespace

int main() {
  for (const WorldStep &Step : worldSteps()) {
    WorldOptions O;
    O.Parts = Step.Parts;
    WorldFigures With = figuresOf(QueryWorld(O).run());
    O.StragglerShare = 0;
    WorldFigures Without = figuresOf(QueryWorld(O).run());
    print(Step.Name, With);
    line(Step.Name, "p99_no_stragglers", Without.P99, "ms");
    line(Step.Name, "p99_ratio", With.P99 / Without.P99, "x",
         Step.Name == "eject" ? "1.3" : "-");
    O.StragglerShare = 0.01;
    O.FreezeAt = Seconds(8);
    auto Frozen = QueryWorld(O).run();
    WorldFigures First = figuresOf(Frozen, Seconds(8), Seconds(10));
    WorldFigures After = figuresOf(Frozen, Seconds(10), Seconds(18));
    std::string Name = fmt::format("{}.frozen", Step.Name);
    line(Name, "p99_first_2s", First.P99, "ms");
    print(Name, After);
    line(Name, "p99_ratio", After.P99 / With.P99, "x",
         Step.Name == "eject" ? "2" : "-");
  }
}
