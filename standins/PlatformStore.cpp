#include "standins/PlatformStore.h"

namespace shallot::standins {

const PlatformObject *PlatformStore::find(const std::string &Path) const {
  auto Found = Objects.find(Path);
  return Found == Objects.end() ? nullptr : &Found->second;
}

bool PlatformStore::holds(const std::string &Path,
                          const WriteCondition &If) const {
  const PlatformObject *Now = find(Path);
  if (If.MustBeAbsent && Now)
    return false;
  if (If.MustBeVersion)
    return Now && Now->Version == *If.MustBeVersion;
  return true;
}

WriteOutcome PlatformStore::put(const std::string &Path, std::string Body,
                                const WriteCondition &If,
                                std::uint64_t &Version) {
  if (Body.size() > MaxPlatformObjectBytes)
    return WriteOutcome::TooLarge;
  if (!holds(Path, If))
    return WriteOutcome::Conflict;
  Version = ++LastVersion;
  Objects[Path] = {Version, std::move(Body)};
  return WriteOutcome::Done;
}

WriteOutcome PlatformStore::remove(const std::string &Path,
                                   const WriteCondition &If) {
  if (!find(Path))
    return WriteOutcome::NotFound;
  if (!holds(Path, If))
    return WriteOutcome::Conflict;
  Objects.erase(Path);
  return WriteOutcome::Done;
}

} // namespace shallot::standins
