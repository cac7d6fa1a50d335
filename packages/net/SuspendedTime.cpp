//===- SuspendedTime.cpp --------------------------------------------------===//
#include "net/SuspendedTime.h"

#include <ctime>

namespace shallot {

namespace {

Duration reading(clockid_t Clock) {
  timespec T{};
  clock_gettime(Clock, &T);
  return Seconds(T.tv_sec) + Duration(T.tv_nsec);
}

} // namespace

Duration suspendedTime() {
  return reading(CLOCK_BOOTTIME) - reading(CLOCK_MONOTONIC);
}

} // namespace shallot
