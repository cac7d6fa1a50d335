//===- Route.h - Routes of requests to services -----------------*- C++ -*-===//
//
// A serving configuration is a list of routes and of the services behind them,
// under one version. A route is chosen by the host that a caller names and the
// longest path prefix; it sends a request to one replica of a service, to one
// of several services by weight, or to one replica of every shard of an index.
//
//   Route R = ...; // host "search.example", prefix "/lanes/"
//   Config.match("search.example", "/lanes/today") == &R
//
// A ServingConfig never changes: a request keeps the one that it began with,
// so all parts of an answer come from the shards of one version.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_ROUTE_H
#define SHALLOTSHIFT_FORWARD_ROUTE_H

#include "shallotshift/base.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallot {

/// What may be done again without harm.
enum class RetrySemantics : std::uint8_t {
  Idempotent, ///< May run more than once.
  AtMostOnce, ///< Is sent again only when it is proven not to have run.
};

/// One service of a weighted split.
struct WeightedService {
  ServiceName Service;
  double Weight = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

using WeightedSplit = std::vector<WeightedService>;

/// Sent to every shard; the greatest records of the answers are merged.
struct ShardFanOut {
  std::vector<ServiceName> Shards;
  std::size_t MaxRecords = 0; ///< Records in a merged answer.
  double MinCoverage = 1;     ///< Of the shards, in a success.

  friend bool operator==(const ShardFanOut &, const ShardFanOut &) = default;
};

using RouteTarget = std::variant<ServiceName, WeightedSplit, ShardFanOut>;

struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  RetrySemantics Kind = RetrySemantics::AtMostOnce;
  Duration Timeout{};       ///< The longest that a caller is kept waiting.
  Duration Objective{};     ///< Within it an answer is worth most.
  unsigned Priority = 0;    ///< 0 is the most urgent.
  unsigned MaxAttempts = 1; ///< Replicas of one service that may run it.
  RouteTarget Target;
  /// Where replicas may run it. After ServingConfig::make() what its tenant
  /// allows is taken into account.
  AllowedRegions Regions = AllowedRegions::anywhere();
  std::optional<Tenant> Owner;

  /// The fan-out, or null when the route has another target.
  const ShardFanOut *fanOut() const {
    return std::get_if<ShardFanOut>(&Target);
  }

  friend bool operator==(const Route &, const Route &) = default;
};

struct ServiceInfo {
  ServiceName Name;
  unsigned MaxConnections = 1; ///< That one replica takes from all daemons.
  /// Requests a second that a cold replica tolerates from all daemons; 0: no
  /// limit is known.
  double WarmupRate = 0;

  friend bool operator==(const ServiceInfo &, const ServiceInfo &) = default;
};

/// Where the requests of a tenant may be served.
struct TenantRegions {
  Tenant Name;
  AllowedRegions Regions = AllowedRegions::anywhere();

  friend bool operator==(const TenantRegions &,
                         const TenantRegions &) = default;
};

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 1 << 20;
  Duration HeaderTimeout = Seconds(5);
  Duration IdleTimeout = Seconds(30);

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

class ServingConfig {
public:
  /// Checks every route: a host, a prefix between slashes, times above zero,
  /// at least one attempt, services that are listed. Fails with ConfigInvalid,
  /// naming the route. Restricts each route to what its tenant allows; tenants
  /// that are not in \p Tenants restrict nothing.
  static Result<ServingConfig>
  make(std::uint64_t Version, std::vector<Route> Routes,
       std::vector<ServiceInfo> Services, CallerLimits Limits,
       const std::vector<TenantRegions> &Tenants = {});

  std::uint64_t version() const { return Version; }
  const std::vector<Route> &routes() const { return Routes; }
  const std::map<ServiceName, ServiceInfo> &services() const {
    return Services;
  }
  const CallerLimits &limits() const { return Limits; }

  /// The route with the longest prefix of \p Path among those of \p Host;
  /// null when there is none. \p Path has no query.
  const Route *match(std::string_view Host, std::string_view Path) const;

  /// Where all routes of \p Host may be served; where any of them may, when no
  /// region suits all.
  AllowedRegions regionsOf(std::string_view Host) const;

  friend bool operator==(const ServingConfig &,
                         const ServingConfig &) = default;

private:
  ServingConfig() = default;

  std::uint64_t Version = 0;
  std::vector<Route> Routes; ///< By host, then the longest prefix first.
  std::map<ServiceName, ServiceInfo> Services;
  CallerLimits Limits;
};

/// The service that a request of \p Split goes to, where \p Draw is uniform in
/// [0, 1): each gets its weight's share.
const ServiceName &drawService(const WeightedSplit &Split, double Draw);

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_ROUTE_H
