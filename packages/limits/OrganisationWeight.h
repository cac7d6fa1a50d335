//===- OrganisationWeight.h - Share of scarce capacity ----------*- C++ -*-===//
#ifndef SHALLOTSHIFT_LIMITS_ORGANISATIONWEIGHT_H
#define SHALLOTSHIFT_LIMITS_ORGANISATIONWEIGHT_H

namespace shallot {

/// Capacity that is too small for all is divided between organisations in
/// proportion to their weights.
struct OrganisationWeight {
  double Weight = 1; ///< Above 0.

  friend bool operator==(const OrganisationWeight &,
                         const OrganisationWeight &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_ORGANISATIONWEIGHT_H
