//===- GrantedShare.h - Hand-over of shares of a rate limit -----*- C++ -*-===//
//
// A fleet-wide rate limit (second sends in any ten seconds) is divided among
// the daemons by shares that each computes from its view of the fleet. When the
// view changes, the previous owner of a share may have used it up already, so
// the new owner must not use it in the same window.
//
// A daemon may therefore use only the minimum of the shares that it was granted
// over the last window. For any window, consider the moment at which it begins:
// a daemon uses at most its share of that moment during the window, and the
// shares of one moment add up to the whole. Because daemons see a change at
// different times, the look-back span is longer than the window by that time.
// A view that is replaced before all daemons have seen it is not covered; users
// of this class hold back a part of the limit for that case.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_GRANTEDSHARE_H
#define SHALLOTSHIFT_LIMITS_GRANTEDSHARE_H

#include "shallotshift/base.h"

#include <deque>

namespace shallot {

class GrantedShare {
public:
  /// \p Span is the window plus the time in which all daemons see a change
  /// (ViewPropagationTime), \p Initial the share before the first grant.
  GrantedShare(Duration Span, double Initial) : Span(Span), Initial(Initial) {}

  /// Grants the share \p Fraction, from 0 to 1, from \p Now on.
  void grant(double Fraction, Instant Now);
  /// The share that may be used at \p Now.
  double usable(Instant Now) const;

private:
  struct Grant {
    Instant From;
    double Fraction = 0;
  };

  void dropExpired(Instant Now);

  Duration Span;
  double Initial;
  /// In order of time; the first was in force when the span began.
  std::deque<Grant> Grants;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_GRANTEDSHARE_H
