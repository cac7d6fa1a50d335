//===- Time.h - Time without a clock ----------------------------*- C++ -*-===//
//
// The core never reads a clock: whoever calls it says what time it is. Instant
// is monotonic time, as good as the caller's source; WallTime is milliseconds
// since 1970 and is only for showing to people and for expiry stamps that
// leave the process.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_TIME_H
#define SHALLOTSHIFT_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace shallot {

/// A clock tag without now(): only time points and durations.
struct MonotonicClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

using Duration = std::chrono::nanoseconds;
using Instant = MonotonicClock::time_point;
using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// Milliseconds since the Unix epoch.
using WallTime = std::int64_t;

/// Whole milliseconds of \p D, rounded down.
std::int64_t toMillis(Duration D);
/// Milliseconds of \p D with their fraction.
double toMillisF(Duration D);
/// \p Ms milliseconds, which may have a fraction.
Duration fromMillisF(double Ms);

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_TIME_H
