//===- WarmupShare.h - Which daemon sends to a cold replica -----*- C++ -*-===//
//
// A replica that has just started tolerates a few requests per second from all
// daemons together and crashes at a rate well above that. Without a limit this
// happens when the replicas of a whole availability zone return at once and
// every daemon finds them idle.
//
// Each cold replica has one owner, selected by rendezvous hashing among the
// entry hosts (the daemons that callers are sent to) in its region, or in all
// regions if there is none in its own. The owner sends at a bounded rate; all
// others send nothing. There is no coordinator, so daemons with different views
// of the membership may each consider themselves the owner. The rate is chosen
// so that MaxOwners of them together stay within the bound. A daemon that does
// not know the other senders owns nothing.
//
// Equal shares for all daemons would need no owner, but would not bound the
// total: with more daemons than the bound, one request from each is too much.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_WARMUPSHARE_H
#define SHALLOTSHIFT_FORWARD_WARMUPSHARE_H

#include "shallotshift/base.h"

#include <vector>

namespace shallot {

/// Bound of the whole fleet in any one second: the tolerated rate x Overage +
/// Slack.
struct WarmupBound {
  double Overage = 1;
  double Slack = 0;

  friend bool operator==(const WarmupBound &, const WarmupBound &) = default;
};

/// An entry host: a daemon that callers are sent to.
struct WarmupSender {
  HostId Host;
  Region Reg;

  friend bool operator==(const WarmupSender &, const WarmupSender &) = default;
};

struct WarmupSenders {
  HostId Self;
  std::vector<WarmupSender> EntryHosts; ///< Empty if the senders are not known.

  friend bool operator==(const WarmupSenders &,
                         const WarmupSenders &) = default;
};

/// How many daemons may consider themselves the owner of one replica at a time:
/// the owners before and after a membership change, and one that was
/// partitioned.
inline constexpr unsigned MaxOwners = 3;

/// Whether S.Self owns the cold replica \p Id in \p Reg.
bool ownsWarmup(const WarmupSenders &S, const UpstreamId &Id,
                const Region &Reg);

/// Requests per second that the owner may send to a replica that tolerates
/// \p Tolerated per second; 0 if the bound has no room for MaxOwners.
double warmupRate(double Tolerated, const WarmupBound &Bound);

/// How long after the end of the warm-up a daemon starts to use the replica
/// without limit. The delays of daemons are spread over WarmupReturnSpread,
/// since all of them would otherwise send to the idle replica at once.
Duration warmupReturnDelay(const HostId &Self, const UpstreamId &Id);
inline constexpr Duration WarmupReturnSpread = Millis(800);

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_WARMUPSHARE_H
