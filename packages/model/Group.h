//===- Group.h - Services that are configured together ----------*- C++ -*-===//
//
// A service is one shard of a search: it holds some books or pools, and each of
// its upstreams is a replica of it. A group is a set of services of one tenant,
// such as underwriting-desk, and is the unit of storage: with one object per
// group every object stays far below the platform's limit of 1 MB, and a change
// to one upstream rewrites one group only.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_GROUP_H
#define SHALLOTSHIFT_MODEL_GROUP_H

#include "model/Upstream.h"

#include <vector>

namespace shallot {

inline constexpr std::size_t MaxBooksPerService = 256;
inline constexpr std::size_t MaxUpstreamsPerService = 64;
inline constexpr std::size_t MaxServicesPerGroup = 512;

struct ServiceFields {
  ServiceName Name;
  /// The books or pools that the service holds, by the names reported to
  /// callers when one is missing. At least one, without duplicates.
  std::vector<std::string> Books;
  std::vector<Upstream> Upstreams;

  friend bool operator==(const ServiceFields &,
                         const ServiceFields &) = default;
};

class Service : public Immutable<ServiceFields> {
public:
  /// Fails with BadName, OutOfRange or AlreadyExists (duplicate name).
  static Result<Service> make(ServiceFields F);

  /// Returns the upstream of this name, or null.
  const Upstream *find(const UpstreamId &Id) const;

private:
  using Immutable::Immutable;
};

struct GroupFields {
  Tenant Owner;
  GroupName Name;
  std::vector<Service> Services; ///< Sorted by name by make().

  friend bool operator==(const GroupFields &, const GroupFields &) = default;
};

class Group : public Immutable<GroupFields> {
public:
  /// Fails with BadName, OutOfRange or AlreadyExists (duplicate name).
  static Result<Group> make(GroupFields F);

  const Service *find(const ServiceName &Name) const;

private:
  using Immutable::Immutable;
};

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_GROUP_H
