#include "model/Document.h"
#include "model/DocumentJson.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {

using internal::servicePath;

namespace {

using GroupKey = std::pair<Tenant, GroupName>;
using ServicesByName = std::map<ServiceName, ServiceFields>;

/// A draft with its services indexed by name, so that each of thousands of
/// documents is applied with one look-up.
class DraftEditor {
public:
  explicit DraftEditor(Draft D) : D(std::move(D)) {
    for (const Group &G : this->D.Groups) {
      ServicesByName &Services = Groups[{G->Owner, G->Name}];
      for (const Service &S : G->Services)
        Services.emplace(S->Name, *S);
    }
  }

  ServicesByName &group(const GroupKey &Key) { return Groups[Key]; }

  Result<void> put(const ServiceDoc &Doc) {
    ServiceFields &S = group({Doc.Owner, Doc.InGroup})[Doc.Name];
    S.Name = Doc.Name;
    S.Books = Doc.Books;
    return {};
  }

  Result<void> put(const UpstreamDoc &Doc) {
    ServiceFields *S = find({Doc.Owner, Doc.InGroup}, Doc.InService);
    if (!S)
      return fail(ResultCode::DanglingReference,
                  fmt::format("upstream {}: there is no service {}/{}/{}; "
                              "create the service first or add it to the "
                              "same file",
                              Doc.Fields.Id.str(), Doc.Owner.str(),
                              Doc.InGroup.str(), Doc.InService.str()));
    BOOST_LEAF_AUTO(U, Upstream::make(Doc.Fields));
    std::erase_if(S->Upstreams, [&](const Upstream &Old) {
      return Old->Id == Doc.Fields.Id;
    });
    S->Upstreams.push_back(std::move(U));
    return {};
  }

  Result<void> put(const PresetFields &Doc) {
    BOOST_LEAF_AUTO(P, Preset::make(Doc));
    std::erase_if(D.Presets,
                  [&](const Preset &Old) { return Old->Name == Doc.Name; });
    D.Presets.push_back(std::move(P));
    if (D.PresetInForce.empty())
      D.PresetInForce = Doc.Name;
    return {};
  }

  Result<Draft> finish() && {
    D.Groups.clear();
    for (auto &[Key, Services] : Groups) {
      if (Services.empty())
        continue;
      GroupFields F{Key.first, Key.second, {}};
      for (auto &[Name, Fields] : Services) {
        BOOST_LEAF_AUTO(S, Service::make(std::move(Fields)));
        F.Services.push_back(std::move(S));
      }
      BOOST_LEAF_AUTO(G, Group::make(std::move(F)));
      D.Groups.push_back(std::move(G));
    }
    std::ranges::sort(D.Presets, {},
                      [](const Preset &P) { return P->Name.str(); });
    return std::move(D);
  }

private:
  ServiceFields *find(const GroupKey &Key, const ServiceName &Name) {
    auto G = Groups.find(Key);
    if (G == Groups.end())
      return nullptr;
    auto S = G->second.find(Name);
    return S == G->second.end() ? nullptr : &S->second;
  }

