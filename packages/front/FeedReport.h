//===- FeedReport.h - Logs and metrics of feed calls ------------*- C++ -*-===//
//
// Log lines and counters that show, after a late change, whether replies were
// cancelled while they arrived, arrived slowly or never began, how trials of
// the store ended, and what daemons made of a restore of the store. Of the
// calls that end as usual only those with large replies are logged, to keep the
// lines few.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDREPORT_H
#define SHALLOTSHIFT_FRONT_FEEDREPORT_H

#include "front/FeedTree.h"
#include "shallotshift/net.h"
#include "shallotshift/store.h"
#include "shallotshift/telemetry.h"

#include <string>

namespace shallot {

/// Identifies a call.
struct FeedCallName {
  std::string Kind;
  std::string From; ///< Name of a daemon, or "store".
};

/// Records the reply or the failure of a call to a peer.
void reportReply(Metrics &Meter, const FeedCallName &Call, const HttpReply &R);

/// Records that \p Call was replaced by another one when its reply had arrived
/// as far as \p P. Logs it if part of the reply had arrived, or if the call had
/// been without a reply for longer than CatchUpTimeout.
void reportCancelled(Metrics &Meter, const FeedCallName &Call,
                     const TransferProgress &P);

/// Records a restore of the store that the watch \p Watch met.
void reportRestore(Metrics &Meter, const char *Watch, const RestoreReport &R);

/// Records that a list was refused because \p Read was read before it.
void reportOutdatedList(const char *Watch, StoreRevision Listed,
                        StoreRevision Read);

/// A trial of the access to the store (StoreTrials.h).
struct TrialReport {
  bool Answered = false;
  Duration Took{};
  /// Why it failed; empty if the store answered.
  std::string Why;
};
void reportTrial(Metrics &Meter, const TrialReport &R);

/// Records that this daemon announces \p Now. \p T is its place in the fleet.
void reportAccess(Metrics &Meter, StoreAccess Now, const FeedTree &T);

/// Records that this daemon becomes the watcher of its region, or another one
/// does, according to \p T.
void reportHandover(Metrics &Meter, const FeedTree &T);

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDREPORT_H
