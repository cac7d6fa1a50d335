//===- FrontSettings.cpp --------------------------------------------------===//
#include "front/FrontSettings.h"

#include "shallotshift/model.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace shallot {

namespace {

/// A bound of more than an hour indicates a wrong unit.
constexpr double MaxSeconds = 3600;
constexpr double MaxRetries = 1e6;
constexpr double MaxCores = 4096;
constexpr std::uint64_t MinMemoryMb = 16;
constexpr std::uint64_t MaxMemoryMb = 1 << 20;
constexpr int MaxPort = 65535;

Result<Endpoint> endpoint(JsonFields &F, std::string_view Key) {
  BOOST_LEAF_AUTO(Text, F.string(Key));
  return Endpoint::parse(Text, Key);
}

Result<Duration> seconds(JsonFields &F, std::string_view Key) {
  BOOST_LEAF_AUTO(S, F.number(Key, 0, MaxSeconds));
  return fromMillisF(S * 1000);
}

Result<void> readPlace(JsonFields &F, FrontSettings &S) {
  BOOST_LEAF_AUTO(Host, F.string("host"));
  BOOST_LEAF_AUTO(Zone, F.string("zone"));
  BOOST_LEAF_AUTO(Reg, F.string("region"));
  S.Host = HostId(Host);
  S.Here = {AvailabilityZone(Zone), Region(Reg)};
  BOOST_LEAF_AUTO(Zones, F.object("zones"));
  for (const auto &[Name, Value] : Zones->items()) {
    if (!Value.is_string())
      return fail(ResultCode::WrongType,
                  "zones." + Name + ": expected the name of a region");
    S.Zones.emplace(AvailabilityZone(Name), Region(Value.get<std::string>()));
  }
  return {};
}

Result<void> readAddresses(JsonFields &F, FrontSettings &S) {
  BOOST_LEAF_ASSIGN(S.Callers, endpoint(F, "callers"));
  BOOST_LEAF_ASSIGN(S.Readiness, endpoint(F, "readiness"));
  BOOST_LEAF_ASSIGN(S.Directory, endpoint(F, "directory"));
  BOOST_LEAF_ASSIGN(S.Peers, endpoint(F, "peers"));
  BOOST_LEAF_ASSIGN(S.Gossip, endpoint(F, "gossip"));
  BOOST_LEAF_ASSIGN(S.Quotas, endpoint(F, "quotas"));
  BOOST_LEAF_ASSIGN(S.Metrics, endpoint(F, "metrics"));
  BOOST_LEAF_ASSIGN(S.Store, endpoint(F, "store"));
  BOOST_LEAF_AUTO(Seeds, F.array("seeds"));
  for (const nlohmann::json &Item : *Seeds) {
    if (!Item.is_string())
      return fail(ResultCode::WrongType, "seeds: expected a list of addresses");
    BOOST_LEAF_AUTO(Seed, Endpoint::parse(Item.get<std::string>(), "seeds"));
    S.Seeds.push_back(std::move(Seed));
  }
  return {};
}

Result<void> readQuotaLimits(JsonFields &F, QuotaTolerance &T) {
  if (F.has("quota_window_s")) {
    BOOST_LEAF_ASSIGN(T.Window, seconds(F, "quota_window_s"));
  }
  if (F.has("quota_overage")) {
    BOOST_LEAF_ASSIGN(T.Overage, F.number("quota_overage", 0, MaxRetries));
  }
  if (F.has("quota_slack")) {
    BOOST_LEAF_ASSIGN(T.Slack, F.number("quota_slack", 0, MaxRetries));
  }
  if (T.Window < Seconds(1))
    return fail(ResultCode::OutOfRange, "quota_window_s: must be at least 1");
  return {};
}

Result<void> readReports(JsonFields &F, FrontSettings &S) {
  constexpr std::string_view Key = "internal_ports";
  if (!F.has(Key))
    return {};
  BOOST_LEAF_AUTO(Ports, F.array(Key));
  auto IsPort = [](const nlohmann::json &Item) {
    return Item.is_number_integer() && Item >= 1 && Item <= MaxPort;
  };
  if (Ports->size() != 2 || !std::ranges::all_of(*Ports, IsPort))
    return fail(ResultCode::OutOfRange,
                "internal_ports: expected the first and the last port, as in "
                "[7740, 7755]");
  int First = (*Ports)[0].get<int>();
  int Last = (*Ports)[1].get<int>();
  Endpoint At{S.Gossip.Ip, static_cast<std::uint16_t>(First + 1)};
  if (First > Last)
    return fail(ResultCode::OutOfRange,
                fmt::format("internal_ports: the first port {} is above the "
                            "last, {}",
                            First, Last));
  // A range without a third port has none for reports.
  bool Taken = At.Port == S.Gossip.Port || At.Port == S.Quotas.Port;
  if (First < Last && !Taken)
    S.Reports = At;
  return {};
}

Result<void> readBounds(JsonFields &F, FrontSettings &S) {
  BOOST_LEAF_ASSIGN(S.StopGrace, seconds(F, "stop_grace_s"));
  BOOST_LEAF_AUTO(DrainMs, F.number("drain_ms", 0, MaxSeconds * 1000));
  S.DrainDuration = fromMillisF(DrainMs);
  BOOST_LEAF_ASSIGN(S.EntryValidity, seconds(F, "entry_validity_s"));
  BOOST_LEAF_ASSIGN(S.Retries.Ratio, F.number("retry_ratio", 0, 1));
  BOOST_LEAF_ASSIGN(S.Retries.Window, seconds(F, "retry_window_s"));
  BOOST_LEAF_ASSIGN(S.Retries.Constant,
                    F.number("retry_constant", 0, MaxRetries));
  if (F.has("evacuation_ms")) {
    BOOST_LEAF_AUTO(Ms, F.number("evacuation_ms", 0, MaxSeconds * 1000));
    S.Evacuation = fromMillisF(Ms);
  }
  if (F.has("warmup_overage")) {
    BOOST_LEAF_ASSIGN(S.Warmup.Overage,
                      F.number("warmup_overage", 0, MaxRetries));
  }
  if (F.has("warmup_slack")) {
    BOOST_LEAF_ASSIGN(S.Warmup.Slack, F.number("warmup_slack", 0, MaxRetries));
  }
  BOOST_LEAF_CHECK(readQuotaLimits(F, S.QuotaLimits));
  BOOST_LEAF_AUTO(Share, F.number("cpu_share", 0, 1));
  BOOST_LEAF_AUTO(Cores, F.number("cores", 0, MaxCores));
  S.Cores = Share * Cores;
  if (F.has("memory_mb")) {
    BOOST_LEAF_AUTO(Mb, F.integer("memory_mb", MinMemoryMb, MaxMemoryMb));
    S.MemoryBytes = static_cast<std::size_t>(Mb) << 20;
  }
  if (S.Retries.Window < Seconds(1))
    return fail(ResultCode::OutOfRange, "retry_window_s: must be at least 1");
  return {};
}

} // namespace

Result<FrontSettings> FrontSettings::parse(std::string_view Json) {
  BOOST_LEAF_AUTO(Doc, parseJson(Json, "the settings"));
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "settings"));
  FrontSettings S;
  BOOST_LEAF_CHECK(readPlace(F, S));
  BOOST_LEAF_CHECK(readAddresses(F, S));
  BOOST_LEAF_CHECK(readReports(F, S));
  BOOST_LEAF_CHECK(readBounds(F, S));
  BOOST_LEAF_CHECK(F.finish());
  return S;
}

Result<FrontSettings> FrontSettings::load(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  if (!File || !(Text << File.rdbuf()))
    return fail(ResultCode::SettingsUnreadable, "cannot read " + Path);
  return parse(Text.str());
}

} // namespace shallot
