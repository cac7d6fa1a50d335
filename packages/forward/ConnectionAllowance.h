//===- ConnectionAllowance.h - Connections beyond the share -----*- C++ -*-===//
//
// When a daemon's near replicas are slow or unreachable, idle replicas in other
// regions must take over. The daemon's share of their connections depends on
// the number of daemons and not on demand: three connections with an RTT of 40
// ms carry sixty sends per second, and further ones wait.
//
// A daemon with more demand therefore opens more connections, one at a time,
// and backs off when the replica resets a new connection, which it does above
// its limit: additive increase, multiplicative decrease, as in congestion
// control. This finds the unused part of all shares without messages between
// daemons. Connections that are no longer needed are released within seconds.
//
// Gossip about the connections that each daemon uses and lacks would take
// hundreds of milliseconds to spread, and a share that changes owners must stay
// unused meanwhile. Load shifts faster than that.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_CONNECTIONALLOWANCE_H
#define SHALLOTSHIFT_FORWARD_CONNECTIONALLOWANCE_H

#include "shallotshift/base.h"

namespace shallot {

class ConnectionAllowance {
public:
  /// Number of connections beyond the share that may be open now.
  std::size_t extra(Instant Now) const;
  /// Requests one more connection when all that are allowed are in use. Returns
  /// false if the last increase was just made, or a connection was refused
  /// recently.
  bool grow(Instant Now);
  /// A new connection was reset.
  void refused(Instant Now);

private:
  double value(Instant Now) const;

  /// At LastValueAt; decays with a half-life of HalfLifeMs.
  double LastValue = 0;
  Instant LastValueAt{};
  Instant GrownAt{};
  Instant HeldUntil{};
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_CONNECTIONALLOWANCE_H
