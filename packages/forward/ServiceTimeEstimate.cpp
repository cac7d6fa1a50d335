//===- ServiceTimeEstimate.cpp - Median by fixed steps --------------------===//
#include "forward/ServiceTimeEstimate.h"

#include <algorithm>

namespace shallot {

namespace {

/// Each answer moves the median by this fraction of itself towards the answer.
/// The first ones move it faster, since the initial estimate may be far off.
constexpr double Step = 0.01;
constexpr double FirstStep = 0.15;
constexpr unsigned FirstAnswers = 40;
constexpr Duration MinEstimate = Micros(500);

} // namespace

void ServiceTimeEstimate::observe(Duration Took) {
  double StepFraction = Answers < FirstAnswers ? FirstStep : Step;
  Answers = std::min(Answers + 1, FirstAnswers);
  double Ms = toMillisF(Median);
  Ms *= Took > Median ? 1 + StepFraction : 1 - StepFraction;
  Median = std::max(MinEstimate, fromMillisF(Ms));
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
