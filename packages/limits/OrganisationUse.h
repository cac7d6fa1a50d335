//===- OrganisationUse.h - Demand and service of organisations --*- C++ -*-===//
//
// What a daemon knows of the organisations that compete for the capacity of a
// group of routes. Daemons exchange these values; each derives the same shares
// from them.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_ORGANISATIONUSE_H
#define SHALLOTSHIFT_LIMITS_ORGANISATIONUSE_H

#include "shallotshift/base.h"

#include <vector>

namespace shallot {

/// How scarce capacity is divided: an organisation gets a part in proportion to
/// its weight, and at least the guaranteed rate.
struct OrganisationWeight {
  double Weight = 1;
  double GuaranteedRate = 0; ///< Requests per second; 0: no guarantee.

  friend bool operator==(const OrganisationWeight &,
                         const OrganisationWeight &) = default;
};

/// What one daemon saw of one organisation in the last second or so. Cost is
/// the work that a request makes, in milliseconds of a replica's slot.
struct OrganisationUse {
  Tenant Name;
  double DemandedCostPerSecond = 0;
  double ServedCostPerSecond = 0;

  friend bool operator==(const OrganisationUse &,
                         const OrganisationUse &) = default;
};

/// A daemon's message about the organisations that it serves. Replaces the one
/// before; outdated ones are dropped by Sequence.
struct OrganisationUseReport {
  DaemonId From;
  std::uint64_t Sequence = 0;
  std::vector<OrganisationUse> Uses; ///< The largest demands first.

  friend bool operator==(const OrganisationUseReport &,
                         const OrganisationUseReport &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_ORGANISATIONUSE_H
