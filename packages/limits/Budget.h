//===- Budget.h - Extra work as a part of the normal work -------*- C++ -*-===//
//
// Hedges and retries multiply load exactly when there is too much of it. Each
// spends from a budget that only first sub-requests fill, so that extra work
// stays a fixed part of normal work whatever fails.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_BUDGET_H
#define SHALLOTSHIFT_LIMITS_BUDGET_H

#include "shallotshift/base.h"

#include <cstddef>
#include <map>
#include <utility>

namespace shallot {

/// Tokens that a budget starts with, so that a class with little traffic can
/// retry at all.
inline constexpr double InitialTokens = 3;

/// The most that can be saved up. More would let a quiet hour pay for a storm.
inline constexpr double MaxBalance = 20;

class Budget {
public:
  /// Spends up to \p Percent of the base events. 0: nothing, no floor either.
  explicit Budget(double Percent = 0);

  /// \p N first sub-requests were sent.
  void earn(std::size_t N = 1);

  /// Takes one token if there is one. Over any time the spends are at most
  /// Percent of the base events of that time plus MaxBalance.
  bool trySpend();

  /// Gives a token back: the extra request was not sent after all.
  void refund();

  /// Another preset: the balance is kept within the new bounds.
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

/// Tenants times classes that are remembered; beyond it all share one more.
inline constexpr std::size_t MaxBudgetRows = 1024;

class BudgetTable {
public:
  /// The budgets of a tenant and class, made with these percentages when new
  /// and brought to them when they have changed.
  ExtraBudgets &of(const Tenant &T, const CallerClass &C, double HedgePercent,
                   double RetryPercent);

private:
  std::map<std::pair<Tenant, CallerClass>, ExtraBudgets> Rows;
  ExtraBudgets Rest;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_BUDGET_H
