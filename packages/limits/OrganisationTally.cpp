//===- OrganisationTally.cpp ----------------------------------------------===//
#include "limits/OrganisationTally.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace shallot {

namespace {

void addTo(OrganisationCount &Sum, const OrganisationCount &One) {
  Sum.Cost += One.Cost;
  Sum.Started += One.Started;
  Sum.Refused += One.Refused;
}

unsigned tries(const OrganisationCount &C) { return C.Started + C.Refused; }

} // namespace

OrganisationCount &OrganisationTally::row(const Tenant &Organisation) {
  if (Organisation.empty())
    return Rest;
  auto It = Rows.find(Organisation);
  if (It != Rows.end())
    return It->second;
  if (Rows.size() >= MaxRows) {
    // Half at a time, so that a new organisation costs little on average.
    std::vector<OrganisationCount> Sorted;
    for (const auto &[Name, C] : Rows)
      Sorted.push_back(C);
    std::ranges::sort(Sorted, {}, tries);
    for (std::size_t I = 0; I < MaxRows / 2; ++I) {
      addTo(Rest, Sorted[I]);
      Rows.erase(Sorted[I].Organisation);
    }
  }
  OrganisationCount &C = Rows[Organisation];
  C.Organisation = Organisation;
  return C;
}

void OrganisationTally::started(const Tenant &Organisation, double Cost) {
  OrganisationCount &C = row(Organisation);
  C.Cost += Cost;
  ++C.Started;
}

void OrganisationTally::refused(const Tenant &Organisation) {
  ++row(Organisation).Refused;
  ++Refused;
}

std::vector<OrganisationCount> OrganisationTally::take(std::size_t Count) {
  std::vector<OrganisationCount> All;
  for (const auto &[Name, C] : Rows)
    All.push_back(C);
  std::ranges::sort(All, [](const auto &A, const auto &B) {
    return std::tuple(tries(B), A.Organisation) <
           std::tuple(tries(A), B.Organisation);
  });
  for (; All.size() > Count; All.pop_back())
    addTo(Rest, All.back());
  std::ranges::sort(All, [](const auto &A, const auto &B) {
    return std::tuple(B.Cost, A.Organisation) <
           std::tuple(A.Cost, B.Organisation);
  });
  All.push_back(std::exchange(Rest, {}));
  Rows.clear();
  Refused = 0;
  return All;
}

} // namespace shallot
