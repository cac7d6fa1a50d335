#include "model/Document.h"

#include "model/DocumentJson.h"
#include "model/JsonFields.h"

#include <fmt/format.h>

namespace shallot {

using internal::booksFrom;
using internal::presetFrom;
using internal::readName;
using internal::toJson;
using internal::upstreamFrom;
using nlohmann::json;

namespace {

/// Limit on versions and generations: JSON numbers are exact up to 2^53.
constexpr std::uint64_t MaxJsonInteger = 1ULL << 53;

/// Encodes whole milliseconds as an integer, to keep documents readable.
json msToJson(Duration D) {
  if (D % Millis(1) == Duration(0))
    return toMillis(D);
  return toMillisF(D);
}

json policyJson(const ClassPolicy &P) {
  return {{"priority", P.Priority},
          {"deadline_ms", msToJson(P.Deadline)},
          {"coverage", P.Coverage == CoverageRule::Full ? "full" : "partial"},
          {"partial_after_ms", msToJson(P.PartialAfter)},
          {"queue_limit", P.QueueLimit},
          {"queue_wait_ms", msToJson(P.QueueWait)},
          {"hedge_budget_percent", P.HedgeBudgetPercent},
          {"retry_budget_percent", P.RetryBudgetPercent}};
}

json serviceJson(const Service &S) {
  json Upstreams = json::array();
  for (const Upstream &U : S->Upstreams)
    Upstreams.push_back(toJson(U));
  return {{"name", S->Name.str()},
          {"books", S->Books},
          {"upstreams", std::move(Upstreams)}};
}

Result<Upstream> storedUpstream(const json &Doc, const std::string &Where) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, Where));
  BOOST_LEAF_AUTO(U, upstreamFrom(F));
  BOOST_LEAF_CHECK(F.finish());
  return Upstream::make(std::move(U));
}

Result<Service> storedService(const json &Doc, const std::string &Where) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, Where));
  ServiceFields S;
  BOOST_LEAF_AUTO(Name, F.name("name"));
  S.Name = ServiceName(Name);
  BOOST_LEAF_ASSIGN(S.Books, booksFrom(F));
  BOOST_LEAF_AUTO(Upstreams, F.array("upstreams"));
  for (const json &One : *Upstreams) {
    BOOST_LEAF_AUTO(
        U, storedUpstream(One, fmt::format("service {}: upstream {}", Name,
                                           S.Upstreams.size() + 1)));
    S.Upstreams.push_back(std::move(U));
  }
  BOOST_LEAF_CHECK(F.finish());
  return Service::make(std::move(S));
}

Result<void> expectKind(JsonFields &F, std::string_view Kind) {
  BOOST_LEAF_AUTO(Text, F.string("kind"));
  if (Text == Kind)
    return {};
  return fail(ResultCode::UnknownKind,
              fmt::format("{}: \"kind\" is {}, allowed here is \"{}\"",
                          F.where(), formatForError(Text), Kind));
}

Result<Change> changeFrom(const json &Doc) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "head: change"));
  Change C;
  BOOST_LEAF_CHECK(readName(F, "id", C.Id));
  BOOST_LEAF_ASSIGN(C.Generation, F.integer("generation", 1, MaxJsonInteger));
  BOOST_LEAF_ASSIGN(C.Operator, F.string("operator"));
  BOOST_LEAF_ASSIGN(C.Summary, F.string("summary"));
  BOOST_LEAF_AUTO(At, F.integer("at", 0, MaxJsonInteger));
  C.At = static_cast<WallTime>(At);
  BOOST_LEAF_CHECK(F.finish());
  return C;
}

Result<std::map<std::string, std::string>> hashesFrom(JsonFields &F,
                                                      std::string_view Key) {
  BOOST_LEAF_AUTO(Object, F.object(Key));
  std::map<std::string, std::string> Hashes;
  for (const auto &[Name, Hash] : Object->items()) {
    if (!Hash.is_string())
      return fail(ResultCode::WrongType,
                  fmt::format("head: \"{}\" has {}, allowed are strings", Key,
                              formatForError(Hash)));
    Hashes.emplace(Name, Hash.get<std::string>());
  }
  return Hashes;
}

} // namespace

