//===- UpstreamSettings.h - What one stand-in replica is like ---*- C++ -*-===//
#ifndef SHALLOTSHIFT_STANDINS_UPSTREAMSETTINGS_H
#define SHALLOTSHIFT_STANDINS_UPSTREAMSETTINGS_H

#include "standins/Json.h"

#include <vector>

namespace shallot::standins {

struct UpstreamSettings {
  std::string Name;
  std::string Service;
  Endpoint Address;
  std::string Zone;
  std::vector<std::string> Books;
  /// The service that shares records with this one: in a repartition each
  /// shared record moves from one of the two to the other. May be empty.
  std::string Sibling;
  unsigned Slots = 1;
  unsigned Connections = 1;
  double ConnectMs = 0; ///< Added to the first request of a connection.
  double ServiceMs = 1; ///< The median.
  double Sigma = 0.3;   ///< Of the logarithm of the service time.
  std::uint64_t Seed = 1;
  unsigned StraggleOneIn = 0; ///< 0: never.
  double StraggleFrom = 10;   ///< Stragglers take this many times longer,
  double StraggleTo = 30;     ///< up to this many.
  double ColdFactor = 5;      ///< Service times while cold.
  unsigned RecordsPerBook = 1;
  std::vector<std::uint64_t> IndexVersions{1};
  std::vector<std::uint64_t> PartitionVersions{1};
};

/// Fails with UnknownField, WrongType, MissingField or OutOfRange, naming the
/// upstream.
Result<UpstreamSettings> readUpstreamSettings(const Json &Object);
/// Reads a list of them.
Result<std::vector<UpstreamSettings>> readUpstreamList(const Json &List);

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_UPSTREAMSETTINGS_H
