//===- GrantedShare.cpp ---------------------------------------------------===//
#include "limits/GrantedShare.h"

#include <algorithm>

namespace shallot {

void GrantedShare::grant(double Fraction, Instant Now) {
  dropExpired(Now);
  if (!Grants.empty() && Grants.back().Fraction == Fraction)
    return;
  // The initial share counts as granted since the beginning of time.
  if (Grants.empty())
    Grants.push_back({Instant::min(), Initial});
  Grants.push_back({Now, Fraction});
}

double GrantedShare::usable(Instant Now) const {
  double Min = Grants.empty() ? Initial : Grants.back().Fraction;
  for (std::size_t I = 0; I + 1 < Grants.size(); ++I)
    if (Grants[I + 1].From > Now - Span)
      Min = std::min(Min, Grants[I].Fraction);
  return Min;
}

void GrantedShare::dropExpired(Instant Now) {
  while (Grants.size() > 1 && Grants[1].From <= Now - Span)
    Grants.pop_front();
}

} // namespace shallot
