#include "base/Time.h"

namespace shallot {

std::int64_t toMillis(Duration D) {
  return std::chrono::duration_cast<Millis>(D).count();
}

double toMillisF(Duration D) {
  return std::chrono::duration<double, std::milli>(D).count();
}

Duration fromMillisF(double Ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Ms));
}

} // namespace shallot
