#include "limits/ConcurrencyLimit.h"

#include <algorithm>

namespace shallot {

namespace {

/// The limit rises only if at least this fraction of it was in use. An unused
/// limit would otherwise grow without evidence that the fleet can serve it.
constexpr double MinUtilization = 0.8;

} // namespace

void ConcurrencyLimit::observe(const LoadSample &S, std::size_t InFlight,
                               Instant Now) {
  Typical.add(S.Latency);
  if (!WindowOpen)
    openWindow(Now);
  ++Samples;
  Overloads += S.Overloaded ? 1 : 0;
  QueuedSum += S.Queued;
  MaxInFlight = std::max(MaxInFlight, InFlight);
  Duration Length =
      std::clamp(2 * Typical.value(), Opts.Window, Opts.MaxWindow);
  if (Now - WindowStart < Length || Samples < MinLimitSamples)
    return;
  adjust();
  openWindow(Now);
}

bool ConcurrencyLimit::overloaded() const {
  if (QueuedSum / Samples > Opts.TargetQueued)
    return true;
  return Overloads > Opts.TargetOverloaded * Samples;
}

void ConcurrencyLimit::adjust() {
  if (overloaded()) {
    SteppedDown = true;
    Current *= Opts.Decrease;
  } else if (static_cast<double>(MaxInFlight) >= MinUtilization * Current) {
    Current =
        SteppedDown ? Current + Opts.Increase : Current * Opts.FirstIncrease;
  }
  Current = std::clamp(Current, Opts.Min, Opts.Max);
}

void ConcurrencyLimit::openWindow(Instant Now) {
  WindowOpen = true;
  WindowStart = Now;
  Samples = 0;
  Overloads = 0;
  QueuedSum = Duration{0};
  MaxInFlight = 0;
}

} // namespace shallot
