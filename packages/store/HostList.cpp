#include "store/HostList.h"

#include "shallotshift/model.h"

#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>

namespace shallot {
namespace {

using nlohmann::json;

constexpr std::uint64_t MaxPort = std::numeric_limits<std::uint16_t>::max();

Result<std::uint16_t> portFrom(JsonFields &F, std::string_view Key) {
  if (!F.has(Key))
    return std::uint16_t(0);
  BOOST_LEAF_AUTO(Port, F.integer(Key, 0, MaxPort));
  return static_cast<std::uint16_t>(Port);
}

Result<HostEntry> entryFrom(const json &Doc) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "host"));
  HostEntry H;
  BOOST_LEAF_AUTO(Host, F.name("host"));
  H.Host = HostId(Host);
  BOOST_LEAF_AUTO(Ip, F.string("ip"));
  BOOST_LEAF_CHECK(Endpoint::parse(Ip + ":1", "host: \"ip\""));
  H.Ip = Ip;
  BOOST_LEAF_ASSIGN(H.HttpPort, portFrom(F, "http_port"));
  BOOST_LEAF_ASSIGN(H.GossipPort, portFrom(F, "gossip_port"));
  BOOST_LEAF_ASSIGN(H.RpcPort, portFrom(F, "rpc_port"));
  BOOST_LEAF_AUTO(Zone, F.name("zone"));
  H.Zone = AvailabilityZone(Zone);
  BOOST_LEAF_AUTO(Reg, F.name("region"));
  H.Reg = Region(Reg);
  BOOST_LEAF_AUTO(State, F.string("state"));
  BOOST_LEAF_AUTO(Kind, F.string("kind"));
  if (State != "live" && State != "leaving")
    return fail(ResultCode::PlatformBadReply, "host: \"state\"");
  if (Kind != "entry" && Kind != "upstream")
    return fail(ResultCode::PlatformBadReply, "host: \"kind\"");
  H.State = State == "live" ? HostState::Live : HostState::Leaving;
  H.Kind = Kind == "entry" ? HostKind::Entry : HostKind::Upstream;
  return H;
}

/// A host that cannot be read is skipped like any other bad one.
Result<json> documentFrom(std::string_view Json) {
  JsonLimits Limits{MaxHostListBytes};
  auto Strict = attempt(
      [&] { return parseJson(Json, "the platform's host list", Limits); });
  if (Strict)
    return std::move(*Strict);
  json Doc;
  bool ValuesLost =
      Strict.error().Code == ResultCode::MalformedJson &&
      parseLenient(Json, static_cast<int>(Limits.MaxDepth), Doc) > 0;
  if (!ValuesLost)
    return fail(Strict.error().Code, Strict.error().Detail);
  return Doc;
}

Result<HostList> listFrom(std::string_view Json) {
  BOOST_LEAF_AUTO(Doc, documentFrom(Json));
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "the platform's host list"));
  HostList List;
  BOOST_LEAF_ASSIGN(
      List.Version,
      F.integer("version", 0, std::numeric_limits<std::uint64_t>::max()));
  BOOST_LEAF_AUTO(Hosts, F.array("hosts"));
  for (const json &One : *Hosts) {
    auto Entry = attempt([&] { return entryFrom(One); });
    if (Entry && List.Hosts.size() < MaxHosts)
      List.Hosts.push_back(*Entry);
    else
      ++List.Skipped;
  }
  return List;
}

} // namespace

Result<HostList> decodeHostList(std::string_view Json) {
  auto List = attempt([&] { return listFrom(Json); });
  if (List)
    return std::move(*List);
  return fail(ResultCode::PlatformBadReply, List.error().Detail);
}

} // namespace shallot
