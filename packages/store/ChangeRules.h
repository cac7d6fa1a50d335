//===- ChangeRules.h - What became of a change ------------------*- C++ -*-===//
//
// The decisions of ChangeWriter, without I/O: whether a change landed, and
// whether it may be put on top of what others changed meanwhile.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PLATFORM_CHANGERULES_H
#define SHALLOTSHIFT_PLATFORM_CHANGERULES_H

#include "shallotshift/model.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace shallot {

/// What an operator wants.
struct ChangeRequest {
  /// Id, operator, summary and time; the generation is set when it is written.
  Change What;
  /// The change itself; run again when it is put on top of others' changes.
  std::function<Result<Draft>(Draft)> Edit;
  /// Objects that the change relies on without editing them, as in
  /// changedObjects(): another operator's change of one is a lost race too.
  std::set<std::string> ReliesOn;
};

/// A change that switches to preset \p Name. The switch is decided on what the
/// preset said when the operator looked, so it relies on that too.
ChangeRequest presetSwitch(Change What, const PresetName &Name);

enum class Landed : std::uint8_t {
  Yes,
  No,
  Unknown, ///< So many changes came since that this one was forgotten.
};

/// Whether the change of this id is in \p H, when it would have been written as
/// generation \p Expected.
Landed landed(const Head &H, const ChangeId &Id, std::uint64_t Expected);

/// The error for an operator whose change, begun on \p Base, meets \p Now where
/// others changed something that it touches: LostRace, naming whom it lost to.
/// Nothing when the changes have no object in common.
std::optional<Error> lostRace(const std::set<std::string> &Touched,
                              const Config &Base, const Config &Now);

/// A new change id: the time, so that ids sort and show their age, and a random
/// part, so that two operators' differ.
ChangeId newChangeId(WallTime At, Random &Rng);

} // namespace shallot

#endif // SHALLOTSHIFT_PLATFORM_CHANGERULES_H
