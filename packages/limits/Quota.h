//===- Quota.h - Limit on the requests of an organisation -------*- C++ -*-===//
#ifndef SHALLOTSHIFT_LIMITS_QUOTA_H
#define SHALLOTSHIFT_LIMITS_QUOTA_H

#include "shallotshift/base.h"

namespace shallot {

/// A limit on the requests of one organisation, over all daemons together.
struct Quota {
  double Rate = 0;  ///< Requests per second; 0: no limit.
  double Burst = 0; ///< Requests beyond the rate, after a time without any.

  bool limited() const { return Rate > 0; }
  friend bool operator==(const Quota &, const Quota &) = default;
};

/// How far the fleet may exceed a quota: in any interval of length Window, at
/// most (Rate x Window + Burst) x (1 + Overage) + Slack requests may run.
struct QuotaTolerance {
  Duration Window = Seconds(5);
  double Overage = 0; ///< Fraction.
  double Slack = 0;   ///< Requests.

  /// Requests per window that may run beyond Rate x Window + Burst.
  double excess(const Quota &Q) const {
    double Seconds = toMillisF(Window) / 1000;
    return (Q.Rate * Seconds + Q.Burst) * Overage + Slack;
  }
  friend bool operator==(const QuotaTolerance &,
                         const QuotaTolerance &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_QUOTA_H
