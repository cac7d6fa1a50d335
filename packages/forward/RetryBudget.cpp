//===- RetryBudget.cpp - Further sends in a sliding window ----------------===//
#include "forward/RetryBudget.h"

#include <algorithm>

namespace shallot {

namespace {

double allowed(const RetryAllowance &A, double Requests, double ConstantShare) {
  return UsedFraction * (A.Ratio * Requests + A.Constant * ConstantShare);
}

} // namespace

RetryBudget::Slice &RetryBudget::slice(const RetryAllowance &A, Instant Now) {
  std::int64_t Number =
      Now.time_since_epoch() / (A.Window / std::int64_t(SlicesPerWindow));
  Slice &S = Ring[static_cast<std::size_t>(Number) % Slices];
  if (S.Number != Number)
    S = Slice{Number};
  return S;
}

RetryBudget::Sums RetryBudget::sums(const RetryAllowance &A,
                                    Instant Now) const {
  std::int64_t Number =
      Now.time_since_epoch() / (A.Window / std::int64_t(SlicesPerWindow));
  std::int64_t First = Number - std::int64_t(SlicesPerWindow);
  Sums Out;
  for (const Slice &S : Ring) {
    if (S.Number < First || S.Number > Number)
      continue;
    Out.Extra += S.Extra;
    // The oldest slice is partly outside the window. Its further sends count
    // fully and its requests not at all, which errs on the safe side.
    if (S.Number != First)
      Out.Requests += S.Requests;
  }
  return Out;
}

void RetryBudget::request(const RetryAllowance &A, Instant Now) {
  ++slice(A, Now).Requests;
}

bool RetryBudget::trySpend(const RetryAllowance &A, double ConstantShare,
                           Instant Now) {
  Sums S = sums(A, Now);
  if (S.Extra + 1 > allowed(A, S.Requests, ConstantShare))
    return false;
  ++slice(A, Now).Extra;
  return true;
}

double RetryBudget::freeFraction(const RetryAllowance &A, double ConstantShare,
                                 Instant Now) const {
  Sums S = sums(A, Now);
  double Room = allowed(A, S.Requests, ConstantShare);
  return Room <= 0 ? 0 : std::clamp(1 - S.Extra / Room, 0.0, 1.0);
}

} // namespace shallot
