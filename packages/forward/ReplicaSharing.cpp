//===- ReplicaSharing.cpp -------------------------------------------------===//
#include "forward/ReplicaSharing.h"

#include "forward/HalfLife.h"
#include "forward/Replica.h"

#include <algorithm>

namespace shallot {

using internal::decayed;

namespace {

/// A hold has ended when no send was kept away for this long. Longer than the
/// gaps between the requests of a daemon that sends rarely.
constexpr Duration HoldEnd = Seconds(5);
/// With a larger fraction of late answers, replicas are not the likely cause.
constexpr double MaxLateFraction = 0.5;
/// Bounds the table of holds and the changes that wait for takeChanges().
constexpr std::size_t MaxHolds = 1024;

} // namespace

void ReplicaSharing::observed(const std::shared_ptr<Replica> &R, Instant Now) {
  const AnswerEvidence &Own = R->evidence();
  bool IsLate = Own.lateAt() == Now;
  if (!active() || (!IsLate && Own.goodAt() != Now))
    return;
  AnswersSeen = decayed(AnswersSeen, Now - SeenAt, EvidenceHalfLifeMs) + 1;
  LateSeen = decayed(LateSeen, Now - SeenAt, EvidenceHalfLifeMs) + IsLate;
  SeenAt = Now;
  if (IsLate)
    Late.insert_or_assign(R->entry().Id, R);
}

std::vector<ReplicaObservation> ReplicaSharing::observations(Instant Now) {
  std::vector<ReplicaObservation> Out;
  bool Trusted = LateSeen <= AnswersSeen * MaxLateFraction;
  std::erase_if(Late, [&](const auto &Item) {
    std::shared_ptr<Replica> R = Item.second.lock();
    if (!R || !R->evidence().late(Now))
      return true;
    if (!active() || !Trusted || !R->evidence().worthTelling(Now) ||
        R->evidence().answers(Now) >= EnoughOwnAnswers)
      return false;
    ReplicaObservation O = R->evidence().observation(Now);
    O.Key = R->key();
    O.Waiting = R->reportedWaiting();
    Out.push_back(O);
    return false;
  });
  std::ranges::sort(Out, [](const auto &A, const auto &B) {
    return std::tie(B.Slowness, A.Key) < std::tie(A.Slowness, B.Key);
  });
  if (Out.size() > MaxReportedReplicas)
    Out.resize(MaxReportedReplicas);
  return Out;
}

bool ReplicaSharing::receive(const ReplicaObservationReport &R, Instant Now) {
  return active() && Told.receive(R, Now);
}

ToldSlowness ReplicaSharing::told(const Replica &R, Instant Now) const {
  return active() ? Told.told(R.key(), R.evidence(), Now) : ToldSlowness();
}

void ReplicaSharing::kept(const Replica &R, const ToldSlowness &T,
                          Instant Now) {
  ++SendsKept;
  auto At = Holds.find(R.entry().Id);
  if (At == Holds.end()) {
    if (Holds.size() >= MaxHolds || Changes.size() >= MaxHolds)
      return;
    HoldChange C{R.entry().Id, R.entry().Service, true, T, 0, {}};
    Changes.push_back(C);
    At = Holds.emplace(R.entry().Id, Hold{std::move(C), Now, Now}).first;
  }
  ++At->second.Change.Sends;
  At->second.Last = Now;
}

std::vector<HoldChange> ReplicaSharing::takeChanges(Instant Now) {
  Told.expire(Now);
  std::erase_if(Holds, [&](const auto &Item) {
    const Hold &H = Item.second;
    if (Now - H.Last < HoldEnd)
      return false;
    HoldChange Ended = H.Change;
    Ended.Began = false;
    Ended.Lasted = H.Last - H.Began;
    Changes.push_back(std::move(Ended));
    return true;
  });
  return std::exchange(Changes, {});
}

} // namespace shallot
