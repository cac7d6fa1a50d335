//===- SlotScheduler.h - Work on upstreams with slots held here -*- C++ -*-===//
//
// Every sub-request to an upstream, our own and those that peers relay, passes
// one SlotQueue at the daemon that holds the slot. That is what keeps the
// fleet within an upstream's slots and connections without a coordinator.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_SLOTSCHEDULER_H
#define SHALLOTSHIFT_DAEMON_SLOTSCHEDULER_H

#include "daemon/UpstreamClient.h"
#include "shallotshift/limits.h"

#include <functional>
#include <unordered_map>

namespace shallot {

class SlotScheduler {
public:
  using Callback = std::function<void(SubReply)>;
  using TicketId = std::uint64_t;

  SlotScheduler(EventLoop &Loop, HttpClient &Http, UpstreamClient &Upstreams);

  /// Queues \p Request for a slot of its target, which listens at \p To.
  /// \p Done is called exactly once unless the ticket is cancelled first, never
  /// before this returns. Refusals have a 2xxx code and were not sent.
  TicketId serve(SubRequest Request, const Endpoint &To, Callback Done);
  /// The reply is no longer wanted; \p Done will not be called. The slot stays
  /// taken until the upstream has stopped.
  void cancel(TicketId Id);

  /// A new allocation of slots. A gained slot rests for the guard time of \p P.
  void update(const SlotAllocation &Allocation, const Preset &P);
  /// What may be used of \p Id now.
  Share usable(const UpstreamId &Id) const { return Guard.usable(Id); }
  /// The queue for slots of \p Id; empty when none is held.
  SlotQueueReport report(const UpstreamId &Id) const;
  /// Tickets that are waiting or at work.
  std::size_t inFlight() const { return Tickets.size(); }
  /// Closes idle connections to an upstream that has gone silent.
  void replaceConnections(const Endpoint &To) { Http.forget(To); }

private:
  struct Ticket {
    SubRequest Request;
    Endpoint To;
    Callback Done; ///< Empty once cancelled.
    Instant OfferedAt;
    Instant StartedAt;
    UpstreamClient::CallId Call = 0; ///< 0: waits.
  };
  struct Row {
    SlotQueue Queue;
    Endpoint To;
    TimerHandle Expiry;
  };

  void start(TicketId Id);
  void ended(TicketId Id, SubReply Reply);
  void refuse(TicketId Id, const AdmissionDecision &V);
  void apply(const std::vector<ShareChange> &Changes);
  void startWaiting(const UpstreamId &Id);
  void scheduleGuard();

  EventLoop &Loop;
  HttpClient &Http;
  UpstreamClient &Upstreams;
  HandoverGuard Guard{ViewPropagationTime};
  TimerHandle GuardTimer;
  std::unordered_map<UpstreamId, Row> Rows;
  std::unordered_map<TicketId, Ticket> Tickets;
  TicketId LastId = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_SLOTSCHEDULER_H
