//===- StopPlan.cpp -------------------------------------------------------===//
#include "limits/StopPlan.h"

#include <algorithm>

namespace shallot {

namespace {

/// The time that an idempotent request must have, as a multiple of the slowest
/// recent one: a replica may turn slow at the same moment.
constexpr int SlowestFactor = 2;

} // namespace

Result<StopPlan> StopPlan::make(StopTimes T) {
  if (T.ServeUntil < T.ServeAtLeast || T.End < T.AnswerUntil ||
      T.LastWrites < Duration(0))
    return fail(ResultCode::SettingsInvalid,
                "stop: the end of serving, of answers or of writes is before "
                "its beginning");
  return StopPlan(T);
}

bool StopPlan::accepts(const StopClaim &C, Instant Now) const {
  if (C.Deadline <= T.AnswerUntil)
    return true;
  if (!C.Idempotent || !C.SlowestRecent)
    return false;
  Duration Needed = std::max(C.Objective, *C.SlowestRecent * SlowestFactor);
  return Now + Needed <= T.AnswerUntil;
}

} // namespace shallot
