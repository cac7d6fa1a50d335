#include "store/ConfigReader.h"

#include <fmt/format.h>
#include <set>

namespace shallot {
namespace {

std::string nameOf(const Group &G) {
  return fmt::format("{}/{}", G->Owner.str(), G->Name.str());
}
std::string nameOf(const Preset &P) { return P->Name.str(); }

/// Copies from \p Known what \p Named still names with the same hash; the rest
/// is added to \p Missing. Two names may share one blob only by mistake, so a
/// hash is listed once.
template <typename T>
void takeKnown(const std::map<std::string, std::string> &Named,
               const std::map<std::string, std::string> &KnownHashes,
               const std::vector<T> &Known, bool IsGroup, std::vector<T> &Out,
               std::vector<ConfigAssembly::Blob> &Missing) {
  std::map<std::string, const T *> ByName;
  for (const T &Each : Known)
    ByName.emplace(nameOf(Each), &Each);
  std::set<std::string> Listed;
  for (const auto &[Name, Hash] : Named) {
    auto Old = KnownHashes.find(Name);
    if (Old != KnownHashes.end() && Old->second == Hash &&
        ByName.contains(Name))
      Out.push_back(*ByName.at(Name));
    else if (Listed.insert(Hash).second)
      Missing.push_back({Hash, IsGroup});
  }
}

} // namespace

ConfigAssembly::ConfigAssembly(Head TheHead, const ConfigPtr &Known)
    : H(std::move(TheHead)) {
  static const std::map<std::string, std::string> NoHashes;
  static const std::vector<Group> NoGroups;
  static const std::vector<Preset> NoPresets;
  takeKnown(H->Groups, Known ? Known->head()->Groups : NoHashes,
            Known ? Known->groups() : NoGroups, true, Groups, Missing);
  takeKnown(H->Presets, Known ? Known->head()->Presets : NoHashes,
            Known ? Known->presets() : NoPresets, false, Presets, Missing);
}

Result<void> ConfigAssembly::add(const Blob &What, std::string_view Content) {
  if (contentHash(Content) != What.Hash)
    return fail(ResultCode::ContentMismatch,
                fmt::format("{}{}: its {} bytes do not have this hash",
                            BlobPrefix, What.Hash, Content.size()));
  if (What.IsGroup) {
    BOOST_LEAF_AUTO(G, decodeGroup(Content));
    Groups.push_back(std::move(G));
    return {};
  }
  BOOST_LEAF_AUTO(P, decodePreset(Content));
  Presets.push_back(std::move(P));
  return {};
}

Result<ConfigPtr> ConfigAssembly::finish() && {
  return Config::make(std::move(H), std::move(Groups), std::move(Presets));
}

} // namespace shallot