  Draft D;
  std::map<GroupKey, ServicesByName> Groups;
};

std::string pathOf(const ServiceDoc &Doc) {
  return servicePath(Doc.Owner, Doc.InGroup, Doc.Name);
}
std::string pathOf(const UpstreamDoc &Doc) {
  return "upstream/" + Doc.Fields.Id.str();
}
std::string pathOf(const PresetFields &Doc) {
  return "preset/" + Doc.Name.str();
}

Result<void> checkNoDuplicates(const std::vector<OperatorDoc> &Docs) {
  std::set<std::string> Seen;
  for (const OperatorDoc &Doc : Docs) {
    std::string Path = objectPath(Doc);
    if (!Seen.insert(Path).second)
      return fail(ResultCode::AlreadyExists,
                  fmt::format("{} appears twice in the documents", Path));
  }
  return {};
}

template <typename Doc>
Result<void> putAll(DraftEditor &E, const std::vector<OperatorDoc> &Docs) {
  for (const OperatorDoc &Any : Docs)
    if (const Doc *D = std::get_if<Doc>(&Any))
      BOOST_LEAF_CHECK(E.put(*D));
  return {};
}

auto unknownObject(std::string_view Path) {
  return fail(ResultCode::UnknownObject,
              fmt::format("there is no {}; `shallotctl show` lists what there "
                          "is",
                          Path));
}

Result<Draft> withoutPreset(Draft D, std::string_view Name,
                            std::string_view Path) {
  if (D.PresetInForce.str() == Name)
    return fail(
        ResultCode::StillReferenced,
        fmt::format("{} is in force; switch to another preset first", Path));
  if (std::erase_if(D.Presets, [&](const Preset &P) {
        return P->Name.str() == Name;
      }) == 0)
    return unknownObject(Path);
  return D;
}

Result<Draft> withoutUpstream(const Draft &D, std::string_view Name,
                              std::string_view Path) {
  DraftEditor E(D);
  for (const Group &G : D.Groups)
    for (const Service &S : G->Services)
      if (S.find(UpstreamId(std::string(Name)))) {
        std::erase_if(E.group({G->Owner, G->Name})[S->Name].Upstreams,
                      [&](const Upstream &U) { return U->Id.str() == Name; });
        return std::move(E).finish();
      }
  return unknownObject(Path);
}

Result<Draft> withoutService(const Draft &D, std::string_view Path) {
  DraftEditor E(D);
  for (const Group &G : D.Groups)
    for (const Service &S : G->Services) {
      if (servicePath(G->Owner, G->Name, S->Name) != Path)
        continue;
      if (!S->Upstreams.empty())
        return fail(ResultCode::StillReferenced,
                    fmt::format("{} still has {} upstreams, {} first; delete "
                                "them before the service",
                                Path, S->Upstreams.size(),
                                S->Upstreams.front()->Id.str()));
      E.group({G->Owner, G->Name}).erase(S->Name);
      return std::move(E).finish();
    }
  return unknownObject(Path);
}

} // namespace

std::string objectPath(const OperatorDoc &Doc) {
  return std::visit([](const auto &Each) { return pathOf(Each); }, Doc);
}

Draft draftOf(const Config &C) {
  return {C.head()->PresetInForce, C.groups(), C.presets()};
}

Result<Draft> applyDocuments(Draft D, const std::vector<OperatorDoc> &Docs) {
  BOOST_LEAF_CHECK(checkNoDuplicates(Docs));
  DraftEditor E(std::move(D));
  // Services first, because an upstream may precede its service in the file.
  BOOST_LEAF_CHECK(putAll<ServiceDoc>(E, Docs));
  BOOST_LEAF_CHECK(putAll<UpstreamDoc>(E, Docs));
  BOOST_LEAF_CHECK(putAll<PresetFields>(E, Docs));
  return std::move(E).finish();
}

Result<Draft> removeObject(Draft D, std::string_view ObjectPath) {
  auto Slash = ObjectPath.find('/');
  std::string_view Kind = ObjectPath.substr(0, Slash);
  std::string_view Name = Slash == std::string_view::npos
                              ? std::string_view()
                              : ObjectPath.substr(Slash + 1);
  if (Kind == "preset")
    return withoutPreset(std::move(D), Name, ObjectPath);
  if (Kind == "upstream")
    return withoutUpstream(D, Name, ObjectPath);
  if (Kind == "service")
    return withoutService(D, ObjectPath);
  return fail(ResultCode::UnknownKind,
              fmt::format("'{}' is not an object path; allowed are "
                          "service/TENANT/GROUP/SERVICE, upstream/UPSTREAM "
                          "and preset/PRESET",
                          ObjectPath));
}

Result<Draft> withPresetInForce(Draft D, const PresetName &Name) {
  bool Exists = std::ranges::any_of(
      D.Presets, [&](const Preset &P) { return P->Name == Name; });
  if (!Exists)
    return unknownObject("preset/" + Name.str());
  D.PresetInForce = Name;
  return D;
}

} // namespace shallot
