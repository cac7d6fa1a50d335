//===- GrantedShare.h - A share that changes hands in a window --*- C++ -*-===//
//
// A bound on what all daemons do in any window (second sends in ten seconds) is
// allocated to them by shares that follow from the picture of the fleet. When
// the picture changes, whoever had a share may have used it up already, and
// whoever gains one must not use it in the same window.
//
// So a daemon may use the least of the shares that it was granted over the last
// window. Of any window, take the moment at which it begins: whatever a daemon
// uses in it is at most its share of that moment, and the shares of one moment
// add up to the whole. Daemons see a change at different times, so the span
// that is looked back over is longer by that time. A set that comes and goes
// before all have seen it is not covered; whoever uses this keeps a part of the
// bound back for that.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_GRANTEDSHARE_H
#define SHALLOTSHIFT_LIMITS_GRANTEDSHARE_H

#include "shallotshift/base.h"

#include <deque>

namespace shallot {

class GrantedShare {
public:
  /// \p Span: the window and the time in which all daemons see a change
  /// (ViewPropagationTime). \p First: what counts as granted before the first
  /// grant.
  GrantedShare(Duration Span, double First) : Span(Span), First(First) {}

  /// The picture grants \p Part, from 0 to 1, from now on.
  void grant(double Part, Instant Now);
  /// What may be used now.
  double usable(Instant Now) const;

private:
  struct Grant {
    Instant From;
    double Part = 0;
  };

  void forget(Instant Now);

  Duration Span;
  double First;
  /// In order of time; the first one was in force when the span began.
  std::deque<Grant> Grants;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_GRANTEDSHARE_H
