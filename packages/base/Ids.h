//===- Ids.h - Names of things ----------------------------------*- C++ -*-===//
//
// Each kind of name has a type of its own, so that a service cannot be passed
// where an upstream is meant. The words host, availability zone, caller and
// upstream are the users' (docs/GLOSSARY.md).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_IDS_H
#define SHALLOTSHIFT_BASE_IDS_H

#include "base/Result.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace shallot {

/// A name of one kind of thing. Tag keeps the kinds apart.
template <typename Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text(std::move(Text)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  friend auto operator<=>(const Name &, const Name &) = default;

private:
  std::string Text;
};

using HostId = Name<struct HostTag>; ///< A machine of ours.
using AvailabilityZone = Name<struct ZoneTag>;
using Region = Name<struct RegionTag>;
using Tenant = Name<struct TenantTag>;       ///< A firm.
using CallerClass = Name<struct ClassTag>;   ///< A kind of caller's work.
using GroupName = Name<struct GroupTag>;     ///< Services configured as one.
using ServiceName = Name<struct ServiceTag>; ///< One searchable shard.
using UpstreamId = Name<struct UpstreamTag>; ///< One replica of a service.
using PresetName = Name<struct PresetTag>;
using RequestId = Name<struct RequestTag>;
using ChangeId = Name<struct ChangeTag>; ///< One operator's change.

/// The longest name of any kind, in bytes.
inline constexpr std::size_t MaxNameBytes = 96;

/// Checks that \p Text is 1 to MaxNameBytes of [A-Za-z0-9._/-]. \p What names
/// the field in the error (BadName).
Result<std::string> checkName(std::string_view Text, std::string_view What);

/// An IP address in text form and a port.
struct Endpoint {
  std::string Ip;
  std::uint16_t Port = 0;

  std::string str() const;
  /// Parses "127.0.0.1:80". Fails with OutOfRange, naming \p What.
  static Result<Endpoint> parse(std::string_view Text, std::string_view What);

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// One run of one daemon: the incarnation differs at every start, so that what
/// was said of an earlier process is never taken for this one.
struct DaemonId {
  HostId Host;
  std::uint64_t Incarnation = 0;

  /// "host@incarnation" in hexadecimal.
  std::string str() const;
  static Result<DaemonId> parse(std::string_view Text);

  friend auto operator<=>(const DaemonId &, const DaemonId &) = default;
};

/// Version of the index and of the partition map that one answer comes from.
struct Snapshot {
  std::uint64_t IndexVersion = 0;
  std::uint64_t PartitionVersion = 0;

  friend auto operator<=>(const Snapshot &, const Snapshot &) = default;
};

} // namespace shallot

template <typename Tag> struct std::hash<shallot::Name<Tag>> {
  std::size_t operator()(const shallot::Name<Tag> &N) const noexcept {
    return std::hash<std::string>()(N.str());
  }
};
template <> struct std::hash<shallot::DaemonId> {
  std::size_t operator()(const shallot::DaemonId &D) const noexcept {
    return std::hash<std::string>()(D.Host.str()) ^ D.Incarnation;
  }
};

#endif // SHALLOTSHIFT_BASE_IDS_H
