//===- SlotQueue.h - Request queue of a slot holder -------------*- C++ -*-===//
//
// A daemon has one queue per upstream of which it holds slots. The queue runs
// at most as many requests as the share has slots and keeps a bounded number
// waiting, ordered by priority and then by earliest deadline. It refuses a
// request as soon as its deadline can no longer be met, not at the deadline.
//
// The owner calls offer(), and done() or cancel() for started requests. After
// each of these, and at nextExpiry(), it calls poll() and acts on the events.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_SLOTQUEUE_H
#define SHALLOTSHIFT_LIMITS_SLOTQUEUE_H

#include "limits/AdmissionDecision.h"
#include "limits/ClippedMean.h"
#include "limits/SlotAllocation.h"

#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace shallot {

/// Maximum number of requests that wait for one upstream at one daemon. With
/// one slot and 6 ms per request, 64 requests are 0.4 s of work; more would
/// miss their deadlines.
inline constexpr std::size_t MaxSlotWaiting = 64;

/// Estimate of the service time before the first reply.
inline constexpr Duration InitialServiceTime = Millis(5);

struct SlotRequest {
  TicketId Id = 0;
  unsigned Priority = 5; ///< 0 is served first.
  Instant Deadline;      ///< Of the caller's request.
};

/// State of the queue, by which this daemon ranks upstreams and holders.
/// Replies to other daemons carry only Waiting (SubReply::HolderQueue).
struct SlotQueueReport {
  unsigned InWork = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0;
  Duration ServiceTime{0};  ///< Typical, as measured here.
  Duration ExpectedWait{0}; ///< Of a request offered now.
};

class SlotQueue {
public:
  SlotQueue() = default;
  explicit SlotQueue(Share S) : Slots(S.Slots) {}

  /// Returns Start, Wait, or Refuse with NoHolder (no slot here any more),
  /// WouldMissDeadline or QueueFull. If the queue is full, a request of better
  /// priority evicts the last one, whose refusal the next poll() returns.
  AdmissionDecision offer(const SlotRequest &R, Instant Now);

  /// Reports that a started request has ended after \p Took at the upstream.
  void done(TicketId Id, Duration Took);

  /// Cancels a request. A waiting one is removed without an event, a started
  /// one frees its slot. Returns false for an unknown id.
  bool cancel(TicketId Id);

  /// Sets the usable share (HandoverGuard). If it shrinks, running requests
  /// continue and still count; without slots the next poll() refuses all
  /// waiting requests.
  void setShare(Share S);

  /// Returns the starts and refusals that are due.
  AdmissionEvents poll(Instant Now);

  /// When poll() must be called even if nothing else happens.
  std::optional<Instant> nextExpiry() const;

  SlotQueueReport report() const;

private:
  struct Key {
    unsigned Priority = 0;
    Instant Deadline;
    std::uint64_t Arrival = 0;
    TicketId Id = 0;

    friend bool operator<(const Key &A, const Key &B) {
      return std::tie(A.Priority, A.Deadline, A.Arrival) <
             std::tie(B.Priority, B.Deadline, B.Arrival);
    }
  };

  Duration expectedWait(std::size_t Ahead) const;
  std::size_t aheadOf(const Key &K) const;
  AdmissionDecision refusal(ResultCode Code) const;
  bool evictLowerPriority(unsigned ForPriority);
  void enqueue(const Key &K);
  void remove(TicketId Id);
  void refuseExpired(Instant Now, AdmissionEvents &Out);
  void refuseAll(AdmissionEvents &Out);

  unsigned Slots = 0;
  internal::ClippedMean ServiceTime{InitialServiceTime};
  std::uint64_t Arrivals = 0;
  std::set<TicketId> InWork;
  std::set<Key> Queue;
  std::set<std::pair<Instant, TicketId>> ByDeadline;
  std::unordered_map<TicketId, Key> Waiting;
  AdmissionEvents Displaced; ///< For the next poll().
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_SLOTQUEUE_H
