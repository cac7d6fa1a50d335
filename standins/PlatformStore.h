//===- PlatformStore.h - The platform's objects, in memory ------*- C++ -*-===//
//
// Objects with versions and conditional writes. A version is a number of the
// whole store, so that an object which was deleted and written again never has
// a version that it had before.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_PLATFORMSTORE_H
#define SHALLOTSHIFT_STANDINS_PLATFORMSTORE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace shallot::standins {

/// The largest value that the platform holds, in bytes.
inline constexpr std::size_t MaxPlatformObjectBytes = 1000000;

struct PlatformObject {
  std::uint64_t Version = 0;
  std::string Body;
};

/// What a write asks of the object as it is.
struct WriteCondition {
  bool MustBeAbsent = false;
  std::optional<std::uint64_t> MustBeVersion;
};

enum class WriteOutcome : std::uint8_t { Done, Conflict, TooLarge, NotFound };

class PlatformStore {
public:
  /// The object at \p Path, or null.
  const PlatformObject *find(const std::string &Path) const;
  /// Writes; \p Version gets the new version when it is done.
  WriteOutcome put(const std::string &Path, std::string Body,
                   const WriteCondition &If, std::uint64_t &Version);
  WriteOutcome remove(const std::string &Path, const WriteCondition &If);
  std::size_t size() const { return Objects.size(); }

private:
  bool holds(const std::string &Path, const WriteCondition &If) const;

  std::map<std::string, PlatformObject> Objects;
  std::uint64_t LastVersion = 0;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_PLATFORMSTORE_H
