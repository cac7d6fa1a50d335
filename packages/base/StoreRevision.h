//===- StoreRevision.h - Order of a store's changes -------------*- C++ -*-===//
//
// A store numbers its changes. When it is restored from a copy, it loses the
// changes made since and gives out their numbers once more. Each restore begins
// a new epoch, so that the pair orders all changes: whatever was read in an
// earlier epoch is older than everything in a later one, whatever its number.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_STOREREVISION_H
#define SHALLOTSHIFT_BASE_STOREREVISION_H

#include <compare>
#include <cstdint>
#include <string>

namespace shallot {

struct StoreRevision {
  std::uint64_t Epoch = 0;  ///< 0 for a store that does not name its epoch.
  std::uint64_t Number = 0; ///< 0: before the first change of the epoch.

  constexpr StoreRevision() = default;
  constexpr StoreRevision(std::uint64_t Epoch, std::uint64_t Number)
      : Epoch(Epoch), Number(Number) {}

  /// "NUMBER", or "NUMBER in epoch EPOCH" if the epoch is known.
  std::string str() const {
    std::string Text = std::to_string(Number);
    return Epoch == 0 ? Text : Text + " in epoch " + std::to_string(Epoch);
  }

  friend auto operator<=>(const StoreRevision &,
                          const StoreRevision &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_STOREREVISION_H
