//===- ConnectionAllowance.cpp --------------------------------------------===//
#include "forward/ConnectionAllowance.h"

#include "forward/HalfLife.h"

namespace shallot {

namespace {

/// One connection more in this time at most: from three to twenty in a third of
/// a second, and daemons that want the same see each other's effect.
constexpr Duration GrowEvery = Millis(20);
/// What a reset leaves of the extra connections.
constexpr double KeptAfterRefusal = 0.5;
/// No growth for this long after a reset: the others that were too many close
/// or are put to use in about that time.
constexpr Duration HoldAfterRefusal = Millis(2000);
/// Short beside the seconds that a trouble of replicas lasts, long beside a
/// pause, in which nothing is wanted.
constexpr double HalfLifeMs = 1500;

} // namespace

double ConnectionAllowance::value(Instant Now) const {
  return internal::half(Seen, Now - SeenAt, HalfLifeMs);
}

std::size_t ConnectionAllowance::extra(Instant Now) const {
  return static_cast<std::size_t>(std::lround(value(Now)));
}

bool ConnectionAllowance::grow(Instant Now) {
  if (Now < HeldUntil || Now < GrownAt + GrowEvery)
    return false;
  Seen = std::round(value(Now)) + 1;
  SeenAt = Now;
  GrownAt = Now;
  return true;
}

void ConnectionAllowance::refused(Instant Now) {
  Seen = value(Now) * KeptAfterRefusal;
  SeenAt = Now;
  HeldUntil = Now + HoldAfterRefusal;
}

} // namespace shallot
