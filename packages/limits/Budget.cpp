#include "limits/Budget.h"

#include <algorithm>

namespace shallot {

Budget::Budget(double Percent)
    : Percent(Percent), Tokens(Percent > 0 ? InitialTokens : 0) {}

void Budget::earn(std::size_t N) {
  Tokens += Percent / 100 * static_cast<double>(N);
  Tokens = std::min(Tokens, MaxBalance);
}

bool Budget::trySpend() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void Budget::refund() { Tokens = std::min(Tokens + 1, MaxBalance); }

void Budget::setPercent(double P) {
  if (P == Percent)
    return;
  if (Percent == 0)
    Tokens = InitialTokens;
  if (P == 0)
    Tokens = 0;
  Percent = P;
}

ExtraBudgets &BudgetTable::of(const Tenant &T, const CallerClass &C,
                              double HedgePercent, double RetryPercent) {
  auto Key = std::make_pair(T, C);
  auto It = Rows.find(Key);
  // Tenants and classes come from the configuration, so the table is small. A
  // fault that created unlimited names would share one budget instead of
  // exhausting memory.
  if (It == Rows.end() && Rows.size() < MaxBudgetRows)
    It = Rows.try_emplace(
                 Key, ExtraBudgets{Budget(HedgePercent), Budget(RetryPercent)})
             .first;
  ExtraBudgets &Row = It == Rows.end() ? Overflow : It->second;
  Row.Hedges.setPercent(HedgePercent);
  Row.Retries.setPercent(RetryPercent);
  return Row;
}

} // namespace shallot
