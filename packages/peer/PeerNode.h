//===- PeerNode.h - Calls to and from peers by Cap'n Proto RPC --*- C++ -*-===//
//
// One KJ thread carries all RPC of a daemon, as server and as client. Values
// cross between it and the EventLoop's thread in batches: a queue each way, and
// a wake-up only when the queue was empty, because a daemon relays tens of
// thousands of sub-requests a second (docs/design/peers.md).
//
// A connection is kept for each peer and replaced when it goes silent; its
// calls then fail at once with PeerUnreachable, so that the caller can go
// elsewhere instead of waiting for its own deadline.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_PEERNODE_H
#define SHALLOTSHIFT_PEER_PEERNODE_H

#include "peer/PeerTypes.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace shallot {

class EventLoop;

class PeerNode {
public:
  using CallId = std::uint64_t;

  /// Listens on \p At; \p Loop must outlive this. Fails with AddressInUse.
  static Result<std::unique_ptr<PeerNode>> open(EventLoop &Loop, DaemonId Self,
                                                const Endpoint &At,
                                                PeerHandlers Handlers,
                                                PeerLimits Limits = {});
  /// Ends the thread. No callback or handler is called from then on.
  ~PeerNode();
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;

  // Calls. To.Id and To.Rpc are used; incarnation 0 means whichever runs there.

  CallId search(const Member &To, SubRequest R, Duration Timeout,
                PeerCallback<SubReply> Done);
  CallId fetchConfig(const Member &To, ConfigQuery Q, Duration Timeout,
                     PeerCallback<ConfigParts> Done);
  CallId forward(const Member &To, ForwardAction M, Duration Timeout,
                 PeerCallback<ActionOutcome> Done);
  CallId recordIntent(const Member &To, RecordIntent M, Duration Timeout,
                      PeerCallback<IntentAnswer> Done);
  CallId recordOutcome(const Member &To, RecordOutcome M, Duration Timeout,
                       PeerCallback<shallot::Done> Done);
  CallId fence(const Member &To, FenceKey M, Duration Timeout,
               PeerCallback<FenceAnswer> Done);
  CallId leaving(const Member &To, Duration Timeout,
                 PeerCallback<LeavingUpstreams> Done);
  CallId records(const Member &To, RecordsQuery Q, Duration Timeout,
                 PeerCallback<RecordsAnswer> Done);
  CallId ping(const Member &To, Duration Timeout,
              PeerCallback<shallot::Done> Done);

  /// The callback will not be called; the peer is told.
  void cancel(CallId Id);
  /// Closes the connections to peers that are not in \p View or have Failed or
  /// Left; their calls fail with PeerUnreachable.
  void keepOnly(const FleetView &View);
  /// Calls to peers that have no answer yet.
  std::size_t inFlight() const;
  PeerStats stats() const;

private:
  struct Impl;
  explicit PeerNode(std::unique_ptr<Impl> I);
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_PEER_PEERNODE_H
