//===- Route.h - Routes of requests to services -----------------*- C++ -*-===//
//
// A serving configuration is a versioned list of routes and of the services
// behind them. A request is matched to a route by its host and the longest path
// prefix. A route sends a request to one replica of a service, to one of
// several services by weight, or to one replica of every shard of an index.
//
//   Route R = ...; // host "search.example", prefix "/lanes/"
//   Config.match("search.example", "/lanes/today") == &R
//
// A ServingConfig is immutable. A request keeps the one that it began with, so
// all parts of an answer come from the shards of one version.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_ROUTE_H
#define SHALLOTSHIFT_FORWARD_ROUTE_H

#include "forward/Organisation.h"
#include "shallotshift/base.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallot {

/// Whether a request may be sent again.
enum class RetrySemantics : std::uint8_t {
  Idempotent, ///< May run more than once.
  AtMostOnce, ///< Retried only if it is proven not to have run.
};

/// One service of a weighted split.
struct WeightedService {
  ServiceName Service;
  double Weight = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

using WeightedSplit = std::vector<WeightedService>;

/// Sends to every shard and merges the greatest records of their replies.
struct ShardFanOut {
  std::vector<ServiceName> Shards;
  std::size_t MaxRecords = 0; ///< Maximum number of records in a merged answer.
  /// Minimum fraction of the shards in a successful answer.
  double MinCoverage = 1;

  friend bool operator==(const ShardFanOut &, const ShardFanOut &) = default;
};

using RouteTarget = std::variant<ServiceName, WeightedSplit, ShardFanOut>;

struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  RetrySemantics Kind = RetrySemantics::AtMostOnce;
  Duration Timeout{};    ///< The longest that a caller waits for an answer.
  Duration Objective{};  ///< Latency objective; later answers are worth less.
  unsigned Priority = 0; ///< 0 is the most urgent.
  unsigned MaxAttempts = 1; ///< How many replicas of one service may run it.
  RouteTarget Target;
  /// Regions whose replicas may run requests of this route.
  /// ServingConfig::make() intersects them with those of the route's owner.
  AllowedRegions Regions = AllowedRegions::anywhere();
  std::optional<Tenant> Owner;
  /// Callers need no key.
  bool Public = false;

  /// The fan-out, or null if the route has another target.
  const ShardFanOut *fanOut() const {
    return std::get_if<ShardFanOut>(&Target);
  }

  friend bool operator==(const Route &, const Route &) = default;
};

struct ServiceInfo {
  ServiceName Name;
  unsigned MaxConnections = 1; ///< Limit of one replica, over all daemons.
  /// Requests per second that a cold replica tolerates from all daemons; 0 if
  /// no limit is known.
  double WarmupRate = 0;

  friend bool operator==(const ServiceInfo &, const ServiceInfo &) = default;
};

/// Limits on the size and the duration of callers' requests.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 1 << 20;
  Duration HeaderTimeout = Seconds(5);
  Duration IdleTimeout = Seconds(30);

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

class ServingConfig {
public:
  /// Validates every route: a host, a prefix that begins and ends with a slash,
  /// times above zero, at least one attempt, services that are listed, weights
  /// of 0 or more that are not all 0, and for a fan-out distinct shards and
  /// Idempotent. Fails with ConfigInvalid, naming the route. Restricts each
  /// route to the regions of its owner; owners that are not in \p Callers
  /// restrict nothing.
  static Result<ServingConfig> make(std::uint64_t Version,
                                    std::vector<Route> Routes,
                                    std::vector<ServiceInfo> Services,
                                    CallerLimits Limits,
                                    Organisations Callers = {});

  std::uint64_t version() const { return Version; }
  const std::vector<Route> &routes() const { return Routes; }
  const std::map<ServiceName, ServiceInfo> &services() const {
    return Services;
  }
  const CallerLimits &limits() const { return Limits; }
  /// Empty if callers need no key.
  const Organisations &callers() const { return Callers; }

  /// The route with the longest prefix of \p Path among those of \p Host, or
  /// null if there is none. \p Path has no query.
  const Route *match(std::string_view Host, std::string_view Path) const;

  /// Whether a request of \p R and \p Caller of an earlier configuration, which
  /// waits to be sent, may be sent under this one: the route has not changed,
  /// and the caller's organisation, if any, has its place among the others.
  bool keeps(const Route &R, const Organisation *Caller) const;

  /// The regions that may serve all routes of \p Host or, if there is none,
  /// those that may serve any of its routes.
  AllowedRegions regionsOf(std::string_view Host) const;

  friend bool operator==(const ServingConfig &,
                         const ServingConfig &) = default;

private:
  ServingConfig() = default;

  std::uint64_t Version = 0;
  /// Sorted by host, then by prefix length, longest first.
  std::vector<Route> Routes;
  std::map<ServiceName, ServiceInfo> Services;
  CallerLimits Limits;
  Organisations Callers;
};

/// Selects a service of \p Split in proportion to the weights. \p Draw is
/// uniform in [0, 1).
const ServiceName &drawService(const WeightedSplit &Split, double Draw);

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_ROUTE_H
