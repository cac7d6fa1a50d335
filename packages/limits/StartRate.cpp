#include "limits/StartRate.h"

namespace shallot::internal {

namespace {

/// Minimum number of starts, or else minimum time, for a rate precise enough to
/// refuse requests by it.
constexpr unsigned MinStarts = 8;
constexpr Duration MinBusyTime = Seconds(1);
constexpr double Smoothing = 0.3; ///< Weight of the newest value.
constexpr Duration MaxRateAge = Seconds(3);

} // namespace

void StartRate::setWaiting(bool AnyWaiting, Instant Now) {
  if (AnyWaiting == Busy)
    return;
  update(Now);
  Busy = AnyWaiting;
  BusySince = Now;
}

void StartRate::update(Instant Now) {
  if (Busy) {
    BusyTime += Now - BusySince;
    BusySince = Now;
  }
  bool Enough = Starts >= MinStarts && BusyTime > Duration{0};
  if (!Enough && BusyTime < MinBusyTime)
    return;
  double Measured = Starts / (toMillisF(BusyTime) / 1000);
  bool Fresh = Known && Now - UpdatedAt <= MaxRateAge;
  Rate = Fresh ? Rate + Smoothing * (Measured - Rate) : Measured;
  Known = true;
  UpdatedAt = Now;
  Starts = 0;
  BusyTime = Duration{0};
}

double StartRate::perSecond(Instant Now) const {
  return Known && Now - UpdatedAt <= MaxRateAge ? Rate : 0;
}

} // namespace shallot::internal
