//===- Head.h - Root object of a configuration ------------------*- C++ -*-===//
//
// A configuration is a two-level hash tree in the platform's object service:
//
//   config/head          one object, changed only by conditional update
//     groups   "khan-uul/claims-ledger" -> content hash
//     presets  "peak"                   -> content hash
//     the preset in force, the generation, the last changes
//   config/blob/HASH     immutable, written before the head refers to it
//
// A change writes its new blobs first and then replaces the head, so it takes
// effect atomically, however many objects it modifies. The generation increases
// by one with each update of the head; a daemon never installs a lower one.
//
// The head keeps the last changes so that an operator whose reply was lost can
// find out whether the change was stored.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_HEAD_H
#define SHALLOTSHIFT_MODEL_HEAD_H

#include "model/Immutable.h"
#include "shallotshift/base.h"

#include <map>
#include <string>
#include <vector>

namespace shallot {

/// Number of changes kept in the head. A lost reply is looked up within
/// seconds; 64 changes are half an hour at 2,900 changes a day.
inline constexpr std::size_t MaxRecentChanges = 64;

/// Paths of the head object and of the blobs in the platform's object service.
inline constexpr std::string_view HeadPath = "config/head";
inline constexpr std::string_view BlobPrefix = "config/blob/";

/// The platform's limit on the size of an object.
inline constexpr std::size_t MaxObjectBytes = 1000000;

/// An operator's change as recorded in the head.
struct Change {
  ChangeId Id;
  std::uint64_t Generation = 0;
  std::string Operator;
  std::string Summary;
  WallTime At = 0;

  friend bool operator==(const Change &, const Change &) = default;
};

struct HeadFields {
  std::uint64_t Generation = 0;
  PresetName PresetInForce;
  /// "tenant/group" to content hash.
  std::map<std::string, std::string> Groups;
  /// Preset name to content hash.
  std::map<std::string, std::string> Presets;
  std::vector<Change> Recent; ///< Newest last.

  friend bool operator==(const HeadFields &, const HeadFields &) = default;
};

class Head : public Immutable<HeadFields> {
public:
  /// Fails with ConfigInvalid if the generation is 0, the preset in force is
  /// not in Presets, a hash is malformed or there are too many recent changes.
  static Result<Head> make(HeadFields F);

  /// Returns the change of this id, or null.
  const Change *find(const ChangeId &Id) const;

private:
  using Immutable::Immutable;
};

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_HEAD_H
