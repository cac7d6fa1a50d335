#include "store/ChangeRules.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace shallot {
namespace {

/// An error names this many objects; the rest are counted.
constexpr std::size_t MaxNamedObjects = 3;

std::string joined(const std::vector<std::string> &Objects) {
  auto Named =
      static_cast<std::ptrdiff_t>(std::min(Objects.size(), MaxNamedObjects));
  std::string Text = fmt::format(
      "{}", fmt::join(Objects.begin(), Objects.begin() + Named, ", "));
  if (Objects.size() > MaxNamedObjects)
    Text += fmt::format(" and {} more", Objects.size() - MaxNamedObjects);
  return Text;
}

std::string shown(const Change &C) {
  return fmt::format("{} (\"{}\") by {}, generation {}", C.Id.str(), C.Summary,
                     C.Operator, C.Generation);
}

/// The changes that came after \p Base, newest first.
std::string othersSince(const Config &Base, const Config &Now) {
  std::vector<std::string> Lines;
  const std::vector<Change> &Recent = Now.head()->Recent;
  for (auto C = Recent.rbegin(); C != Recent.rend(); ++C)
    if (C->Generation > Base.generation() && Lines.size() < MaxNamedObjects)
      Lines.push_back(shown(*C));
  return fmt::format("{}", fmt::join(Lines, "; "));
}

} // namespace

ChangeRequest presetSwitch(Change What, const PresetName &Name) {
  ChangeRequest Request;
  Request.What = std::move(What);
  Request.Edit = [Name](Draft D) {
    return withPresetInForce(std::move(D), Name);
  };
  Request.ReliesOn = {std::string(InForceObject), "preset/" + Name.str()};
  return Request;
}

Landed landed(const Head &H, const ChangeId &Id, std::uint64_t Expected) {
  if (H.find(Id))
    return Landed::Yes;
  // The head keeps the last MaxRecentChanges: a change of generation Expected
  // is among them until this many have followed it.
  bool Forgotten = H->Generation >= Expected + MaxRecentChanges;
  return Forgotten ? Landed::Unknown : Landed::No;
}

std::optional<Error> lostRace(const std::set<std::string> &Touched,
                              const Config &Base, const Config &Now) {
  std::vector<std::string> Common;
  for (const std::string &Object : changedObjects(draftOf(Base), draftOf(Now)))
    if (Touched.contains(Object))
      Common.push_back(Object);
  if (Common.empty())
    return std::nullopt;
  return Error{
      ResultCode::LostRace,
      fmt::format("not applied: {} changed since you looked (generation {}); "
                  "lost to {}; in force now is preset {}, generation {}",
                  joined(Common), Base.generation(), othersSince(Base, Now),
                  Now.preset()->Name.str(), Now.generation())};
}

ChangeId newChangeId(WallTime At, Random &Rng) {
  constexpr unsigned RandomBits = 40;
  return ChangeId(
      fmt::format("c-{:011x}-{:010x}", static_cast<std::uint64_t>(At),
                  static_cast<std::uint64_t>(Rng()) >> (64 - RandomBits)));
}

} // namespace shallot
