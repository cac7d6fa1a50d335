// Waits grow, stay under their ceiling, and are spread, so that daemons which
// lost the platform together do not come back together.
#include "shallotshift/store.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace shallot;

TEST_CASE("waits lie between half of the first and a doubling ceiling") {
  Random Rng(3);
  Backoff B(Millis(100), Seconds(2));
  Duration Ceiling = Millis(100);
  for (unsigned N = 0; N < 100; ++N) {
    Duration D = B.next(Rng);
    CHECK(D >= Millis(50));
    CHECK(D <= Ceiling);
    Ceiling = std::min<Duration>(Ceiling * 2, Seconds(2));
  }
  B.reset();
  CHECK(B.next(Rng) <= Millis(100));
}

TEST_CASE("a thousand daemons do not return in one moment") {
  std::vector<int> PerTenth(11, 0);
  for (unsigned Seed = 0; Seed < 1000; ++Seed) {
    Random Rng(Seed);
    Backoff B(Millis(100), Seconds(1));
    for (unsigned N = 0; N < 6; ++N)
      B.next(Rng);
    ++PerTenth[toMillis(B.next(Rng)) / 100];
  }
  // 1,000 over 950 ms are 105 in a tenth of a second.
  CHECK(*std::ranges::max_element(PerTenth) < 150);
}
