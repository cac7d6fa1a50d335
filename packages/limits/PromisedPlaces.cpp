//===- PromisedPlaces.cpp -------------------------------------------------===//
#include "limits/PromisedPlaces.h"

#include <algorithm>
#include <cmath>

namespace shallot::internal {

namespace {

/// Promises of all organisations are bounded for each slot of this length.
constexpr Duration SlotLength = Millis(100);
constexpr double KeptSmoothing = 0.05; ///< Weight of the newest promise.

} // namespace

PromisedPlaces::Slot PromisedPlaces::slotOf(Instant T) {
  return T.time_since_epoch() / SlotLength;
}

bool PromisedPlaces::takeInSlot(Instant At, double PerSecond) {
  double Most = PromisedPart * PerSecond * toMillisF(SlotLength) / 1000;
  unsigned &Taken = InSlot[slotOf(At)];
  if (Taken + 1 > Most)
    return false;
  ++Taken;
  return true;
}

std::optional<Instant> PromisedPlaces::promise(const Tenant &Organisation,
                                               std::uint64_t Key,
                                               const PromiseRate &Rate,
                                               Instant Earliest,
                                               Instant Latest) {
  if (Rate.Organisation <= 0)
    return std::nullopt;
  Instant &Free = NextFree[Organisation];
  for (Instant At = std::max(Free, Earliest); At <= Latest; At += SlotLength) {
    if (!takeInSlot(At, Rate.All))
      continue;
    Free = At + fromMillisF(1000 / (PromisedPart * Rate.Organisation));
    ByKey.emplace(Key, At);
    ByTime.emplace(At, Key);
    return At;
  }
  return std::nullopt;
}

bool PromisedPlaces::redeem(std::uint64_t Key, Instant Now) {
  expire(Now);
  auto [First, Last] = ByKey.equal_range(Key);
  auto Due = std::find_if(First, Last, [&](const auto &Row) {
    return Now >= Row.second - MaxEarliness;
  });
  if (Due == Last)
    return false;
  auto [From, To] = ByTime.equal_range(Due->second);
  ByTime.erase(std::find_if(
      From, To, [&](const auto &Row) { return Row.second == Key; }));
  ByKey.erase(Due);
  ended(true);
  return true;
}

std::size_t PromisedPlaces::expected(Instant From, Instant To) const {
  auto Promised =
      std::distance(ByTime.lower_bound(From), ByTime.upper_bound(To));
  return static_cast<std::size_t>(
      std::lround(KeptPart * static_cast<double>(Promised)));
}

void PromisedPlaces::ended(bool Kept) {
  KeptPart += KeptSmoothing * ((Kept ? 1 : 0) - KeptPart);
}

void PromisedPlaces::expire(Instant Now) {
  while (!ByTime.empty() && ByTime.begin()->first + MaxLateness < Now) {
    Instant At = ByTime.begin()->first;
    std::uint64_t Key = ByTime.begin()->second;
    auto [First, Last] = ByKey.equal_range(Key);
    ByKey.erase(std::find_if(
        First, Last, [&](const auto &Row) { return Row.second == At; }));
    ByTime.erase(ByTime.begin());
    ended(false);
  }
  if (!InSlot.empty() && InSlot.begin()->first < slotOf(Now)) {
    InSlot.erase(InSlot.begin(), InSlot.lower_bound(slotOf(Now)));
    std::erase_if(NextFree, [&](const auto &Row) { return Row.second < Now; });
  }
}

} // namespace shallot::internal
