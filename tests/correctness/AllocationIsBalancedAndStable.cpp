// The slots of all services are balanced over the daemons, and a daemon that
// joins or leaves moves few slots besides its own.
#include "AllocationFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::fixture;

namespace {

struct Balance {
  double Mean = 0;
  unsigned Max = 0;
  unsigned WorstMoved = 0;
  double MeanMoved = 0;
};

/// Allocates the slots to \p Daemons, then removes a random daemon \p Trials
/// times, each time from the full fleet. The reverse of each removal is a join,
/// which moves at most as many slots plus those that the joining daemon gains.
Balance measure(const Shape &S, unsigned Daemons, unsigned DaemonZones,
                unsigned Trials) {
  ConfigPtr C = config(S);
  FleetView V = fleet(Daemons, DaemonZones);
  SlotAllocation A = SlotAllocation::make(*C, V, V.Members[0].Id);
  Balance B;
  B.Mean = double(S.Services) * S.Replicas * S.Slots / Daemons;
  for (const auto &[Host, N] : loads(*C, A))
    B.Max = std::max(B.Max, N);
  Random Rng(11);
  for (unsigned T = 0; T < Trials; ++T) {
    FleetView Less = V;
    Less.Members.erase(Less.Members.begin() +
                       std::ptrdiff_t(below(Rng, Daemons)));
    unsigned M = moved(*C, A, SlotAllocation::make(*C, Less, V.Members[0].Id));
    B.WorstMoved = std::max(B.WorstMoved, M);
    B.MeanMoved += double(M) / Trials;
  }
  return B;
}

} // namespace

TEST_CASE("1,700 daemons over 9,900 upstreams") {
  Balance B = measure({3300, 3, 2, 25, 21}, 1700, 21, 20);
  MESSAGE("mean ", B.Mean, " max ", B.Max, " moved mean ", B.MeanMoved,
          " worst ", B.WorstMoved);
  CHECK(B.Max <= LoadHeadroom * B.Mean + 1);
  CHECK(B.MeanMoved <= 3 * B.Mean);
  CHECK(B.WorstMoved <= 4 * B.Mean);
}

TEST_CASE("upstreams in fewer zones than daemons") {
  Balance B = measure({3300, 3, 2, 25, 4}, 1700, 21, 5);
  MESSAGE("mean ", B.Mean, " max ", B.Max, " moved mean ", B.MeanMoved,
          " worst ", B.WorstMoved);
  CHECK(B.Max <= LoadHeadroom * B.Mean + 1);
  CHECK(B.WorstMoved <= 7 * B.Mean);
}

TEST_CASE("current fleets of 5 to 12 daemons") {
  for (unsigned Daemons = 5; Daemons <= 12; ++Daemons) {
    Balance B = measure({25, 3, 2, 25, 3}, Daemons, 3, Daemons);
    INFO("daemons ", Daemons, " mean ", B.Mean, " max ", B.Max, " moved ",
         B.WorstMoved);
    CHECK(B.Max <= LoadHeadroom * B.Mean + 1);
    CHECK(B.WorstMoved <= 3 * B.Mean);
  }
}
