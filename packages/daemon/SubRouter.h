//===- SubRouter.h - A sub-request's way to its upstream --------*- C++ -*-===//
//
// Directly when a slot of the upstream is held here, else through a peer that
// holds one. A relayed sub-request is never relayed again: two daemons whose
// pictures differ would pass it back and forth until its deadline. A holder
// that says it has no slot after all is not waited for: the next one is asked
// at once, as no upstream has seen anything.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_SUBROUTER_H
#define SHALLOTSHIFT_DAEMON_SUBROUTER_H

#include "daemon/FleetState.h"
#include "daemon/HolderChoice.h"
#include "daemon/SlotScheduler.h"
#include "shallotshift/peer.h"

#include <unordered_map>
#include <vector>

namespace shallot {

/// Counters for metrics.
struct RouteStats {
  std::uint64_t Direct = 0;
  std::uint64_t Relayed = 0;
  std::uint64_t Served = 0;   ///< For peers.
  std::uint64_t Rerouted = 0; ///< To the next holder, at once.
  std::uint64_t NoHolder = 0;
};

class SubRouter {
public:
  using Callback = std::function<void(SubReply)>;
  using CallId = std::uint64_t;

  SubRouter(EventLoop &Loop, FleetState &Fleet, SlotScheduler &Scheduler);

  /// The node does not exist yet when the router is made.
  void connect(PeerNode &P) { Peers = &P; }

  /// Sends \p Request towards its target. \p Done is called exactly once unless
  /// cancelled, and never before this returns.
  CallId send(SubRequest Request, Callback Done);
  void cancel(CallId Id);
  /// Of \p Targets the one that is reached with the least waiting, one whose
  /// slot is held here first; an empty name when none can be reached.
  UpstreamId nearest(const std::vector<UpstreamId> &Targets) const;
  /// A peer relays a sub-request to us, as holder of a slot.
  void serveRelayed(SubRequest Request, const PeerResponder<SubReply> &Answer);
  /// Closes idle connections to an upstream that has gone silent.
  void replaceConnections(const UpstreamId &Id);

  const RouteStats &stats() const { return Stats; }

private:
  struct Call {
    SubRequest Request;
    Callback Done;
    SlotScheduler::TicketId Ticket = 0; ///< 0: relayed.
    PeerNode::CallId Relay = 0;
    DaemonId Via;
    std::vector<DaemonId> Tried;
    Instant Deadline;
  };

  const Holder *holderFor(const Call &C) const;
  void dispatch(CallId Id);
  void relay(CallId Id, const Member &Via);
  void onRelayed(CallId Id, Attempt<SubReply> Answer);
  void end(CallId Id, SubReply Reply);

  EventLoop &Loop;
  FleetState &Fleet;
  SlotScheduler &Scheduler;
  PeerNode *Peers = nullptr;
  HolderChoice Choice;
  std::unordered_map<CallId, Call> Calls;
  CallId LastId = 0;
  RouteStats Stats;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_SUBROUTER_H
