//===- Budget.h - Token budgets for hedges and retries ----------*- C++ -*-===//
//
// Hedges and retries multiply load exactly when there is too much of it. Each
// takes a token from a budget that only first sub-requests refill, so that
// extra work stays a fixed fraction of normal work whatever fails.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_BUDGET_H
#define SHALLOTSHIFT_LIMITS_BUDGET_H

#include "shallotshift/base.h"

#include <cstddef>
#include <map>
#include <utility>

namespace shallot {

/// Tokens in a new budget, so that a class with little traffic can retry at
/// all.
inline constexpr double InitialTokens = 3;

/// Maximum balance. A higher one would let the tokens of a quiet hour fund a
/// retry storm.
inline constexpr double MaxBalance = 20;

class Budget {
public:
  /// Allows extra requests up to \p Percent of the first sub-requests. With 0
  /// none is allowed and the budget starts empty.
  explicit Budget(double Percent = 0);

  /// Records that \p N first sub-requests were sent.
  void earn(std::size_t N = 1);

  /// Takes one token if there is one. Over any period at most Percent of the
  /// first sub-requests in it plus MaxBalance tokens are taken.
  bool trySpend();

  /// Returns the token of an extra request that was not sent.
  void refund();

  /// Applies another preset's percentage. The balance is kept, except that a
  /// budget whose percentage was 0 starts with InitialTokens and one whose
  /// percentage becomes 0 is emptied.
  void setPercent(double P);

  double balance() const { return Tokens; }
  double percent() const { return Percent; }

private:
  double Percent;
  double Tokens;
};

/// The budgets for hedges and for retries of one tenant and class.
struct ExtraBudgets {
  Budget Hedges;
  Budget Retries;
};

/// Maximum number of pairs of tenant and class with budgets of their own; all
/// others share one.
inline constexpr std::size_t MaxBudgetRows = 1024;

class BudgetTable {
public:
  /// The budgets of a tenant and class. Created on first use; the percentages
  /// are applied on every call.
  ExtraBudgets &of(const Tenant &T, const CallerClass &C, double HedgePercent,
                   double RetryPercent);

private:
  std::map<std::pair<Tenant, CallerClass>, ExtraBudgets> Rows;
  ExtraBudgets Overflow;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_BUDGET_H
