//===- FeedReport.h - What calls between daemons leave behind ---*- C++ -*-===//
//
// Log lines and counters by which one can tell, after a change came late,
// whether answers were given up while they arrived, arrived slowly or never
// began. The lines are few: answers that are large, and calls that were given
// up in the midst of their answer.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDREPORT_H
#define SHALLOTSHIFT_FRONT_FEEDREPORT_H

#include "shallotshift/net.h"
#include "shallotshift/telemetry.h"

#include <string>

namespace shallot {

/// Which call it was.
struct FeedCallName {
  std::string Kind;
  std::string From; ///< A daemon, or "store".
};

/// A peer's answer to \p Call came, or failed.
void reportAnswer(Metrics &Meter, const FeedCallName &Call, const HttpReply &R);

/// \p Call was given up for another when its answer had come as far as \p P.
void reportGivenUp(Metrics &Meter, const FeedCallName &Call,
                   const TransferProgress &P);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDREPORT_H
