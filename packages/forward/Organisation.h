//===- Organisation.h - Organisations and their keys ------------*- C++ -*-===//
//
// Callers belong to organisations and identify themselves by a key. A key is
// data of the configuration: one that a newer configuration lacks is unknown
// from its installation on, also on connections that are open.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_ORGANISATION_H
#define SHALLOTSHIFT_FORWARD_ORGANISATION_H

#include "shallotshift/base.h"
#include "shallotshift/limits.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallot {

/// With more, one organisation would in fact be the only one.
inline constexpr double MaxOrganisationWeight = 1000;

struct Organisation {
  Tenant Name;
  std::vector<std::string> Keys; ///< Never logged and never forwarded.
  /// Replaces the priority of the route; 0 is the most urgent.
  std::optional<unsigned> Priority;
  Quota Limit;
  OrganisationWeight Share; ///< Of capacity that is too small for all.
  /// Regions whose replicas may run its requests.
  AllowedRegions Regions = AllowedRegions::anywhere();

  friend bool operator==(const Organisation &, const Organisation &) = default;
};

/// The organisations of one configuration, found by name and by key.
class Organisations {
public:
  Organisations() = default;
  /// Fails with ConfigInvalid, naming the organisation, if its name is not
  /// unique or not 1 to MaxNameBytes of printable ASCII, if a key is empty or
  /// held by another organisation, if the rate or the burst is below 0, or if
  /// the weight is not above 0 and at most MaxOrganisationWeight.
  static Result<Organisations> make(std::vector<Organisation> All);

  bool empty() const { return All.empty(); }
  const std::vector<Organisation> &all() const { return All; } ///< By name.
  const Organisation *find(const Tenant &Name) const;
  /// The organisation that holds \p Key, or null. The time it takes does not
  /// depend on how much of \p Key is right.
  const Organisation *findByKey(std::string_view Key) const;

  friend bool operator==(const Organisations &A, const Organisations &B) {
    return A.All == B.All;
  }

private:
  struct HeldKey {
    std::string Text;
    std::size_t Holder = 0; ///< Index in All.
  };

  std::vector<Organisation> All;
  /// By the hash of the whole key.
  std::unordered_multimap<std::uint64_t, HeldKey> ByKey;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_ORGANISATION_H
