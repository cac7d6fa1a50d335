//===- ConnectionAllowance.h - Connections beyond one's share ---*- C++ -*-===//
//
// The load that this answers: a daemon's near replicas are slow or dark, and
// the far ones, idle, must take over. Its share of their connections is dealt
// by the count of daemons and not by need: three connections over a trip of
// 40 ms carry sixty sends a second, and what comes beyond that waits.
//
// So a daemon that wants more takes more, one after another, and gives way when
// the replica resets a new connection, which it does above its cap: additive
// increase, multiplicative decrease, as every sender of a shared link does. The
// unused part of everybody's share is found that way without a word between
// daemons. What is not wanted any more is forgotten within seconds.
//
// Weighed: telling each other in the gossip what each daemon uses and lacks. It
// needs hundreds of milliseconds to go round, a share that is handed over must
// rest meanwhile, and a load that moves in such times is what this is for.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_CONNECTIONALLOWANCE_H
#define SHALLOTSHIFT_FORWARD_CONNECTIONALLOWANCE_H

#include "shallotshift/base.h"

namespace shallot {

class ConnectionAllowance {
public:
  /// Connections beyond the share that may be open now.
  std::size_t extra(Instant Now) const;
  /// All that may be open are in use and one more is of use. False while it
  /// must not grow: the last step was just made, or one was refused lately.
  bool grow(Instant Now);
  /// A new connection was reset.
  void refused(Instant Now);

private:
  double value(Instant Now) const;

  double Seen = 0; ///< At SeenAt; it falls by half in HalfLife.
  Instant SeenAt{};
  Instant GrownAt{};
  Instant HeldUntil{};
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_CONNECTIONALLOWANCE_H
