//===- Admission.h - Admission control by caller class ----------*- C++ -*-===//
//
// Runs at the entry daemon, before any sub-request is sent. Requests start
// while fewer than the adaptive limit are in flight; beyond it they wait in a
// bounded queue of their class or are refused. The class of best priority
// starts first, but every class with waiting requests gets a minimum share of
// the starts, so that low-priority work is delayed and not starved.
//
// A request is refused as soon as it is expected not to start within its
// class's QueueWait or early enough to meet its deadline at the class's typical
// latency: on arrival in most cases, or later when the limit falls or requests
// of better priority arrive. No request is queued if it is already certain to
// be refused. A refused request has not been executed.
//
// Inside a class, the waiting requests are divided between organisations by
// weight and cost (FairQueue.h). Refusals for lack of room fall on the newest
// request of the organisation that is furthest above its share, even if a
// request of another organisation arrives after it. What a caller wastes by
// leaving the queue, and sends beyond the first of each part, are charged to
// its organisation. Their refused callers are told times at which a place is
// kept for them (PromisedPlaces.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_ADMISSION_H
#define SHALLOTSHIFT_LIMITS_ADMISSION_H

#include "limits/AdmissionDecision.h"
#include "limits/ConcurrencyLimit.h"
#include "limits/FairQueue.h"
#include "limits/PromisedPlaces.h"
#include "limits/StartRate.h"
#include "shallotshift/model.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace shallot {

/// The minimum fraction of all starts that every class with waiting requests
/// gets, regardless of waiting requests of better priority.
inline constexpr double MinClassShare = 0.05;

struct AdmissionRequest {
  TicketId Id = 0;
  CallerClass Class;
  Instant Deadline;
  FairClaim Claim;
};

/// The classes of requests with their priorities and queue bounds.
using ClassPolicies = std::map<CallerClass, ClassPolicy>;

/// Current state for metrics, explain and status.
struct AdmissionReport {
  std::size_t InFlight = 0;
  std::size_t Waiting = 0;
  std::size_t Limit = 0;
  Duration StartInterval{0}; ///< Between two starts at the limit.
};

class Admission {
public:
  explicit Admission(const Preset &P, ConcurrencyLimitOptions O = {});
  /// Uses explicit classes instead of a preset's. \p TargetQueued is the mean
  /// wait for a slot up to which there is no overload.
  Admission(const ClassPolicies &Policies, Duration TargetQueued,
            ConcurrencyLimitOptions O = {});

  /// Applies another preset. Waiting requests of a class that it lacks are
  /// refused (UnknownClass) by the next poll().
  void setPreset(const Preset &P);
  void setClasses(const ClassPolicies &Policies, Duration TargetQueued);

  /// Returns Start, Wait, or Refuse with UnknownClass, QueueFull, Overloaded or
  /// WouldMissDeadline. After Wait, poll() may return the refusal of another
  /// request.
  AdmissionDecision offer(const AdmissionRequest &R, Instant Now);

  /// Reports that a started request has ended.
  void done(TicketId Id, const LoadSample &S, Instant Now);

  /// Reports that the caller is gone. A waiting request is removed without an
  /// event, a started one no longer counts as in flight. Returns false for an
  /// unknown id.
  bool cancel(TicketId Id);

  /// Returns the starts and refusals that are due. Must be called after done(),
  /// cancel() and setPreset() and at nextExpiry().
  AdmissionEvents poll(Instant Now);

  /// When poll() must be called even if nothing else happens.
  std::optional<Instant> nextExpiry() const;

  AdmissionReport report() const;
  /// Adds the numbers of waiting requests by organisation.
  void addWaiting(std::map<Tenant, std::size_t> &Counts) const {
    for (const auto &[Class, Q] : Classes)
      Q.Waiting.addWaiting(Counts);
  }

private:
  using Waiter = internal::FairQueue::Waiter;
  using Place = internal::FairQueue::Place;
  struct Expiry {
    Instant At;
    Place Who;

    friend bool operator<(const Expiry &A, const Expiry &B) {
      return std::tie(A.At, A.Who.Arrival) < std::tie(B.At, B.Who.Arrival);
    }
  };
  struct ClassQueue {
    CallerClass Class;
    ClassPolicy Policy;
    bool InPreset = true;
    /// Grows by MinClassShare with each start while requests wait here. From 1
    /// on, the class goes before those of better priority; a start costs 1.
    double Credit = 0;
    internal::FairQueue Waiting;
    internal::PromisedPlaces Promises;
    std::set<Expiry> ByExpiry;
    internal::StartRate Rate;
    /// From start to end, kept per class: SlotQueue serves better priorities
    /// first, so a routine pull takes many times longer than a desk check. With
    /// one mean for all classes every desk check would seem to miss its
    /// deadline.
    internal::ClippedMean Latency{Duration{0}};
  };
  using Queues = std::map<CallerClass, ClassQueue>;
  struct QueuePosition {
    ClassQueue *In = nullptr;
    Place Who;
  };
  struct Started {
    CallerClass Class;
    FairClaim Claim;
  };

  Waiter waiterFor(const AdmissionRequest &R, const ClassQueue &Q,
                   Instant Now) const;
  Duration expectedWait(const ClassQueue &Q, std::size_t AheadInClass) const;
  Duration newcomerWait(const ClassQueue &Q, const FairClaim &C,
                        std::size_t Ahead, Duration Wait) const;
  Duration startInterval() const;
  bool mayStart() const { return InFlight.size() < Limit.limit(); }
  double startsPerSecond(const ClassQueue &Q) const;
  AdmissionDecision refusal(ClassQueue &Q, ResultCode Code, const FairClaim &C,
                            Instant Deadline, Duration ExpectedWait);
  void enqueue(ClassQueue &Q, const AdmissionRequest &R, const Waiter &W);
  /// Removes a request that is refused or was cancelled.
  Waiter removeWaiter(ClassQueue &Q, Place Who);
  void removed(ClassQueue &Q, const Waiter &W, Place Who);
  ClassQueue *nextToStart();
  void startWaiting(AdmissionEvents &Out);
  void refuse(ClassQueue &Q, Place Who, AdmissionEvents &Out);
  void evictLast(ClassQueue &Q);
  void refuseExpired(ClassQueue &Q, Instant Now, AdmissionEvents &Out);
  void refuseUnknown(ClassQueue &Q, AdmissionEvents &Out);

  ConcurrencyLimit Limit;
  Queues Classes;
  std::unordered_map<TicketId, QueuePosition> WaitingPositions;
  std::unordered_map<TicketId, Started> InFlight;
  AdmissionEvents Evicted; ///< For the next poll().
  std::uint64_t Arrivals = 0;
  Instant LastNow; ///< The latest time passed in.
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_ADMISSION_H
