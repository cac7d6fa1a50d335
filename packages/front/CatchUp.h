//===- CatchUp.h - When to switch to a peer that is ahead -------*- C++ -*-===//
//
// Membership messages carry the store revisions that their sender has read. A
// daemon that learns of a newer revision usually receives it from its own
// source a moment later. If it does not, that source is stale, and the daemon
// switches to a peer that has the revision. This class decides when to switch.
//
// Switching too early is harmful. A configuration with thousands of routes
// takes a host with a slow link half a second or more to receive, and its
// revision is known long before. Switching then discards the data that has
// arrived, and the next transfer takes just as long. So the timeout starts when
// the daemon first learns that it is behind, and restarts whenever part of a
// reply arrives.
//
//   CatchUp C;
//   if (C.shouldSwitch(PeerIsAhead, DataArrived, Now))
//     requestFromPeer();
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_CATCHUP_H
#define SHALLOTSHIFT_FRONT_CATCHUP_H

#include "shallotshift/base.h"

#include <optional>

namespace shallot {

/// How long a daemon that is behind waits for its own source. In normal
/// operation a change reaches all daemons within milliseconds; a reply that has
/// not begun to arrive by then is not on its way.
inline constexpr Duration CatchUpTimeout = Millis(700);

class CatchUp {
public:
  explicit CatchUp(Duration Timeout = CatchUpTimeout) : Timeout(Timeout) {}

  /// Call a few times per second. \p Behind: a peer has read more.
  /// \p Progressing: since the last call this daemon has read a revision or
  /// received part of a reply. Returns true when the daemon should switch now.
  bool shouldSwitch(bool Behind, bool Progressing, Instant Now);

private:
  Duration Timeout;
  std::optional<Instant> WaitingSince;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_CATCHUP_H
