//===- CatchUp.h - When to switch to a peer that is ahead -------*- C++ -*-===//
//
// Membership messages carry the store revisions that their sender has read. A
// daemon that learns of a newer revision usually receives it from its own
// source a moment later. If it does not, that source is stale, and the daemon
// switches to a peer that has the revision. This class decides when.
//
// The load that it answers: a configuration of thousands of routes takes a host
// with a small link half a second and more to receive, and its revision is
// known long before. Switching then discards what has arrived, and the next
// answer takes as long. So the timeout starts when the daemon first learns that
// it is behind, and starts again whenever a part of an answer arrives.
//
//   CatchUp C;
//   if (C.due(PeerHasMore, SomethingCame, Now))
//     askThatPeer();
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_CATCHUP_H
#define SHALLOTSHIFT_FRONT_CATCHUP_H

#include "shallotshift/base.h"

#include <optional>

namespace shallot {

/// How long a daemon that is behind waits for its own source. A change reaches
/// all daemons within milliseconds while all is well; an answer that has not
/// begun to arrive by then is not on its way.
inline constexpr Duration CatchUpTimeout = Millis(700);

class CatchUp {
public:
  /// To be called a few times a second. \p Behind: a peer has read more.
  /// \p Progressing: since the last call this daemon has read something, or a part
  /// of an answer has come. True when another source is to be asked now.
  bool shouldSwitch(bool Behind, bool Progressing, Instant Now);

private:
  std::optional<Instant> WaitingSince;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_CATCHUP_H
