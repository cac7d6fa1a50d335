//===- FeedTiming.h - Timing of the watches of store objects ----*- C++ -*-===//
//
// Each call to the store costs money, and each second in which a change is not
// known may cost a caller. These are the waits and delays of the watches of a
// daemon, by kind.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDTIMING_H
#define SHALLOTSHIFT_FRONT_FEEDTIMING_H

#include "shallotshift/store.h"

namespace shallot {

/// How long the store holds a watch call without a change. The age of the data
/// that other daemons rely on (MaxFeedAge) depends on it. A silent connection
/// is detected after this time plus the timeout of the call; the other watches
/// are then renewed too. Each call costs money: the two watches with this wait
/// make 1.3 calls per second in each region.
inline constexpr Duration StoreWatchWait = Millis(1500);

/// Time after StoreWatchWait without an answer after which a watcher tests
/// whether the store still answers it. A healthy store answers in milliseconds;
/// one that is slow is tested once each SuspectInterval.
inline constexpr Duration OverduePatience = Millis(200);
/// The same for one that is behind its peers: changes of replicas are fetched
/// ReplicaBatchDelay apart.
inline constexpr Duration HangingTimeout = Millis(300);

/// Changes within this interval are fetched together. Replicas register
/// individually and update their warm-up time, and each change would otherwise
/// be one call to the store from every region. A leaving replica must receive
/// nothing after 3 s, and each of the three levels of the relay tree may add
/// this delay.
inline constexpr Duration ReplicaBatchDelay = Millis(150);
/// Shorter than for replicas: configuration changes are rare, and a caller may
/// already depend on the new configuration.
inline constexpr Duration ConfigBatchDelay = Millis(30);

/// A daemon that has just started waits this long for a peer before it calls
/// the store. The daemons of a fleet that starts as a whole discover each other
/// within this time, so the store is called once per region instead of once per
/// daemon.
inline constexpr Duration FirstPeersTimeout = Millis(250);
/// Delay from the first message of a peer to the choice of a source, to let
/// replies from the other seeds arrive.
inline constexpr Duration PeerSettleTime = Millis(40);

/// Quarantine records are few and change seldom, and each call costs money, so
/// their watch waits longer. A silent connection is detected by the other
/// watches and through peers that are ahead.
inline constexpr Duration QuarantineWatchWait = Seconds(15);
inline constexpr Duration QuarantineFirstBackoff = Millis(600);
inline constexpr Duration QuarantineMaxBackoff = Seconds(4);

/// Evacuations are few, but one must take effect everywhere within seconds,
/// even if the connection of the watch has gone silent: the call is renewed
/// after this time.
inline constexpr Duration EvacuationWatchWait = Millis(2500);

/// After a restore of the store, an operator may need this long to order an
/// evacuation or its end again.
inline constexpr Duration OperatorRewriteTime = Seconds(10);

inline KindWatchOptions configWatchOptions() {
  KindWatchOptions O;
  O.Wait = StoreWatchWait;
  O.Pause = ConfigBatchDelay;
  return O;
}

inline KindWatchOptions replicaWatchOptions() {
  KindWatchOptions O;
  O.Wait = StoreWatchWait;
  O.Pause = ReplicaBatchDelay;
  return O;
}

inline KindWatchOptions recordWatchOptions() {
  KindWatchOptions O;
  O.Wait = QuarantineWatchWait;
  O.FirstBackoff = QuarantineFirstBackoff;
  O.MostBackoff = QuarantineMaxBackoff;
  // The quarantine table keeps lost records, and writes them again.
  O.Restore.KeepLost = Duration(0);
  return O;
}

inline KindWatchOptions evacuationWatchOptions() {
  KindWatchOptions O;
  O.Wait = EvacuationWatchWait;
  O.Restore = {OperatorRewriteTime, OperatorRewriteTime};
  return O;
}

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDTIMING_H
