//===- HostList.h - The platform's list of hosts ----------------*- C++ -*-===//
//
// Which hosts the platform believes to be live or leaving. It lags: use it to
// find somebody to ask and as a hint that a host leaves, never as proof that a
// host is well.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STORE_HOSTLIST_H
#define SHALLOTSHIFT_STORE_HOSTLIST_H

#include "shallotshift/base.h"

#include <string_view>
#include <vector>

namespace shallot {

/// Twice the hosts of the target size (1,700 entry and 9,900 upstream hosts).
inline constexpr std::size_t MaxHosts = 24000;
inline constexpr std::size_t MaxHostListBytes = 4 << 20;

enum class HostState : std::uint8_t { Live, Leaving };
enum class HostKind : std::uint8_t { Entry, Upstream };

/// One host. Upstream hosts may have no gossip and RPC ports: these are 0.
struct HostEntry {
  HostId Host;
  std::string Ip;
  std::uint16_t HttpPort = 0;
  std::uint16_t GossipPort = 0;
  std::uint16_t RpcPort = 0;
  AvailabilityZone Zone;
  Region Reg;
  HostState State = HostState::Live;
  HostKind Kind = HostKind::Entry;

  friend auto operator<=>(const HostEntry &, const HostEntry &) = default;
};

struct HostList {
  std::uint64_t Version = 0;
  std::vector<HostEntry> Hosts;
  /// Entries that could not be understood and were left out.
  std::size_t Skipped = 0;

  friend bool operator==(const HostList &, const HostList &) = default;
};

/// Reads the platform's reply. An entry that cannot be understood is left out:
/// one bad entry must not hide all other hosts. Unknown fields are ignored, as
/// the list is the platform's to extend. Fails with PlatformBadReply.
Result<HostList> decodeHostList(std::string_view Json);

} // namespace shallot

#endif // SHALLOTSHIFT_STORE_HOSTLIST_H
