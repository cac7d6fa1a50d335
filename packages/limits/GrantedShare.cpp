//===- GrantedShare.cpp ---------------------------------------------------===//
#include "limits/GrantedShare.h"

#include <algorithm>

namespace shallot {

void GrantedShare::grant(double Part, Instant Now) {
  forget(Now);
  if (!Grants.empty() && Grants.back().Part == Part)
    return;
  // Before the first grant nothing had been granted for ever.
  if (Grants.empty())
    Grants.push_back({Instant::min(), First});
  Grants.push_back({Now, Part});
}

double GrantedShare::usable(Instant Now) const {
  double Least = Grants.empty() ? First : Grants.back().Part;
  for (std::size_t I = 0; I + 1 < Grants.size(); ++I)
    if (Grants[I + 1].From > Now - Span)
      Least = std::min(Least, Grants[I].Part);
  return Least;
}

void GrantedShare::forget(Instant Now) {
  while (Grants.size() > 1 && Grants[1].From <= Now - Span)
    Grants.pop_front();
}

} // namespace shallot
