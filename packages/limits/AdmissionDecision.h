//===- AdmissionDecision.h - Start, wait or refuse --------------*- C++ -*-===//
//
// The result of offering a request to a queue of this package. Every entry is
// started, refused or cancelled exactly once; a decision of Wait is followed by
// one of these.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_ADMISSIONDECISION_H
#define SHALLOTSHIFT_LIMITS_ADMISSIONDECISION_H

#include "shallotshift/base.h"

#include <vector>

namespace shallot {

/// Identifies one entry of a queue. Chosen by the owner of the queue and never
/// reused.
using TicketId = std::uint64_t;

enum class AdmissionAction : std::uint8_t { Start, Wait, Refuse };

struct AdmissionDecision {
  AdmissionAction What = AdmissionAction::Start;
  /// For Refuse: a 2xxx code; otherwise Ok.
  ResultCode Code = ResultCode::Ok;
  /// For Refuse: delay after which a retry may succeed; 0: a retry is
  /// pointless.
  Duration RetryAfter{0};

  static AdmissionDecision start() { return {}; }
  static AdmissionDecision wait() {
    return {AdmissionAction::Wait, ResultCode::Ok, Duration{0}};
  }
  static AdmissionDecision refuse(ResultCode Code, Duration RetryAfter) {
    return {AdmissionAction::Refuse, Code, RetryAfter};
  }

  friend bool operator==(const AdmissionDecision &,
                         const AdmissionDecision &) = default;
};

/// The final decision for an entry that waited: Start or Refuse.
struct AdmissionEvent {
  TicketId Id = 0;
  AdmissionDecision Final;

  friend bool operator==(const AdmissionEvent &,
                         const AdmissionEvent &) = default;
};

using AdmissionEvents = std::vector<AdmissionEvent>;

/// Bounds of every RetryAfter other than 0. An earlier retry would hit the same
/// overload, a later one would keep callers away after it has passed.
inline constexpr Duration MinRetryAfter = Millis(100);
inline constexpr Duration MaxRetryAfter = Seconds(10);

/// Clamps \p D to [MinRetryAfter, MaxRetryAfter].
inline Duration clampRetryAfter(Duration D) {
  return D < MinRetryAfter ? MinRetryAfter
                           : (D > MaxRetryAfter ? MaxRetryAfter : D);
}

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_ADMISSIONDECISION_H
