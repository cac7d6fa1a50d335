//===- OrganisationTally.h - Who uses the capacity --------------*- C++ -*-===//
//
// Counts the work started and the requests refused by organisation since the
// last take(), in a bounded table. When the table is full, the organisation
// with the least is counted with the rest.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_ORGANISATIONTALLY_H
#define SHALLOTSHIFT_LIMITS_ORGANISATIONTALLY_H

#include "shallotshift/base.h"

#include <unordered_map>
#include <vector>

namespace shallot {

struct OrganisationCount {
  Tenant Organisation; ///< Empty for the rest.
  double Cost = 0;     ///< Of the requests that started.
  unsigned Started = 0;
  unsigned Refused = 0; ///< Without being run, for lack of capacity.

  friend bool operator==(const OrganisationCount &,
                         const OrganisationCount &) = default;
};

class OrganisationTally {
public:
  static constexpr std::size_t MaxRows = 128;

  void started(const Tenant &Organisation, double Cost);
  void refused(const Tenant &Organisation);
  bool anyRefused() const { return Refused > 0; }

  /// The \p Count organisations with the most work and refusals, largest work
  /// first, then one row for all others. Starts anew.
  std::vector<OrganisationCount> take(std::size_t Count);

private:
  OrganisationCount &row(const Tenant &Organisation);

  std::unordered_map<Tenant, OrganisationCount> Rows;
  OrganisationCount Rest;
  std::size_t Refused = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_ORGANISATIONTALLY_H
