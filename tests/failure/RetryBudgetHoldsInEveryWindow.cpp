// Guards against retries that add load when there is already too much. Six
// daemons want a further send for each request, as while replicas fail, and one
// of them restarts without its counts. In any ten seconds, the further sends of
// all daemons stay within a fraction of the requests plus a constant.
#include "shallotshift/forward.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace shallot;

namespace {

/// The greatest excess over the allowance in any window that ends at a further
/// send.
double worstExcess(const std::vector<Instant> &Requests,
                   const std::vector<Instant> &Extras,
                   const RetryAllowance &A) {
  double Worst = -1e9;
  for (std::size_t Last = 0; Last < Extras.size(); ++Last) {
    Instant From = Extras[Last] - A.Window;
    auto Within = [&](const std::vector<Instant> &Times) {
      return std::upper_bound(Times.begin(), Times.end(), Extras[Last]) -
             std::upper_bound(Times.begin(), Times.end(), From);
    };
    double Allowed = A.Ratio * double(Within(Requests)) + A.Constant;
    Worst = std::max(Worst, double(Within(Extras)) - Allowed);
  }
  return Worst;
}

} // namespace

TEST_CASE("all daemons together stay within the allowance in every window") {
  RetryAllowance A{0.2, 52, Seconds(10)};
  constexpr std::size_t Daemons = 6;
  Random Rng(3);
  std::vector<RetryBudget> Budgets(Daemons);
  std::vector<Instant> Requests, Extras;
  Instant Now{Seconds(500)};
  for (int Step = 0; Step < 60000; ++Step) {
    Now += Millis(1);
    // Busy and quiet phases of 7 s alternate: what a quiet phase leaves unused
    // must not be available in a busy one.
    bool Busy = (Step / 7000) % 2 == 0;
    if (uniform01(Rng) > (Busy ? 0.3 : 0.01))
      continue;
    std::size_t D = below(Rng, Daemons);
    Budgets[D].request(A, Now);
    Requests.push_back(Now);
    if (Budgets[D].trySpend(A, 1.0 / Daemons, Now))
      Extras.push_back(Now);
    if (Step == 30000)
      Budgets[0] = RetryBudget();
  }
  CHECK(Extras.size() > 500);
  CHECK(worstExcess(Requests, Extras, A) <= 0);
}

TEST_CASE("a daemon without requests has its share of the constant") {
  RetryAllowance A{0.2, 52, Seconds(10)};
  RetryBudget B;
  Instant Now{Seconds(500)};
  unsigned Taken = 0;
  while (B.trySpend(A, 1.0 / 6, Now))
    ++Taken;
  CHECK(Taken == 7); // 0.85 of 52 over 6.
  CHECK(B.freeFraction(A, 1.0 / 6, Now) < 0.1);
  CHECK(B.freeFraction(A, 1.0 / 6, Now + Seconds(11)) == 1);
}
