#include "store/Backoff.h"

#include <algorithm>
#include <cmath>

namespace shallot {

Duration Backoff::next(Random &Rng) {
  Duration Least = First / 2;
  double Spread = static_cast<double>((Ceiling - Least).count());
  Ceiling = std::min(Ceiling * 2, Most);
  return Least + Duration(std::llround(uniform01(Rng) * Spread));
}

} // namespace shallot
