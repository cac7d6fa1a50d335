//===- QuotaLink.h - Quotas of front daemons --------------------*- C++ -*-===//
//
// Runs the QuotaAgent of this daemon over UDP and calls back requests that wait
// for a token. Idle without quotas in the configuration.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_QUOTALINK_H
#define SHALLOTSHIFT_FRONT_QUOTALINK_H

#include "front/FleetLink.h"
#include "shallotshift/forward.h"
#include "shallotshift/http1.h"
#include "shallotshift/peer.h"

#include <unordered_map>

namespace shallot {

class QuotaLink {
public:
  using Callback = std::function<void(const AdmissionDecision &)>;

  QuotaLink(EventLoop &Loop, TimerQueue &Timers, const FrontSettings &Set,
            FleetLink &Fleet);
  ~QuotaLink();
  QuotaLink(const QuotaLink &) = delete;
  QuotaLink &operator=(const QuotaLink &) = delete;

  /// Opens the socket. Until then messages are lost, as they may be on the way.
  /// Fails with AddressInUse.
  Result<void> listen();

  /// Enforces the quotas of \p Callers from now on.
  void install(const Organisations &Callers);
  /// Applies the fleet's current view.
  void fleetChanged();

  /// Start, Wait, or Refuse with QuotaExceeded. A request that waits is called
  /// back with one of the others after \p MaxWait at most; \p Id identifies it.
  AdmissionDecision acquire(const Tenant &Name, TicketId Id, Duration MaxWait,
                            Callback Fn);
  /// Drops a waiting request.
  void cancel(const Tenant &Name, TicketId Id);
  /// Returns the token of a request that was not sent.
  void putBack(const Tenant &Name);

  DatagramStats traffic() const {
    return Socket ? Socket->stats() : DatagramStats();
  }

private:
  Instant now() const;
  void tick();
  void schedule();
  bool mayGrant() const;
  void setMayGrant(bool May);
  void refresh();
  void receive(const QuotaMessage &M);
  void apply(const QuotaOutput &Out);

  EventLoop &Loop;
  TimerQueue &Timers;
  Endpoint Address; ///< All daemons use the same port.
  FleetLink &Fleet;
  QuotaAgent Agent;
  std::unique_ptr<DatagramSocket> Socket;
  std::unordered_map<TicketId, Callback> Waiting;
  TimerQueue::Key Timer = 0;
  Instant TimerAt;
  Instant HeardAt;   ///< A message on quotas.
  Instant CheckedAt; ///< Of mayGrant().
  /// When the view began to show no other daemon; not set while it shows one.
  std::optional<Instant> AloneSince;
  bool Enforces = false;
  bool ViewIsNew = true;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_QUOTALINK_H
