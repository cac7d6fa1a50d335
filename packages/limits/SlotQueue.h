//===- SlotQueue.h - Waiting for a slot at its holder -----------*- C++ -*-===//
//
// One for each upstream of which this daemon holds a slot. It lets at most the
// share's slots work at a time, keeps a bounded number waiting, best priority
// first and earliest deadline first among equals, and refuses a request at the
// moment when its deadline can no longer be met instead of at the deadline.
//
// Its owner calls offer(), and done() or cancel() for what it started; after
// each of them, and at nextExpiry(), it calls poll() and acts on the events.
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

/// Requests that may wait for one upstream at one daemon. At 6 ms a request
/// and one slot, 64 are 0.4 s of work: more would only miss their deadlines.
inline constexpr std::size_t MaxSlotWaiting = 64;

/// The service time assumed before the first reply was seen.
inline constexpr Duration InitialServiceTime = Millis(5);

struct SlotRequest {
  TicketId Id = 0;
  unsigned Priority = 5; ///< 0 is served first.
  Instant Deadline;      ///< Of the caller's request.
};

/// Sent back with each reply, so that senders see the queue directly.
struct SlotQueueReport {
  unsigned InWork = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0;
  Duration ServiceTime{0};  ///< Typical, as seen here.
  Duration ExpectedWait{0}; ///< Of a request that came now.
};

class SlotQueue {
public:
  SlotQueue() = default;
  explicit SlotQueue(Share S) : Slots(S.Slots) {}

  /// Start, Wait, or Refuse with NoHolder (no slot here any more),
  /// WouldMissDeadline or QueueFull. A better request takes the place of the
  /// worst that waits; poll() then tells of that one.
  AdmissionDecision offer(const SlotRequest &R, Instant Now);

  /// A started request has ended, having taken \p Took at the upstream.
  void done(TicketId Id, Duration Took);

  /// The owner wants no more of it. A waiting request leaves the queue without
  /// an event; a started one frees its slot. False when it is not known.
  bool cancel(TicketId Id);

  /// A share from HandoverGuard. Work beyond a smaller share runs to its end
  /// and is counted; with no slot left, all that wait are refused.
  void setShare(Share S);

  /// Starts and refusals that are due.
  AdmissionEvents poll(Instant Now);

  /// When poll() is next needed though nothing else happens.
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

  Duration waitBehind(std::size_t Ahead) const;
  std::size_t aheadOf(const Key &K) const;
  AdmissionDecision refusal(ResultCode Code) const;
  bool makeRoom(unsigned ForPriority);
  void enqueue(const Key &K);
  void remove(TicketId Id);
  void refuseHopeless(Instant Now, AdmissionEvents &Out);
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
