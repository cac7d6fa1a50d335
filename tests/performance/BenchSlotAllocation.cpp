// Cost, balance and stability of the slot allocation by numbers of members and
// upstreams. Memory and the largest load of a daemon, which are the same on
// every machine, are checked; times and moved slots are only printed. Prints
// lines of "name value unit bound".
#include "AllocationFixture.h"
#include "performance/BenchReport.h"

#include <chrono>

using namespace shallot;
using namespace shallot::fixture;

namespace {

test::BenchReport Out("allotment_");

/// Median time of nine calls of \p Fn, in milliseconds.
template <typename F> double medianMs(F Fn) {
  std::vector<double> Took;
  for (int I = 0; I < 9; ++I) {
    auto Start = std::chrono::steady_clock::now();
    Fn();
    std::chrono::duration<double, std::milli> D =
        std::chrono::steady_clock::now() - Start;
    Took.push_back(D.count());
  }
  std::sort(Took.begin(), Took.end());
  return Took[Took.size() / 2];
}

void measure(const std::string &Kind, unsigned Daemons, const Shape &S) {
  ConfigPtr C = config(S);
  FleetView V = fleet(Daemons, Daemons < 21 ? 3 : 21);
  DaemonId Self = V.Members[0].Id;
  SlotAllocation A = SlotAllocation::make(*C, V, Self);
  std::string Size =
      fmt::format("{}_{}x{}", Kind, Daemons, S.Services * S.Replicas);
  Out.print("make_" + Size,
            medianMs([&] { A = SlotAllocation::make(*C, V, Self); }), "ms");
  HandoverGuard G(Seconds(4));
  Out.print("guard_" + Size, medianMs([&] { G.update(A, Instant()); }), "ms");
  Out.atMost("memory_" + Size, double(A.memoryBytes()) / 1024, "KiB", 4096);
  double Mean = double(S.Services) * S.Replicas * S.Slots / Daemons;
  unsigned Max = 0;
  for (const auto &[Host, N] : loads(*C, A))
    Max = std::max(Max, N);
  Out.print("slots_mean_" + Size, Mean, "slots");
  Out.atMost("slots_max_" + Size, Max, "slots", LoadHeadroom * Mean + 1);
  FleetView Less = V;
  Less.Members.erase(Less.Members.begin() + Daemons / 2);
  Out.print("moved_" + Size, moved(*C, A, SlotAllocation::make(*C, Less, Self)),
            "slots");
}

} // namespace

int main() {
  for (unsigned Daemons : {6, 100, 400, 1700})
    measure("near", Daemons, {3300, 3, 2, 25, Daemons < 21 ? 3U : 21U});
  for (unsigned Services : {25, 330, 1100})
    measure("near", 1700, {Services, 3, 2, 25, 21});
  // With upstreams in only four availability zones, the daemons in these reach
  // their load limits and most slots go to other zones.
  measure("far", 1700, {3300, 3, 2, 25, 4});
  return Out.exitCode();
}
