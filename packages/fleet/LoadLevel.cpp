//===- LoadLevel.cpp ------------------------------------------------------===//
#include "fleet/LoadLevel.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

/// Time constant of the slow average. A burst of two or three seconds fits into
/// the spare capacity and would be over before more entry hosts could help.
constexpr Duration SlowTimeConstant = Seconds(10);
/// Long enough to cover several queries on a host that serves a few per second.
constexpr Duration FastTimeConstant = Seconds(1);
/// Above this utilization queries queue up, and more hosts are needed at once.
constexpr double UrgentUtilization = 0.5;
/// The announced load changes when the measured load is higher or lower by this
/// factor, which is above the usual fluctuation of the traffic.
constexpr double StepRatio = 1.3;
/// The first seconds after a start are dominated by opening connections and say
/// little about the load.
constexpr Duration MinServingTime = Seconds(5);

/// Weight of a sample of length \p Passed in an exponential average over
/// \p Time.
double sampleWeight(Duration Passed, Duration Time) {
  return 1 - std::exp(-toMillisF(Passed) / toMillisF(Time));
}

bool differsByStep(double A, double B) {
  return A > B * StepRatio || B > A * StepRatio;
}

} // namespace

std::uint32_t LoadLevel::observe(double BusyFraction, bool Served,
                                 Instant Now) {
  if (!Served)
    return Announced;
  if (ServingSince == Instant::max()) {
    ServingSince = LastAt = Now;
    return Announced;
  }
  Duration Passed = Now - LastAt;
  LastAt = Now;
  double Utilization = std::clamp(BusyFraction, 0.0, 1.0);
  FastAverage +=
      (Utilization - FastAverage) * sampleWeight(Passed, FastTimeConstant);
  // At first the average covers only the time seen so far, so that it does not
  // grow slowly from zero.
  Duration Seen = std::min(SlowTimeConstant, Now - ServingSince);
  SlowAverage += (Utilization - SlowAverage) *
                 sampleWeight(Passed, std::max(Passed, Seen));
  bool IsUrgent = FastAverage > UrgentUtilization;
  if (IsUrgent)
    SlowAverage = std::max(SlowAverage, FastAverage);
  if (Now - ServingSince < MinServingTime && !IsUrgent)
    return Announced;
  auto Target = static_cast<std::uint32_t>(std::lround(SlowAverage * Capacity));
  Target = std::max(1U, Target);
  if (differsByStep(Target, Announced))
    Announced = Target;
  return Announced;
}

} // namespace shallot
