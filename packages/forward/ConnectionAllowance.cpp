//===- ConnectionAllowance.cpp - Growth and backoff -----------------------===//
#include "forward/ConnectionAllowance.h"

#include "forward/HalfLife.h"

namespace shallot {

namespace {

/// Minimum time between two increases: from three to twenty connections takes a
/// third of a second, and daemons with the same demand see each other's effect.
constexpr Duration GrowInterval = Millis(20);
/// The fraction of the extra connections that a reset leaves.
constexpr double RefusalFactor = 0.5;
/// No growth for this long after a reset; it takes about this time until the
/// connections that were too many are closed or used.
constexpr Duration GrowthHold = Millis(2000);
/// Half-life of the extra connections: short relative to a failure of replicas,
/// which lasts seconds, and long relative to a pause, during which no
/// connections are requested.
constexpr double HalfLifeMs = 1500;

} // namespace

double ConnectionAllowance::value(Instant Now) const {
  return internal::decayed(LastValue, Now - LastValueAt, HalfLifeMs);
}

std::size_t ConnectionAllowance::extra(Instant Now) const {
  return static_cast<std::size_t>(std::lround(value(Now)));
}

bool ConnectionAllowance::grow(Instant Now) {
  if (Now < HeldUntil || Now < GrownAt + GrowInterval)
    return false;
  LastValue = std::round(value(Now)) + 1;
  LastValueAt = Now;
  GrownAt = Now;
  return true;
}

void ConnectionAllowance::refused(Instant Now) {
  LastValue = value(Now) * RefusalFactor;
  LastValueAt = Now;
  HeldUntil = Now + GrowthHold;
}

} // namespace shallot
