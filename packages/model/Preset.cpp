#include "model/Preset.h"

#include <fmt/format.h>

namespace shallot {
namespace {

constexpr std::size_t MaxClasses = 64;
constexpr double MinHedgeQuantile = 0.5;
constexpr double MaxHedgeQuantile = 0.999;
constexpr unsigned MaxEjectPercent = 50;
/// A budget of 100 % can double the load of the upstreams; more is a mistake.
constexpr double MaxBudgetPercent = 100;

template <typename T>
Result<void> checkRange(std::string_view Where, std::string_view Field, T Value,
                        T Min, T Max) {
  // This form of the comparison rejects NaN.
  if (Value >= Min && Value <= Max)
    return {};
  return fail(ResultCode::OutOfRange,
              fmt::format("{}: {} is {}, allowed are {} to {}", Where, Field,
                          Value, Min, Max));
}

Result<void> checkPolicy(const std::string &Where, const ClassPolicy &P) {
  BOOST_LEAF_CHECK(
      checkRange(Where, "priority", P.Priority, 0U, LowestPriority));
  BOOST_LEAF_CHECK(checkRange(Where, "deadline_ms", toMillisF(P.Deadline), 1.0,
                              toMillisF(MaxDeadline)));
  BOOST_LEAF_CHECK(checkRange(Where, "partial_after_ms",
                              toMillisF(P.PartialAfter), 0.0,
                              toMillisF(P.Deadline)));
  BOOST_LEAF_CHECK(
      checkRange(Where, "queue_limit", P.QueueLimit, 0U, MaxQueueLimit));
  BOOST_LEAF_CHECK(checkRange(Where, "queue_wait_ms", toMillisF(P.QueueWait),
                              0.0, toMillisF(MaxDeadline)));
  BOOST_LEAF_CHECK(checkRange(Where, "hedge_budget_percent",
                              P.HedgeBudgetPercent, 0.0, MaxBudgetPercent));
  return checkRange(Where, "retry_budget_percent", P.RetryBudgetPercent, 0.0,
                    MaxBudgetPercent);
}

} // namespace

Result<Preset> Preset::make(PresetFields F) {
  BOOST_LEAF_CHECK(checkName(F.Name.str(), "preset name"));
  std::string Where = fmt::format("preset {}", F.Name.str());
  BOOST_LEAF_CHECK(checkRange(Where, "hedge_quantile", F.HedgeQuantile,
                              MinHedgeQuantile, MaxHedgeQuantile));
  BOOST_LEAF_CHECK(checkRange(Where, "eject_max_percent", F.EjectMaxPercent, 0U,
                              MaxEjectPercent));
  BOOST_LEAF_CHECK(checkRange(Where, "the number of classes", F.Classes.size(),
                              std::size_t(1), MaxClasses));
  for (const auto &[Class, Policy] : F.Classes) {
    std::string InClass = fmt::format("{}: class {}", Where, Class.str());
    BOOST_LEAF_CHECK(checkName(Class.str(), fmt::format("{}: class", Where)));
    BOOST_LEAF_CHECK(checkPolicy(InClass, Policy));
  }
  return Preset(std::move(F));
}

const ClassPolicy *Preset::find(const CallerClass &Class) const {
  auto It = (*this)->Classes.find(Class);
  return It == (*this)->Classes.end() ? nullptr : &It->second;
}

} // namespace shallot
