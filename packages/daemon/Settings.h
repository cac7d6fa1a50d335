//===- Settings.h - What a daemon is told at start --------------*- C++ -*-===//
//
// A daemon's settings say who and where it is; everything that governs
// behaviour is configuration and comes from the platform or from peers. The
// file is JSON and is checked against a schema before anything is opened:
//
//   {"host": "entry-1", "zone": "ulaanbaatar", "region": "mn",
//    "http": "10.0.0.1:7100", "gossip": "10.0.0.1:7101",
//    "rpc": "10.0.0.1:7102",
//    "platform": ["10.0.9.1:7300"], "peers": ["10.0.0.2:7101"]}
//
// A field that is not known is an error: a misspelt one would otherwise be
// ignored in silence. docs/operators/settings.md lists the fields.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_SETTINGS_H
#define SHALLOTSHIFT_DAEMON_SETTINGS_H

#include "shallotshift/base.h"
#include "shallotshift/query.h"
#include "shallotshift/telemetry.h"

#include <string_view>
#include <vector>

namespace shallot {

/// The largest settings file, in bytes.
inline constexpr std::size_t MaxSettingsBytes = 64 << 10;

struct Settings {
  HostId Host;
  AvailabilityZone Zone;
  Region Reg;
  Endpoint Http;   ///< Callers and operators.
  Endpoint Gossip; ///< UDP, membership.
  Endpoint Rpc;    ///< Peers' calls.
  std::vector<Endpoint> Platform;
  std::vector<Endpoint> Peers; ///< Gossip addresses to begin with.
  LogLevel Level = LogLevel::Info;
  /// How long callers may use an entry address; also how long a leaving daemon
  /// goes on serving. 1 s to 5 min.
  Duration EntryValidity = Seconds(10);

  /// Baseline is for comparisons only (docs/design/tail-latency.md).
  Strategy Treatment = Strategy::Full;

  friend bool operator==(const Settings &, const Settings &) = default;

  /// Fails with SettingsInvalid, naming the field.
  static Result<Settings> parse(std::string_view Json);
  /// Reads and parses a file. Fails with SettingsUnreadable too.
  static Result<Settings> load(const std::string &Path);
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_SETTINGS_H
