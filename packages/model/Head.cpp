#include "model/Head.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot {
namespace {

constexpr std::size_t ContentHashDigits = 32;

bool isContentHash(std::string_view Text) {
  return Text.size() == ContentHashDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

Result<void> checkHashes(const std::map<std::string, std::string> &Table,
                         std::string_view What) {
  for (const auto &[Name, Hash] : Table)
    if (!isContentHash(Hash))
      return fail(ResultCode::ConfigInvalid,
                  fmt::format("head: {} {}: '{}' is not a content hash of {} "
                              "hexadecimal digits",
                              What, Name, Hash.substr(0, ContentHashDigits),
                              ContentHashDigits));
  return {};
}

} // namespace

Result<Head> Head::make(HeadFields F) {
  if (F.Generation == 0)
    return fail(ResultCode::ConfigInvalid,
                "head: generation is 0, it must be at least 1");
  if (!F.Presets.contains(F.PresetInForce.str()))
    return fail(ResultCode::ConfigInvalid,
                fmt::format("head: the preset in force is '{}', which is not "
                            "among its {} presets; write the preset first",
                            F.PresetInForce.str(), F.Presets.size()));
  BOOST_LEAF_CHECK(checkHashes(F.Groups, "group"));
  BOOST_LEAF_CHECK(checkHashes(F.Presets, "preset"));
  if (F.Recent.size() > MaxRecentChanges)
    return fail(ResultCode::ConfigInvalid,
                fmt::format("head: has {} recent changes, allowed are 0 to {}",
                            F.Recent.size(), MaxRecentChanges));
  return Head(std::move(F));
}

const Change *Head::find(const ChangeId &Id) const {
  const std::vector<Change> &All = (*this)->Recent;
  auto It = std::ranges::find(All, Id, &Change::Id);
  return It == All.end() ? nullptr : &*It;
}

} // namespace shallot
