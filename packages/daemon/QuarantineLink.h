//===- QuarantineLink.h - The fleet's records of deadly searches C++ -*-===//
//
// Joins a daemon's QuarantineGate to the rest of the fleet. All records are in
// one object of the platform's store (RecordDocument): the daemons that watch
// the configuration's head watch it too, the others ask one of them. So a
// record is known everywhere within AskPeriod and two calls, also to a daemon
// that starts or returns, and it survives the loss of all hosts.
//
// While the store is away each daemon goes by what it saw itself, grants no
// trial, and writes what it has when the store is back.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_QUARANTINELINK_H
#define SHALLOTSHIFT_DAEMON_QUARANTINELINK_H

#include "daemon/FleetState.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/peer.h"
#include "shallotshift/store.h"

#include <functional>

namespace shallot {

class QuarantineLink {
public:
  /// \p Watches: this daemon is one of those that watch the store.
  QuarantineLink(EventLoop &Loop, const FleetState &Fleet,
                 StoreClient &Platform, QuarantineGate &Gate, Random &Rng,
                 std::function<bool()> Watches);
  ~QuarantineLink();

  void connect(PeerNode &P) { Peers = &P; }
  void start();
  /// What a peer that does not watch the store asks for.
  RecordsAnswer answer(const RecordsQuery &Q) const;

private:
  void follow();
  void watch();
  void askWatcher();
  void again(Duration After);
  void tick();
  void takeNews(const RecordSet &Page);

  EventLoop &Loop;
  const FleetState &Fleet;
  StoreClient &Platform;
  QuarantineGate &Gate;
  Random &Rng;
  std::function<bool()> Watches;
  PeerNode *Peers = nullptr;
  RecordDocument<StoreClient> Records;
  QuarantineSync<RecordDocument<StoreClient>, EventLoop> Sync;
  Backoff WatchBackoff;
  bool Away = false; ///< The store's last answer was a failure.
  TimerHandle Next;
  TimerHandle Ticks;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_QUARANTINELINK_H
