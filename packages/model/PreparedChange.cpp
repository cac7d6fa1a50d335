#include "model/Document.h"

#include <fmt/format.h>

namespace shallot {
namespace {

/// Limit on the operator's name and on the summary of a change in the head.
constexpr std::size_t MaxChangeTextBytes = 200;

Result<void> checkChange(const Change &What) {
  BOOST_LEAF_CHECK(checkName(What.Id.str(), "change id"));
  if (What.Operator.size() > MaxChangeTextBytes ||
      What.Summary.size() > MaxChangeTextBytes)
    return fail(ResultCode::OutOfRange,
                fmt::format("change {}: operator and summary have {} and {} "
                            "bytes, allowed are 0 to {}",
                            What.Id.str(), What.Operator.size(),
                            What.Summary.size(), MaxChangeTextBytes));
  return {};
}

Result<void> checkSize(std::string_view What, const std::string &Json) {
  if (Json.size() <= MaxObjectBytes)
    return {};
  return fail(ResultCode::PlatformTooLarge,
              fmt::format("{} has {} bytes, the platform holds {}; split it",
                          What, Json.size(), MaxObjectBytes));
}

/// Adds a blob to the head's table \p Table and, if its hash is not in
/// \p Stored, to \p NewBlobs.
Result<void> addBlob(std::string Name, std::string Json,
                     const std::set<std::string> &Stored,
                     std::map<std::string, std::string> &Table,
                     std::map<std::string, std::string> &NewBlobs) {
  BOOST_LEAF_CHECK(checkSize(Name, Json));
  std::string Hash = contentHash(Json);
  if (!Stored.contains(Hash))
    NewBlobs.emplace(Hash, std::move(Json));
  Table.emplace(std::move(Name), std::move(Hash));
  return {};
}

std::set<std::string> storedHashes(const ConfigPtr &Before) {
  std::set<std::string> Hashes;
  if (!Before)
    return Hashes;
  for (const auto &[Name, Hash] : Before->head()->Groups)
    Hashes.insert(Hash);
  for (const auto &[Name, Hash] : Before->head()->Presets)
    Hashes.insert(Hash);
  return Hashes;
}

std::vector<Change> withChange(const ConfigPtr &Before, Change What) {
  std::vector<Change> Recent;
  if (Before)
    Recent = Before->head()->Recent;
  Recent.push_back(std::move(What));
  if (Recent.size() > MaxRecentChanges)
    Recent.erase(Recent.begin(), Recent.end() - MaxRecentChanges);
  return Recent;
}

} // namespace

Result<PreparedChange> prepare(const ConfigPtr &Before, const Draft &D,
                               Change What) {
  BOOST_LEAF_CHECK(checkChange(What));
  HeadFields H;
  H.Generation = Before ? Before->generation() + 1 : 1;
  H.PresetInForce = D.PresetInForce;
  What.Generation = H.Generation;
  H.Recent = withChange(Before, std::move(What));
  std::set<std::string> Stored = storedHashes(Before);
  PreparedChange P;
  for (const Group &G : D.Groups)
    BOOST_LEAF_CHECK(
        addBlob(fmt::format("{}/{}", G->Owner.str(), G->Name.str()), encode(G),
                Stored, H.Groups, P.NewBlobs));
  for (const Preset &Each : D.Presets)
    BOOST_LEAF_CHECK(
        addBlob(Each->Name.str(), encode(Each), Stored, H.Presets, P.NewBlobs));
  BOOST_LEAF_AUTO(NewHead, Head::make(std::move(H)));
  P.HeadJson = encode(NewHead);
  BOOST_LEAF_CHECK(checkSize("the head", P.HeadJson));
  BOOST_LEAF_ASSIGN(P.After,
                    Config::make(std::move(NewHead), D.Groups, D.Presets));
  return P;
}

} // namespace shallot
