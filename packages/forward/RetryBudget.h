//===- RetryBudget.h - Budget for retries and hedges ------------*- C++ -*-===//
//
// A further send of a request adds load when there is already too much. In any
// interval of length Window, the further sends of all daemons may be at most a
// fraction of the requests plus a constant. There is no coordinator: every
// daemon limits itself to that fraction of its own requests and to its share of
// the constant (FleetShare::RetryShare), and the sum stays within the bound.
//
// A window is used instead of a token bucket: a full bucket would pay for a
// burst that the preceding seconds did not earn, and the sum over one window
// would exceed the bound although each bucket is within its own.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_RETRYBUDGET_H
#define SHALLOTSHIFT_FORWARD_RETRYBUDGET_H

#include "shallotshift/base.h"

#include <array>
#include <cstdint>

namespace shallot {

/// What the operator allows for one service beyond first sends.
struct RetryAllowance {
  double Ratio = 0.2;   ///< Fraction of the requests.
  double Constant = 10; ///< For all daemons together.
  Duration Window = Seconds(10);

  friend bool operator==(const RetryAllowance &,
                         const RetryAllowance &) = default;
};

/// The fraction of the allowance that is used. The rest covers sends that are
/// counted on arrival, slightly later than here, and requests that clients sent
/// to a daemon that never read them.
inline constexpr double UsedFraction = 0.85;

/// The further sends of this daemon for one service.
class RetryBudget {
public:
  /// Counts a request for the service.
  void request(const RetryAllowance &A, Instant Now);
  /// Takes one further send from the budget if it has room. \p ConstantShare is
  /// this daemon's share of the constant.
  bool trySpend(const RetryAllowance &A, double ConstantShare, Instant Now);
  /// The unused fraction of the budget in this window, from 0 to 1.
  double freeFraction(const RetryAllowance &A, double ConstantShare,
                      Instant Now) const;

private:
  static constexpr std::size_t SlicesPerWindow = 20;
  /// One more than a window has, so that the current slice never shortens the
  /// window.
  static constexpr std::size_t Slices = SlicesPerWindow + 1;

  struct Slice {
    std::int64_t Number = -1; ///< Counted from the clock's epoch.
    std::uint32_t Requests = 0;
    std::uint32_t Extra = 0;
  };
  struct Sums {
    double Requests = 0;
    double Extra = 0;
  };

  Slice &slice(const RetryAllowance &A, Instant Now);
  Sums sums(const RetryAllowance &A, Instant Now) const;

  std::array<Slice, Slices> Ring{};
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_RETRYBUDGET_H
