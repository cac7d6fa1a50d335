//===- SingleQueueAdmission.h - Admission without organisations -*- C++ -*-===//
//
// Admission by class with one queue in order of arrival for each class. The
// reference for Admission without organisations, and the figure "before" in
// replays of fairness. It ignores AdmissionRequest::Claim.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_SINGLEQUEUEADMISSION_H
#define SHALLOTSHIFT_TESTS_SINGLEQUEUEADMISSION_H

#include "shallotshift/limits.h"

#include <set>

namespace shallot::fixture {

class SingleQueueAdmission {
public:
  explicit SingleQueueAdmission(const Preset &P,
                                ConcurrencyLimitOptions O = {});
  /// Uses explicit classes instead of a preset's. \p TargetQueued is the mean
  /// wait for a slot up to which there is no overload.
  SingleQueueAdmission(const ClassPolicies &Policies, Duration TargetQueued,
                       ConcurrencyLimitOptions O = {});

  /// Applies another preset. Waiting requests of a class that it lacks are
  /// refused (UnknownClass) by the next poll().
  void setPreset(const Preset &P);
  void setClasses(const ClassPolicies &Policies, Duration TargetQueued);

  /// Returns Start, Wait, or Refuse with UnknownClass, QueueFull, Overloaded or
  /// WouldMissDeadline.
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

private:
  struct Waiter {
    TicketId Id = 0;
    Instant Expires;         ///< Latest time to start.
    bool ByDeadline = false; ///< Expires by its deadline, not by QueueWait.
  };
  struct ClassQueue {
    CallerClass Class;
    ClassPolicy Policy;
    bool InPreset = true;
    /// Grows by MinClassShare with each start while requests wait here. From 1
    /// on, the class goes before those of better priority; a start costs 1.
    double Credit = 0;
    std::map<std::uint64_t, Waiter> Waiting; ///< By arrival.
    std::set<std::pair<Instant, std::uint64_t>> Expiry;
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
    std::uint64_t Arrival = 0;
  };

  Waiter waiterFor(const AdmissionRequest &R, const ClassQueue &Q,
                   Instant Now) const;
  Duration expectedWait(const ClassQueue &Q, std::size_t AheadInClass) const;
  Duration startInterval() const;
  bool mayStart() const { return InFlight.size() < Limit.limit(); }
  Waiter removeWaiter(ClassQueue &Q, std::uint64_t Arrival);
  ClassQueue *nextToStart();
  void startWaiting(AdmissionEvents &Out);
  void refuse(ClassQueue &Q, std::uint64_t Arrival, AdmissionEvents &Out);
  void refuseExpired(ClassQueue &Q, Instant Now, AdmissionEvents &Out);
  void refuseUnknown(ClassQueue &Q, AdmissionEvents &Out);

  ConcurrencyLimit Limit;
  Queues Classes;
  std::unordered_map<TicketId, QueuePosition> WaitingPositions;
  std::unordered_map<TicketId, CallerClass> InFlight;
  std::uint64_t Arrivals = 0;
  Instant LastNow; ///< The latest time passed in.
};

} // namespace shallot::fixture

#endif // SHALLOTSHIFT_TESTS_SINGLEQUEUEADMISSION_H
