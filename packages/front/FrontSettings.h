//===- FrontSettings.h - What a front daemon is told at start ---*- C++ -*-===//
//
// Who and where it is, where it listens, and the bounds that the operator sets
// for stops and repeated sends. Routes and limits are configuration and come
// from the store. JSON, every field checked and named in the error:
//
//   {"host": "front-1", "zone": "dkh-hall-1", "region": "darkhan",
//    "callers": "10.0.0.1:8226", "readiness": "10.0.0.1:8227",
//    "directory": "10.0.0.1:8225", "peers": "10.0.0.1:8224",
//    "gossip": "10.0.0.1:7740", "metrics": "10.0.0.1:9180",
//    "store": "10.200.1.7:8229", "seeds": ["10.0.0.2:8224"],
//    "zones": {"dkh-hall-1": "darkhan"},
//    "stop_grace_s": 6, "drain_ms": 3000, "entry_validity_s": 5,
//    "cpu_share": 0.25, "cores": 1,
//    "retry_ratio": 0.2, "retry_window_s": 10, "retry_constant": 52,
//    "evacuation_ms": 5000, "warmup_overage": 1.5, "warmup_slack": 5}
//
// The last three are left out where availability zones are not evacuated and
// cold replicas have no bound.
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
  Place Here;
  Endpoint Callers;
  Endpoint Readiness;
  Endpoint Directory;
  Endpoint Peers;  ///< HTTP between daemons.
  Endpoint Gossip; ///< UDP, membership.
  Endpoint Metrics;
  Endpoint Store;
  /// Peers' addresses to begin with; they may be out of date.
  std::vector<Endpoint> Seeds;
  std::map<AvailabilityZone, Region> Zones;
  Duration StopGrace{};     ///< From the stop signal to the kill.
  Duration DrainDuration{}; ///< A leaving replica serves on for this long.
  Duration EntryValidity{}; ///< The longest that callers keep an address.
  RetryAllowance Retries;
  /// An evacuated zone gets nothing later than this after the order; not set
  /// where zones are not evacuated.
  std::optional<Duration> Evacuation;
  WarmupBound Warmup;
  double Cores = 0; ///< What this host gives the process, in cores.

  friend bool operator==(const FrontSettings &,
                         const FrontSettings &) = default;

  /// Fails with the field's name: MalformedJson, MissingField, WrongType,
  /// OutOfRange, UnknownField.
  static Result<FrontSettings> parse(std::string_view Json);
  /// Reads and parses a file. Fails with SettingsUnreadable too.
  static Result<FrontSettings> load(const std::string &Path);
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FRONTSETTINGS_H