namespace internal {

json toJson(const Upstream &U) {
  return {{"name", U->Id.str()},           {"address", U->Address.str()},
          {"zone", U->Zone.str()},         {"slots", U->Slots},
          {"connections", U->Connections}, {"leaving", U->Leaving}};
}

json toJson(const Preset &P) {
  json Classes = json::object();
  for (const auto &[Class, Policy] : P->Classes)
    Classes[Class.str()] = policyJson(Policy);
  return {{"kind", "preset"},
          {"name", P->Name.str()},
          {"hedge_quantile", P->HedgeQuantile},
          {"eject_max_percent", P->EjectMaxPercent},
          {"classes", std::move(Classes)}};
}

} // namespace internal

std::string encode(const Group &G) {
  json Services = json::array();
  for (const Service &S : G->Services)
    Services.push_back(serviceJson(S));
  return canonicalJson({{"kind", "group"},
                        {"tenant", G->Owner.str()},
                        {"name", G->Name.str()},
                        {"services", std::move(Services)}});
}

std::string encode(const Preset &P) { return canonicalJson(toJson(P)); }

std::string encode(const Head &H) {
  json Recent = json::array();
  for (const Change &C : H->Recent)
    Recent.push_back({{"id", C.Id.str()},
                      {"generation", C.Generation},
                      {"operator", C.Operator},
                      {"summary", C.Summary},
                      {"at", C.At}});
  return canonicalJson({{"kind", "head"},
                        {"generation", H->Generation},
                        {"preset", H->PresetInForce.str()},
                        {"groups", H->Groups},
                        {"presets", H->Presets},
                        {"recent", std::move(Recent)}});
}

Result<Group> decodeGroup(std::string_view Json) {
  BOOST_LEAF_AUTO(Doc, parseJson(Json, "group", {MaxObjectBytes}));
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "group"));
  BOOST_LEAF_CHECK(expectKind(F, "group"));
  GroupFields G;
  BOOST_LEAF_CHECK(readName(F, "tenant", G.Owner));
  BOOST_LEAF_AUTO(Name, F.name("name"));
  G.Name = GroupName(Name);
  BOOST_LEAF_AUTO(Services, F.array("services"));
  for (const json &One : *Services) {
    BOOST_LEAF_AUTO(S,
                    storedService(One, fmt::format("group {}: service {}", Name,
                                                   G.Services.size() + 1)));
    G.Services.push_back(std::move(S));
  }
  BOOST_LEAF_CHECK(F.finish());
  return Group::make(std::move(G));
}

Result<Preset> decodePreset(std::string_view Json) {
  BOOST_LEAF_AUTO(Doc, parseJson(Json, "preset", {MaxObjectBytes}));
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "preset"));
  BOOST_LEAF_CHECK(expectKind(F, "preset"));
  BOOST_LEAF_AUTO(P, presetFrom(F));
  return Preset::make(std::move(P));
}

Result<Head> decodeHead(std::string_view Json) {
  BOOST_LEAF_AUTO(Doc, parseJson(Json, "head", {MaxObjectBytes}));
  BOOST_LEAF_AUTO(F, JsonFields::open(Doc, "head"));
  BOOST_LEAF_CHECK(expectKind(F, "head"));
  HeadFields H;
  BOOST_LEAF_ASSIGN(H.Generation, F.integer("generation", 1, MaxJsonInteger));
  BOOST_LEAF_CHECK(readName(F, "preset", H.PresetInForce));
  BOOST_LEAF_ASSIGN(H.Groups, hashesFrom(F, "groups"));
  BOOST_LEAF_ASSIGN(H.Presets, hashesFrom(F, "presets"));
  BOOST_LEAF_AUTO(Recent, F.array("recent"));
  for (const json &One : *Recent) {
    BOOST_LEAF_AUTO(C, changeFrom(One));
    H.Recent.push_back(std::move(C));
  }
  BOOST_LEAF_CHECK(F.finish());
  return Head::make(std::move(H));
}

} // namespace shallot
