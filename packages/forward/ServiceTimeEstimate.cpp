//===- ServiceTimeEstimate.cpp - Median by fixed steps --------------------===//
#include "forward/ServiceTimeEstimate.h"

#include <algorithm>
#include <utility>

namespace shallot {

namespace {

/// Each answer moves the median by this fraction of itself towards the answer.
/// The first ones move it faster, since the initial estimate may be far off.
constexpr double Step = 0.01;
constexpr double FirstStep = 0.15;
constexpr unsigned FirstAnswers = 40;
constexpr Duration MinEstimate = Micros(500);
/// Length of a window of slowestRecent(); two are kept.
constexpr Duration WindowLength = Seconds(30);
/// The next answer is slower than all of N others once in N + 1 times.
constexpr unsigned MinRecentAnswers = 20;

} // namespace

void ServiceTimeEstimate::observe(Duration Took, Instant Now) {
  if (Now - Current.Began >= WindowLength)
    Previous = std::exchange(Current, Window{Now});
  ++Current.Answers;
  Current.Slowest = std::max(Current.Slowest, Took);
  double StepFraction = Answers < FirstAnswers ? FirstStep : Step;
  Answers = std::min(Answers + 1, FirstAnswers);
  double Ms = toMillisF(Median);
  Ms *= Took > Median ? 1 + StepFraction : 1 - StepFraction;
  Median = std::max(MinEstimate, fromMillisF(Ms));
}

std::optional<Duration> ServiceTimeEstimate::slowestRecent(Instant Now) const {
  unsigned Count = 0;
  Duration Slowest{};
  for (const Window &W : {Current, Previous}) {
    if (Now - W.Began >= 2 * WindowLength)
      continue;
    Count += W.Answers;
    Slowest = std::max(Slowest, W.Slowest);
  }
  if (Count < MinRecentAnswers)
    return std::nullopt;
  return Slowest;
}

ServiceTimeEstimate &ServiceTimeEstimates::of(const std::string &RouteName,
                                              Duration Objective) {
  if (auto At = ByRoute.find(RouteName); At != ByRoute.end())
    return At->second;
  if (ByRoute.size() >= MaxRoutes)
    ByRoute.clear();
  Duration Guess = fromMillisF(toMillisF(Objective) * InitialFraction);
  return ByRoute.emplace(RouteName, ServiceTimeEstimate(Guess)).first->second;
}

} // namespace shallot
