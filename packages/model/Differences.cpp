#include "model/Document.h"
#include "model/DocumentJson.h"
#include "model/JsonFields.h"

#include <fmt/format.h>

namespace shallot {

using internal::servicePath;

namespace {

using nlohmann::json;

/// Returns every object of \p D by its path, as the document that creates it.
std::map<std::string, json> objectsOf(const Draft &D) {
  std::map<std::string, json> All;
  for (const Group &G : D.Groups)
    for (const Service &S : G->Services) {
      All.emplace(servicePath(G->Owner, G->Name, S->Name),
                  internal::serviceDocument(G, S));
      for (const Upstream &U : S->Upstreams)
        All.emplace("upstream/" + U->Id.str(),
                    internal::upstreamDocument(G, S, U));
    }
  for (const Preset &P : D.Presets)
    All.emplace("preset/" + P->Name.str(), internal::toJson(P));
  if (!D.PresetInForce.empty())
    All.emplace(InForceObject, json{{"name", D.PresetInForce.str()}});
  return All;
}

/// Returns "upstream uw-03-a" for "upstream/uw-03-a".
std::string displayPath(std::string Path) {
  auto Slash = Path.find('/');
  if (Slash != std::string::npos)
    Path[Slash] = ' ';
  return Path;
}

/// Appends the fields that differ to \p Out, those of nested objects by dotted
/// names.
void fieldDifferences(const std::string &Prefix, const json &From,
                      const json &To, std::vector<std::string> &Out) {
  std::set<std::string> Keys;
  for (const auto &[Key, Value] : From.items())
    Keys.insert(Key);
  for (const auto &[Key, Value] : To.items())
    Keys.insert(Key);
  for (const std::string &Key : Keys) {
    const json Old = From.value(Key, json());
    const json New = To.value(Key, json());
    if (Old == New)
      continue;
    if (Old.is_object() && New.is_object())
      fieldDifferences(Prefix + Key + ".", Old, New, Out);
    else
      Out.push_back(fmt::format("{}{} {} -> {}", Prefix, Key,
                                formatForError(Old), formatForError(New)));
  }
}

std::string differenceLine(const std::string &Path, const json &From,
                           const json &To) {
  std::vector<std::string> Fields;
  fieldDifferences("", From, To, Fields);
  return fmt::format("{}: {}", displayPath(Path), fmt::join(Fields, ", "));
}

} // namespace

namespace internal {

std::string servicePath(const Tenant &T, const GroupName &G,
                        const ServiceName &S) {
  return fmt::format("service/{}/{}/{}", T.str(), G.str(), S.str());
}

} // namespace internal

std::vector<std::string> differences(const Draft &From, const Draft &To) {
  const std::map<std::string, json> Old = objectsOf(From);
  const std::map<std::string, json> New = objectsOf(To);
  std::vector<std::string> Lines;
  for (const std::string &Path : changedObjects(From, To)) {
    auto O = Old.find(Path);
    auto N = New.find(Path);
    if (O == Old.end())
      Lines.push_back(displayPath(Path) + ": added");
    else if (N == New.end())
      Lines.push_back(displayPath(Path) + ": removed");
    else
      Lines.push_back(differenceLine(Path, O->second, N->second));
  }
  return Lines;
}

std::set<std::string> changedObjects(const Draft &From, const Draft &To) {
  const std::map<std::string, json> Old = objectsOf(From);
  const std::map<std::string, json> New = objectsOf(To);
  std::set<std::string> Paths;
  for (const auto &[Path, Doc] : Old) {
    auto N = New.find(Path);
    if (N == New.end() || N->second != Doc)
      Paths.insert(Path);
  }
  for (const auto &[Path, Doc] : New)
    if (!Old.contains(Path))
      Paths.insert(Path);
  return Paths;
}

std::map<std::string, std::string> documentsOf(const Draft &D) {
  std::map<std::string, std::string> Documents;
  for (const auto &[Path, Doc] : objectsOf(D))
    if (Path != InForceObject)
      Documents.emplace(Path, canonicalJson(Doc));
  return Documents;
}

} // namespace shallot
