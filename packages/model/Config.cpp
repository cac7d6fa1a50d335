#include "model/Config.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace shallot {
namespace {

std::string serviceKey(const Tenant &T, const ServiceName &Name) {
  return T.str() + '\0' + Name.str();
}

std::string groupKey(const Group &G) {
  return fmt::format("{}/{}", G->Owner.str(), G->Name.str());
}

/// The given objects must be exactly those that the head references; otherwise
/// a daemon would serve less or more than the operators accepted.
Result<void> checkExactSet(const std::map<std::string, std::string> &Referenced,
                           const std::set<std::string> &Present,
                           std::size_t Count, std::string_view What) {
  for (const auto &[Name, Hash] : Referenced)
    if (!Present.contains(Name))
      return fail(ResultCode::ContentMismatch,
                  fmt::format("{} {} is referenced by the head but absent",
                              What, Name));
  if (Count != Referenced.size())
    return fail(ResultCode::ContentMismatch,
                fmt::format("{} {}s were given, the head references {}", Count,
                            What, Referenced.size()));
  return {};
}

Result<void> checkReferences(const Head &H, const std::vector<Group> &Groups,
                             const std::vector<Preset> &Presets) {
  std::set<std::string> GroupKeys;
  for (const Group &G : Groups)
    GroupKeys.insert(groupKey(G));
  std::set<std::string> PresetKeys;
  for (const Preset &P : Presets)
    PresetKeys.insert(P->Name.str());
  BOOST_LEAF_CHECK(checkExactSet(H->Groups, GroupKeys, Groups.size(), "group"));
  BOOST_LEAF_CHECK(
      checkExactSet(H->Presets, PresetKeys, Presets.size(), "preset"));
  if (!PresetKeys.contains(H->PresetInForce.str()))
    return fail(ResultCode::DanglingReference,
                fmt::format("the preset in force, {}, does not exist",
                            H->PresetInForce.str()));
  return {};
}

/// Upstream names must be unique across all services, because limits, slots and
/// traces refer to an upstream without its service.
Result<void> checkUniqueNames(const std::vector<Group> &Groups) {
  std::map<std::string, std::string> Services;
  std::map<UpstreamId, std::string> Upstreams;
  for (const Group &G : Groups)
    for (const Service &S : G->Services) {
      std::string Where = fmt::format("{}/{}", groupKey(G), S->Name.str());
      auto [Svc, NewSvc] =
          Services.emplace(serviceKey(G->Owner, S->Name), Where);
      if (!NewSvc)
        return fail(ResultCode::AlreadyExists,
                    fmt::format("service {} already exists as {}; the "
                                "services of a tenant need different names",
                                Where, Svc->second));
      for (const Upstream &U : S->Upstreams) {
        auto [Other, NewUp] = Upstreams.emplace(U->Id, Where);
        if (!NewUp)
          return fail(ResultCode::AlreadyExists,
                      fmt::format("upstream {} of service {} already exists in "
                                  "service {}; delete that one first",
                                  U->Id.str(), Where, Other->second));
      }
    }
  return {};
}

} // namespace

Result<ConfigPtr> Config::make(Head H, std::vector<Group> Groups,
                               std::vector<Preset> Presets) {
  BOOST_LEAF_CHECK(checkReferences(H, Groups, Presets));
  BOOST_LEAF_CHECK(checkUniqueNames(Groups));
  std::ranges::sort(Groups, {}, groupKey);
  std::ranges::sort(Presets, {}, [](const Preset &P) { return P->Name.str(); });
  return ConfigPtr(
      new Config(std::move(H), std::move(Groups), std::move(Presets)));
}

Config::Config(Head TheHead, std::vector<Group> TheGroups,
               std::vector<Preset> ThePresets)
    : H(std::move(TheHead)), Groups(std::move(TheGroups)),
      Presets(std::move(ThePresets)) {
  for (const Preset &P : Presets)
    if (P->Name == H->PresetInForce)
      InForce = &P;
  for (const Group &G : Groups)
    for (const Service &S : G->Services) {
      ServiceRef Ref{&G, &S};
      ByName.emplace(serviceKey(G->Owner, S->Name), Ref);
      for (const Upstream &U : S->Upstreams)
        ByUpstream.emplace(U->Id, std::make_pair(Ref, &U));
    }
}

bool Config::hasTenant(const Tenant &T) const {
  return std::ranges::any_of(Groups,
                             [&](const Group &G) { return G->Owner == T; });
}

ServiceRef Config::find(const Tenant &T, const ServiceName &Name) const {
  auto It = ByName.find(serviceKey(T, Name));
  return It == ByName.end() ? ServiceRef{} : It->second;
}

const Group *Config::findGroup(const Tenant &T, const GroupName &Name) const {
  auto It = std::ranges::find_if(
      Groups, [&](const Group &G) { return G->Owner == T && G->Name == Name; });
  return It == Groups.end() ? nullptr : &*It;
}

const Upstream *Config::findUpstream(const UpstreamId &Id,
                                     ServiceRef *Where) const {
  auto It = ByUpstream.find(Id);
  if (Where)
    *Where = It == ByUpstream.end() ? ServiceRef{} : It->second.first;
  return It == ByUpstream.end() ? nullptr : It->second.second;
}

} // namespace shallot
