// Hedges and retries stay within a fixed fraction of normal work, whatever
// fails.
#include "shallotshift/limits.h"

#include <doctest/doctest.h>

using namespace shallot;

TEST_CASE("spent tokens never exceed the percentage plus the initial tokens") {
  for (double Percent : {0.0, 1.0, 5.0, 10.0, 33.0}) {
    Random Rng(3);
    Budget B(Percent);
    unsigned Base = 0;
    unsigned Spent = 0;
    for (int I = 0; I < 100000; ++I) {
      std::size_t N = below(Rng, 3);
      B.earn(N);
      Base += N;
      for (std::uint64_t Tries = below(Rng, 4); Tries > 0; --Tries)
        Spent += B.trySpend() ? 1 : 0;
      REQUIRE(Spent <= Base * Percent / 100 + InitialTokens + 0.001);
    }
    CHECK(Spent >= Base * Percent / 100 - 1);
  }
}

TEST_CASE("a quiet period saves up at most MaxBalance tokens") {
  Budget B(10);
  B.earn(1000000);
  unsigned Spent = 0;
  while (B.trySpend())
    ++Spent;
  CHECK(Spent == MaxBalance);
  B.refund();
  CHECK(B.trySpend());
  B.setPercent(0);
  B.earn(100);
  CHECK_FALSE(B.trySpend());
}

TEST_CASE("each tenant and class has its own budgets") {
  BudgetTable T;
  ExtraBudgets &Desk = T.of(Tenant("khan-uul"), CallerClass("desk"), 5, 10);
  while (Desk.Retries.trySpend()) {
  }
  CHECK(Desk.Hedges.trySpend());
  CHECK(
      T.of(Tenant("banlangd"), CallerClass("desk"), 5, 10).Retries.trySpend());
  CHECK_FALSE(
      T.of(Tenant("khan-uul"), CallerClass("desk"), 5, 10).Retries.trySpend());
  for (unsigned I = 0; I < 2 * MaxBudgetRows; ++I)
    T.of(Tenant(std::to_string(I)), CallerClass("c"), 0, 10);
  CHECK(&T.of(Tenant("new-1"), CallerClass("c"), 0, 10) ==
        &T.of(Tenant("new-2"), CallerClass("c"), 0, 10));
}
