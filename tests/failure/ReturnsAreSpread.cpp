// Guards against synchronized returns to an upstream: if all daemons that saw
// it shed load resumed at the same moment, they would overload it again and
// callers would see refusals in waves. With random hold and ramp times the load
// on the upstream must rise steadily.
#include "shallotshift/limits.h"

#include <cmath>
#include <doctest/doctest.h>
#include <vector>

using namespace shallot;

namespace {

constexpr unsigned Daemons = 1700;
constexpr Duration Step = Millis(100);

} // namespace

TEST_CASE("the load of 1,700 daemons rises without a step") {
  Random Rng(5);
  std::vector<SlowStart> Fleet(Daemons);
  Instant Now;
  for (int Sign = 0; Sign < 6; ++Sign, Now += Millis(200))
    for (SlowStart &S : Fleet)
      S.shed(Now, Duration{0}, Rng);
  double Before = 0;
  for (const SlowStart &S : Fleet)
    Before += S.weight(Now) / Daemons;
  CHECK(Before == doctest::Approx(MinWeight));
  double LargestRise = 0;
  double MostReturned = 0;
  std::vector<bool> Back(Daemons, false);
  for (Instant T = Now; T < Now + Seconds(30); T += Step) {
    double Load = 0;
    double Returned = 0;
    for (unsigned D = 0; D < Daemons; ++D) {
      Load += Fleet[D].weight(T) / Daemons;
      if (!Back[D] && Fleet[D].recovered(T)) {
        Back[D] = true;
        Returned += 1.0 / Daemons;
      }
    }
    LargestRise = std::max(LargestRise, Load - Before);
    MostReturned = std::max(MostReturned, Returned);
    Before = Load;
  }
  MESSAGE("largest rise in 100 ms ", LargestRise, ", most recovered ",
          MostReturned);
  CHECK(LargestRise <= 0.015);
  CHECK(MostReturned <= 0.03);
  CHECK(Before == doctest::Approx(1));
}

TEST_CASE("Retry-After is honoured, and a burst of refusals counts once") {
  Random Rng(5);
  SlowStart S;
  for (int I = 0; I < 100; ++I)
    S.shed(Instant() + Micros(I), Seconds(5), Rng);
  CHECK(S.weight(Instant() + Seconds(5)) == doctest::Approx(ShedFactor));
  CHECK(S.weight(Instant() + Seconds(12)) > ShedFactor);
}

TEST_CASE("the weight rises while the upstream still reports to be cold") {
  Random Rng(5);
  SlowStart S;
  Instant Now;
  for (; Now < Instant() + Seconds(21); Now += Millis(10))
    if (Now < Instant() + Seconds(9))
      S.cold(Now, Rng);
  CHECK(S.recovered(Now));
  SlowStart Fresh;
  Fresh.cold(Instant(), Rng);
  CHECK(Fresh.weight(Instant()) == doctest::Approx(ColdWeight));
  unsigned Admitted = 0;
  for (int I = 0; I < 10000; ++I)
    Admitted += Fresh.admits(Instant(), Rng) ? 1 : 0;
  CHECK(Admitted == doctest::Approx(1000).epsilon(0.1));
}
