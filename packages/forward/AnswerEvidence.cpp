//===- AnswerEvidence.cpp -------------------------------------------------===//
#include "forward/AnswerEvidence.h"

#include "forward/HalfLife.h"

#include <algorithm>

namespace shallot {

using internal::decayed;

namespace {

/// An answer is late from this multiple of the usual time on. With service
/// times that vary by a third about their median, 2 of 100 answers of a healthy
/// replica are; no two of different daemons follow each other often.
constexpr double LateRatio = 2;
/// A single late answer is told of from this multiple on: by chance, 1 of 1000
/// answers of a healthy replica is.
constexpr double SingleLateRatio = 3;
constexpr double MaxToldSlowness = 20;
/// Late answers further apart are not of the same trouble.
constexpr Duration LateMemory = Millis(3000);
/// A late answer is told of for this long: to a few daemons in each of several
/// reports.
constexpr Duration ToldFor = Seconds(2);
constexpr unsigned MaxLateInARow = 255;

} // namespace

ReplicaKey replicaKey(const UpstreamId &Id, std::uint64_t StartedUnixMs) {
  return hash64(Id.str(), StartedUnixMs);
}

double AnswerEvidence::answers(Instant Now) const {
  return decayed(Answers, Now - CountedAt, EvidenceHalfLifeMs);
}

void AnswerEvidence::count(Instant Now) {
  Answers = answers(Now) + 1;
  CountedAt = Now;
}

void AnswerEvidence::answered(double Ratio, Instant Now) {
  count(Now);
  if (Ratio >= LateRatio)
    return recordLate(Ratio, Now);
  GoodAt = Now;
  LateInARow = 0;
}

void AnswerEvidence::abandoned(double Ratio, Instant Now) {
  if (Ratio >= LateRatio)
    recordLate(Ratio, Now);
}

void AnswerEvidence::recordLate(double Ratio, Instant Now) {
  Ratio = std::min(Ratio, MaxToldSlowness);
  bool First = !late(Now);
  // The mean of the last few: one straggler does not set the figure.
  Slowness = First ? Ratio : (Slowness + Ratio) / 2;
  if (First) {
    FirstLateAt = Now;
    LateInARow = 0;
  }
  LateInARow = std::min(LateInARow + 1, MaxLateInARow);
  LateAt = Now;
}

bool AnswerEvidence::late(Instant Now) const {
  return LateInARow > 0 && Now < LateAt + LateMemory;
}

bool AnswerEvidence::worthTelling(Instant Now) const {
  return late(Now) && Now < LateAt + ToldFor &&
         (LateInARow > 1 || Slowness >= SingleLateRatio);
}

ReplicaObservation AnswerEvidence::observation(Instant Now) const {
  ReplicaObservation O;
  O.Slowness = Slowness;
  O.Late = LateInARow;
  O.Age = Now - LateAt;
  O.FirstAge = Now - FirstLateAt;
  return O;
}

} // namespace shallot
