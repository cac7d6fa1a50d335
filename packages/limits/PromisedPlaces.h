//===- PromisedPlaces.h - Places kept for refused callers -------*- C++ -*-===//
//
// A refused caller is told when to come back. Half of the rate at which
// requests start is promised in this way: each caller gets another moment, at
// its organisation's share of the rate, and later ones the more callers are
// refused. A caller that comes back at its moment goes before newcomers.
//
// A promise is kept by the fingerprint of the request, so that a newcomer does
// not take the place of the caller that was told. Promises are bounded by the
// rate and end MaxLateness after their moment.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_PROMISEDPLACES_H
#define SHALLOTSHIFT_LIMITS_PROMISEDPLACES_H

#include "shallotshift/base.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace shallot::internal {

/// The part of the starts that is promised at most. The rest is for newcomers,
/// whose answers can still be in time.
inline constexpr double PromisedPart = 0.5;
/// How much earlier or later than promised a caller may come. It needs a new
/// connection, and its timer may be coarse.
inline constexpr Duration MaxEarliness = Millis(5);
inline constexpr Duration MaxLateness = Millis(250);

/// Starts per second that promises may be made from.
struct PromiseRate {
  double Organisation = 0;
  double All = 0;
};

class PromisedPlaces {
public:
  /// Promises a place between \p Earliest and \p Latest, if one is free.
  std::optional<Instant> promise(const Tenant &Organisation, std::uint64_t Key,
                                 const PromiseRate &Rate, Instant Earliest,
                                 Instant Latest);
  /// Takes a place that was promised to \p Key for about \p Now, if there is
  /// one.
  bool redeem(std::uint64_t Key, Instant Now);

  /// How many callers are expected back from \p From to \p To: the places that
  /// are promised for then, times the part of the callers that came lately.
  std::size_t expected(Instant From, Instant To) const;
  std::size_t size() const { return ByKey.size(); }

private:
  using Slot = std::int64_t;

  static Slot slotOf(Instant T);
  bool takeInSlot(Instant At, double PerSecond);
  void ended(bool Kept);
  void expire(Instant Now);

  std::unordered_map<Tenant, Instant> NextFree;
  std::map<Slot, unsigned> InSlot; ///< Of all organisations.
  std::unordered_multimap<std::uint64_t, Instant> ByKey;
  std::multimap<Instant, std::uint64_t> ByTime;
  double KeptPart = 0; ///< Of the promises of late.
};

} // namespace shallot::internal

#endif // SHALLOTSHIFT_LIMITS_PROMISEDPLACES_H
