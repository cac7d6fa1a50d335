//===- AllowedRegions.cpp -------------------------------------------------===//
#include "base/AllowedRegions.h"

#include <algorithm>
#include <iterator>

namespace shallot {

const std::set<Region> &AllowedRegions::regions() const {
  static const std::set<Region> Nothing;
  return Regions ? *Regions : Nothing;
}

AllowedRegions AllowedRegions::intersect(const AllowedRegions &Other) const {
  if (!Regions)
    return Other;
  if (!Other.Regions)
    return *this;
  std::set<Region> Both;
  std::ranges::set_intersection(*Regions, *Other.Regions,
                                std::inserter(Both, Both.end()));
  return only(std::move(Both));
}

std::string AllowedRegions::str() const {
  if (!Regions)
    return "any";
  std::string Text;
  for (const Region &R : *Regions) {
    Text += Text.empty() ? "" : ",";
    Text += R.str();
  }
  return Text;
}

} // namespace shallot
