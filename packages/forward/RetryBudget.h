//===- RetryBudget.h - Extra sends, bounded in every window -----*- C++ -*-===//
//
// A second send of a request is extra load at the moment when there is too much
// of it. In any span of Window, the sends of all daemons beyond the first ones
// may be a given part of the requests plus a constant. There is no coordinator:
// every daemon keeps to that part of its own requests and to its part of the
// constant (Sharing::RetryShare), and the sum then keeps the bound.
//
// Why a window and not a bucket of tokens: a full bucket pays for a storm that
// the seconds before it did not earn, and the sum over one window then breaks
// the bound although each bucket is right.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_RETRYBUDGET_H
#define SHALLOTSHIFT_FORWARD_RETRYBUDGET_H

#include "shallotshift/base.h"

#include <array>
#include <cstdint>

namespace shallot {

/// What the operator allows one service to get beyond first sends.
struct RetryAllowance {
  double Ratio = 0.2;   ///< Of the requests.
  double Constant = 10; ///< For all daemons together.
  Duration Window = Seconds(10);

  friend bool operator==(const RetryAllowance &,
                         const RetryAllowance &) = default;
};

/// The part of the allowance that is used. The rest covers sends that are
/// counted at their arrival, a little after ours, and requests that clients
/// sent to a daemon that never read them.
inline constexpr double UsedPartOfAllowance = 0.85;

/// One service's extra sends from this daemon.
class RetryBudget {
public:
  /// A request for the service came in.
  void request(const RetryAllowance &A, Instant Now);
  /// Takes one extra send if there is room for it when \p Part of the constant
  /// is this daemon's.
  bool trySpend(const RetryAllowance &A, double Part, Instant Now);
  /// Part of the window's room that is still free, from 0 to 1.
  double freeFraction(const RetryAllowance &A, double Part, Instant Now) const;

private:
  static constexpr std::size_t SlicesPerWindow = 20;
  /// One more than a window, so that the running slice never cuts it short.
  static constexpr std::size_t Slices = SlicesPerWindow + 1;

  struct Slice {
    std::int64_t Number = -1; ///< Since the clock's start.
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
