#include "daemon/Settings.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace shallot {
namespace {

using Json = nlohmann::json;

constexpr const char *SchemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "zone", "region", "http", "gossip", "rpc", "platform"],
  "properties": {
    "host":     {"type": "string", "minLength": 1, "maxLength": 96},
    "zone":     {"type": "string", "minLength": 1, "maxLength": 96},
    "region":   {"type": "string", "minLength": 1, "maxLength": 96},
    "http":     {"type": "string"},
    "gossip":   {"type": "string"},
    "rpc":      {"type": "string"},
    "platform": {"type": "array", "minItems": 1, "maxItems": 8,
                 "items": {"type": "string"}},
    "peers":    {"type": "array", "maxItems": 64, "items": {"type": "string"}},
    "log_level": {"type": "string",
                  "enum": ["debug", "info", "warn", "error"]},
    "strategy": {"type": "string", "enum": ["full", "baseline"]},
    "entry_validity_ms": {"type": "integer", "minimum": 1000,
                          "maximum": 300000}
  }
})json";

std::string firstViolation(valijson::ValidationResults &Found) {
  valijson::ValidationResults::Error E;
  if (!Found.popError(E))
    return "the schema refused it";
  std::string Where;
  for (const std::string &Step : E.context)
    Where += Step;
  return fmt::format("{}: {}", Where, E.description);
}

std::string unknownField(const Json &Doc, const Json &Known) {
  if (!Doc.is_object())
    return {};
  for (const auto &[Key, Value] : Doc.items())
    if (!Known.contains(Key))
      return Key;
  return {};
}

Result<void> checkAgainstSchema(const Json &Doc) {
  static const Json SchemaDoc = Json::parse(SchemaText);
  valijson::Schema Schema;
  valijson::SchemaParser Parser;
  Parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(SchemaDoc),
                        Schema);
  valijson::Validator Check;
  valijson::ValidationResults Found;
  if (Check.validate(Schema, valijson::adapters::NlohmannJsonAdapter(Doc),
                     &Found))
    return {};
  // Named here, since the schema's own message does not name the value.
  std::string Unknown = unknownField(Doc, SchemaDoc["properties"]);
  if (!Unknown.empty())
    return fail(ResultCode::SettingsInvalid,
                fmt::format("'{}' is not a setting; see "
                            "docs/operators/settings.md for those there are",
                            Unknown));
  return fail(ResultCode::SettingsInvalid, firstViolation(Found));
}

LogLevel levelFrom(const std::string &Text) {
  if (Text == "debug")
    return LogLevel::Debug;
  if (Text == "warn")
    return LogLevel::Warn;
  return Text == "error" ? LogLevel::Error : LogLevel::Info;
}

Result<Endpoint> endpointIn(const Json &Doc, const char *Field) {
  return Endpoint::parse(Doc[Field].get_ref<const std::string &>(), Field);
}

Result<std::vector<Endpoint>> endpointsIn(const Json &Doc, const char *Field) {
  std::vector<Endpoint> All;
  if (!Doc.contains(Field))
    return All;
  for (const Json &One : Doc[Field]) {
    BOOST_LEAF_AUTO(E,
                    Endpoint::parse(One.get_ref<const std::string &>(), Field));
    All.push_back(std::move(E));
  }
  return All;
}

Result<Settings> fromDocument(const Json &Doc) {
  Settings S;
  BOOST_LEAF_ASSIGN(S.Http, endpointIn(Doc, "http"));
  BOOST_LEAF_ASSIGN(S.Gossip, endpointIn(Doc, "gossip"));
  BOOST_LEAF_ASSIGN(S.Rpc, endpointIn(Doc, "rpc"));
  BOOST_LEAF_ASSIGN(S.Platform, endpointsIn(Doc, "platform"));
  BOOST_LEAF_ASSIGN(S.Peers, endpointsIn(Doc, "peers"));
  BOOST_LEAF_AUTO(Host, checkName(Doc["host"].get<std::string>(), "host"));
  BOOST_LEAF_AUTO(Zone, checkName(Doc["zone"].get<std::string>(), "zone"));
  BOOST_LEAF_AUTO(Reg, checkName(Doc["region"].get<std::string>(), "region"));
  S.Host = HostId(Host);
  S.Zone = AvailabilityZone(Zone);
  S.Reg = Region(Reg);
  S.Level = levelFrom(Doc.value("log_level", "info"));
  if (Doc.value("strategy", "full") == "baseline")
    S.Treatment = Strategy::Baseline;
  S.EntryValidity = Millis(Doc.value("entry_validity_ms", 10000));
  return S;
}

} // namespace

Result<Settings> Settings::parse(std::string_view Text) {
  if (Text.size() > MaxSettingsBytes)
    return fail(ResultCode::SettingsInvalid,
                fmt::format("the settings have {} bytes, allowed are {}",
                            Text.size(), MaxSettingsBytes));
  Json Doc = Json::parse(Text, nullptr, false);
  if (Doc.is_discarded())
    return fail(ResultCode::SettingsInvalid, "the settings are not valid JSON");
  BOOST_LEAF_CHECK(checkAgainstSchema(Doc));
  Attempt<Settings> Made = attempt([&] { return fromDocument(Doc); });
  if (!Made)
    return fail(ResultCode::SettingsInvalid, Made.error().Detail);
  return std::move(*Made);
}

Result<Settings> Settings::load(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return fail(ResultCode::SettingsUnreadable,
                fmt::format("'{}' cannot be opened", Path));
  std::stringstream Text;
  Text << In.rdbuf();
  return parse(Text.str());
}

} // namespace shallot
