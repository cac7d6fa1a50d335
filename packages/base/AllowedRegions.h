//===- AllowedRegions.h - Where something may be served ---------*- C++ -*-===//
//
// Data residency: the regions in which a request may reach an upstream. Routes
// and tenants each may have such a set; where both do, both bind.
//
//   AllowedRegions A = AllowedRegions::only({Region("north"),
//   Region("south")}); A.allows(Region("east")) == false
//   A.intersect(AllowedRegions::only({Region("east")})).none() == true
//
// A set that allows no region is a valid value: nothing may be served then.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_ALLOWEDREGIONS_H
#define SHALLOTSHIFT_BASE_ALLOWEDREGIONS_H

#include "base/Ids.h"

#include <optional>
#include <set>
#include <string>

namespace shallot {

class AllowedRegions {
public:
  /// Every region, also those that are not known yet.
  static AllowedRegions anywhere() { return AllowedRegions(std::nullopt); }
  static AllowedRegions only(std::set<Region> Regions) {
    return AllowedRegions(std::move(Regions));
  }

  bool restricted() const { return Regions.has_value(); }
  /// No region at all is allowed.
  bool none() const { return Regions && Regions->empty(); }
  bool allows(const Region &R) const {
    return !Regions || Regions->contains(R);
  }
  /// The regions that are named; none when not restricted.
  const std::set<Region> &regions() const;
  /// What both allow.
  AllowedRegions intersect(const AllowedRegions &Other) const;
  /// The regions, separated by commas; "any" when not restricted.
  std::string str() const;

  friend bool operator==(const AllowedRegions &,
                         const AllowedRegions &) = default;

private:
  explicit AllowedRegions(std::optional<std::set<Region>> Regions)
      : Regions(std::move(Regions)) {}

  std::optional<std::set<Region>> Regions; ///< Nothing: not restricted.
};

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_ALLOWEDREGIONS_H
