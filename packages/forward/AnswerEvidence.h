//===- AnswerEvidence.h - Late answers of a replica -------------*- C++ -*-===//
//
// Counts the recent answers of one replica to this daemon and remembers its
// last late ones. Used to tell other daemons of a slow replica, and to decide
// whether this daemon knows enough itself (SharedObservations).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_ANSWEREVIDENCE_H
#define SHALLOTSHIFT_FORWARD_ANSWEREVIDENCE_H

#include "forward/ReplicaObservation.h"

namespace shallot {

/// Half-life of the number of recent answers: that of a replica's own slowness.
inline constexpr double EvidenceHalfLifeMs = 1500;

class AnswerEvidence {
public:
  /// An answer took \p Ratio times as long as usual.
  void answered(double Ratio, Instant Now);
  /// This daemon stopped waiting when a send had taken \p Ratio times as long
  /// as usual. Says nothing unless that is late.
  void abandoned(double Ratio, Instant Now);

  /// Number of recent answers; one that is a half-life old counts half.
  double answers(Instant Now) const;
  /// The last answer was late, and recent.
  bool late(Instant Now) const;
  /// It is late, and other daemons should know.
  bool worthTelling(Instant Now) const;
  /// Instant::min() if there was none.
  Instant lateAt() const { return LateAt; }
  Instant goodAt() const { return GoodAt; }
  /// What to tell of it; call it only while late(). The key and the queue are
  /// the caller's to set.
  ReplicaObservation observation(Instant Now) const;

private:
  void recordLate(double Ratio, Instant Now);
  void count(Instant Now);

  double Answers = 0; ///< At CountedAt.
  Instant CountedAt{};
  Instant GoodAt = Instant::min();
  Instant LateAt = Instant::min();
  Instant FirstLateAt = Instant::min(); ///< Of those in a row.
  unsigned LateInARow = 0;
  double Slowness = 1; ///< Of the late answers in a row.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_ANSWEREVIDENCE_H
