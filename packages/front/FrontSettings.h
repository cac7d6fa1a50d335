//===- FrontSettings.h - Settings of a front daemon -------------*- C++ -*-===//
//
// Identity, place and listening addresses of the daemon, and the bounds that
// the operator sets for shutdown and retries. Routes and limits are part of the
// configuration in the store. The format is JSON; every field is checked, and
// errors name the field:
//
//   {"host": "front-1", "zone": "dkh-hall-1", "region": "darkhan",
//    "callers": "10.0.0.1:8226", "readiness": "10.0.0.1:8227",
//    "directory": "10.0.0.1:8225", "peers": "10.0.0.1:8224",
//    "gossip": "10.0.0.1:7740", "quotas": "10.0.0.1:7741",
//    "metrics": "10.0.0.1:9180",
//    "store": "10.200.1.7:8229", "seeds": ["10.0.0.2:8224"],
//    "zones": {"dkh-hall-1": "darkhan"},
//    "stop_grace_s": 6, "drain_ms": 3000, "entry_validity_s": 5,
//    "cpu_share": 0.25, "cores": 1,
//    "memory_mb": 260,
//    "retry_ratio": 0.2, "retry_window_s": 10, "retry_constant": 52,
//    "evacuation_ms": 5000, "warmup_overage": 1.5, "warmup_slack": 5,
//    "quota_window_s": 5, "quota_overage": 0.1, "quota_slack": 20,
//    "internal_ports": [7740, 7755]}
//
// The last seven fields are omitted where availability zones are not evacuated,
// the load on cold replicas is not bounded, organisations have no quotas and
// daemons do not report slow replicas to each other.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FRONTSETTINGS_H
#define SHALLOTSHIFT_FRONT_FRONTSETTINGS_H

#include "shallotshift/base.h"
#include "shallotshift/forward.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallot {

struct FrontSettings {
  HostId Host;
  Location Here;
  Endpoint Callers;
  Endpoint Readiness;
  Endpoint Directory;
  Endpoint Peers;  ///< HTTP between daemons.
  Endpoint Gossip; ///< UDP, membership.
  Endpoint Quotas; ///< UDP, quotas; all daemons use the same port.
  Endpoint Metrics;
  Endpoint Store;
  /// Addresses of peers to contact first; they may be out of date.
  std::vector<Endpoint> Seeds;
  std::map<AvailabilityZone, Region> Zones;
  Duration StopGrace{};     ///< From the stop signal to the kill.
  Duration DrainDuration{}; ///< How long a draining replica keeps serving.
  Duration EntryValidity{}; ///< Longest time that callers cache an address.
  RetryAllowance Retries;
  /// Maximum time from the order to evacuate a zone until the zone receives no
  /// more requests; not set where zones are not evacuated.
  std::optional<Duration> Evacuation;
  WarmupBound Warmup;
  QuotaTolerance QuotaLimits;
  /// UDP, reports of slow replicas: the second port of "internal_ports", the
  /// first and last port for traffic between daemons, on the address of Gossip.
  /// All daemons use the same port. Not set, if there is no such port or
  /// gossip or quotas use it: no reports.
  std::optional<Endpoint> Reports;
  double Cores = 0; ///< Share of the host for this process, in cores.
  /// What this process may take of the host's memory, in bytes. Where it is not
  /// set, that of the smallest hosts.
  std::size_t MemoryBytes = std::size_t(112) << 20;

  friend bool operator==(const FrontSettings &,
                         const FrontSettings &) = default;

  /// Fails with the field's name: MalformedJson, MissingField, WrongType,
  /// OutOfRange, UnknownField.
  static Result<FrontSettings> parse(std::string_view Json);
  /// Reads and parses a file. Also fails with SettingsUnreadable.
  static Result<FrontSettings> load(const std::string &Path);
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FRONTSETTINGS_H
