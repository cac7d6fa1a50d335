//===- Admission.h - Which caller's request starts now ----------*- C++ -*-===//
//
// At the entry daemon, before any sub-request is sent. Requests start while
// fewer than the adaptive limit are in flight; beyond it they wait in a bounded
// queue of their class or are refused. The best priority goes first, but a
// waiting class always gets a small part of the starts, so that routine work
// is late and not starved.
//
// A request is refused as soon as its turn cannot come within its class's
// QueueWait or before its deadline: on arrival in most cases, and later when
// the limit falls or better requests come. It is never kept only to be refused.
// Whatever is refused here was not run.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_ADMISSION_H
#define SHALLOTSHIFT_LIMITS_ADMISSION_H

#include "limits/AdmissionDecision.h"
#include "limits/ConcurrencyLimit.h"
#include "limits/StartRate.h"
#include "shallotshift/model.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace shallot {

/// The part of all starts that every class with waiting requests gets, however
/// many better ones wait.
inline constexpr double MinClassShare = 0.05;

struct AdmissionRequest {
  TicketId Id = 0;
  CallerClass Class;
  Instant Deadline;
};

/// The classes of requests and what each may wait.
using ClassPolicies = std::map<CallerClass, ClassPolicy>;

/// For metrics, explain and status.
struct AdmissionReport {
  std::size_t InFlight = 0;
  std::size_t Waiting = 0;
  std::size_t Limit = 0;
  Duration StartInterval{0}; ///< Between two starts when all places are taken.
};

class Admission {
public:
  explicit Admission(const Preset &P, ConcurrencyLimitOptions O = {});
  /// With classes of the owner's own; \p TargetQueued is the wait for a slot
  /// that is no sign of overload.
  Admission(const ClassPolicies &Policies, Duration TargetQueued,
            ConcurrencyLimitOptions O = {});

  /// Another preset is in force. Waiting requests of a class that is gone are
  /// refused (UnknownClass) by the next poll().
  void setPreset(const Preset &P);
  void setClasses(const ClassPolicies &Policies, Duration TargetQueued);

  /// Start, Wait, or Refuse with UnknownClass, QueueFull, Overloaded or
  /// WouldMissDeadline.
  AdmissionDecision offer(const AdmissionRequest &R, Instant Now);

  /// A started request has ended.
  void done(TicketId Id, const LoadSample &S, Instant Now);

  /// The caller is gone. A waiting request leaves without an event, a started
  /// one frees its place. False when it is not known.
  bool cancel(TicketId Id);

  /// Starts and refusals that are due; call it after done(), cancel() and
  /// setPreset() and at nextExpiry().
  AdmissionEvents poll(Instant Now);

  /// When poll() is next needed though nothing else happens.
  std::optional<Instant> nextExpiry() const;

  AdmissionReport report() const;

private:
  struct Waiter {
    TicketId Id = 0;
    Instant Expires;         ///< Its turn must have come.
    bool ByDeadline = false; ///< Expires because of its deadline.
  };
  struct ClassQueue {
    CallerClass Class;
    ClassPolicy Policy;
    bool InPreset = true;
    double Credit = 0;                       ///< Towards its floor of starts.
    std::map<std::uint64_t, Waiter> Waiting; ///< By arrival.
    std::set<std::pair<Instant, std::uint64_t>> Expiry;
    internal::StartRate Rate;
    /// From start to end. Each class has its own: at the slots the better ones
    /// go first, so that a routine pull takes many times longer than a desk
    /// check, and with one mean for all every desk check would seem hopeless.
    internal::ClippedMean Latency{Duration{0}};
  };
  using Queues = std::map<CallerClass, ClassQueue>;
  struct Place {
    ClassQueue *In = nullptr;
    std::uint64_t Arrival = 0;
  };

  Waiter waiterFor(const AdmissionRequest &R, const ClassQueue &Q,
                   Instant Now) const;
  Duration startsIn(const ClassQueue &Q, std::size_t AheadInClass) const;
  Duration startInterval() const;
  bool mayStart() const { return InFlight.size() < Limit.limit(); }
  Waiter take(ClassQueue &Q, std::uint64_t Arrival);
  ClassQueue *nextToStart();
  void startWaiting(AdmissionEvents &Out);
  void refuse(ClassQueue &Q, std::uint64_t Arrival, AdmissionEvents &Out);
  void refuseLate(ClassQueue &Q, Instant Now, AdmissionEvents &Out);
  void refuseUnknown(ClassQueue &Q, AdmissionEvents &Out);

  ConcurrencyLimit Limit;
  Queues Classes;
  std::unordered_map<TicketId, Place> WaitingIn;
  std::unordered_map<TicketId, CallerClass> InFlight;
  std::uint64_t Arrivals = 0;
  Instant Latest; ///< The latest time that was told.
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_ADMISSION_H
