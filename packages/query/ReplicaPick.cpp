// Selection of an upstream: candidates, their expected times, and the better of
// two.
#include "query/Replica.h"
#include "query/ReplicaTable.h"

#include <algorithm>

namespace shallot {

std::string_view nameOf(PickReason R) {
  switch (R) {
  case PickReason::Only:
    return "only";
  case PickReason::LessLoaded:
    return "less_loaded";
  case PickReason::Near:
    return "near";
  case PickReason::NearIsWorse:
    return "near_is_worse";
  case PickReason::Tie:
    return "tie";
  case PickReason::Drawn:
    return "drawn";
  }
  return "";
}

void ReplicaTable::collect(const Service &Svc,
                           const PickConstraints &Constraints, Instant Now) {
  Scratch.clear();
  for (const Upstream &U : Svc->Upstreams) {
    const Replica *R = find(U->Id);
    if (U->Leaving || (R && R->isLeaving(Now)))
      continue;
    if (std::ranges::find(Constraints.Exclude, U->Id) !=
        Constraints.Exclude.end())
      continue;
    if (Constraints.Pin && R && R->holds(*Constraints.Pin, Now) == false)
      continue;
    Scratch.push_back({&U, R, Duration{0}, U->Zone == Constraints.Near});
  }
}

/// Removes ejected upstreams, those with the latest end of ejection first. At
/// most \p MaxPercent of the service's upstreams are removed, and never the
/// last one: if all look bad, the fault is probably in this daemon or the
/// network, and removing all would turn slow answers into none.
void ReplicaTable::dropEjected(const Service &Svc, unsigned MaxPercent,
                               Instant Now) {
  std::size_t MayDrop = Svc->Upstreams.size() * MaxPercent / 100;
  std::ranges::stable_sort(Scratch, std::greater<>(), [&](const Candidate &C) {
    return C.ejected(Now) ? C.Seen->EjectedUntil : Instant();
  });
  std::size_t Ejected = static_cast<std::size_t>(std::ranges::count_if(
      Scratch, [&](const Candidate &C) { return C.ejected(Now); }));
  if (Scratch.empty())
    return;
  std::size_t Drop = std::min({Ejected, MayDrop, Scratch.size() - 1});
  Scratch.erase(Scratch.begin(),
                Scratch.begin() + static_cast<std::ptrdiff_t>(Drop));
}

/// Keeps each recovering upstream with the probability of its weight. If none
/// is left, the one with the highest weight is kept as a last resort, unless it
/// keeps refusing; the request is then refused by this daemon.
void ReplicaTable::dropRecovering(Instant Now) {
  auto WeightOf = [&](const Candidate &C) {
    return C.Seen ? C.Seen->Shed.weight(Now) * C.Seen->Warmup.weight(Now) : 1.0;
  };
  auto Recovers = [&](const Candidate &C) {
    double W = WeightOf(C);
    return W < 1 && uniform01(Rng) >= W;
  };
  if (Scratch.empty())
    return;
  Candidate Best = *std::ranges::max_element(Scratch, {}, WeightOf);
  std::erase_if(Scratch, Recovers);
  bool Refuses = Best.Seen && Best.Seen->Shed.weight(Now) < LastResortWeight;
  if (Scratch.empty() && !Refuses)
    Scratch.push_back(Best);
}

/// Sets the expected time of each candidate: the requests outstanding there and
/// this one, each at the recent latency. If the upstream has left requests
/// unanswered for longer than its latency, that time is used instead, so that a
/// frozen upstream is avoided within milliseconds, before it is ejected.
void ReplicaTable::estimate(Instant Now) {
  Duration Best{0};
  for (const Candidate &C : Scratch)
    if (C.hasLatency() && (Best == Duration{0} || C.Seen->Latency < Best))
      Best = C.Seen->Latency;
  Duration Default = Best > Duration{0} ? Best : DefaultLatency;
  for (Candidate &C : Scratch) {
    Duration Each = C.hasLatency() ? C.Seen->latencyAt(Now, Best) : Default;
    if (C.Seen)
      Each = std::max(Each, C.Seen->unansweredFor(Now));
    C.Expected = Each * (C.Seen ? C.Seen->Outstanding + 1 : 1);
  }
}

/// Returns the better of two candidates selected at random from \p Count
/// candidates starting at \p First.
const ReplicaTable::Candidate &ReplicaTable::betterOfTwo(std::size_t First,
                                                         std::size_t Count,
                                                         Pick &Evidence) {
  const Candidate &A = Scratch[First + below(Rng, Count)];
  if (Count == 1)
    return A;
  std::size_t Skip = static_cast<std::size_t>(&A - &Scratch[First]);
  std::size_t Other = below(Rng, Count - 1);
  const Candidate &B = Scratch[First + Other + (Other >= Skip ? 1 : 0)];
  auto Difference = A.Expected > B.Expected ? A.Expected - B.Expected
                                            : B.Expected - A.Expected;
  bool Tie = static_cast<double>(Difference.count()) <=
             TieShare * static_cast<double>(A.Expected.count());
  bool TakeB =
      Tie ? B.reportedLoad() < A.reportedLoad() : B.Expected < A.Expected;
  const Candidate &Rejected = TakeB ? A : B;
  Evidence.Why = Tie ? PickReason::Tie : PickReason::LessLoaded;
  Evidence.Alternative = (*Rejected.Target)->Id;
  Evidence.AlternativeExpected = Rejected.Expected;
  return TakeB ? B : A;
}

/// Chooses between this daemon's zone, the first \p NearCount candidates, and
/// the other zones.
const ReplicaTable::Candidate &ReplicaTable::chooseByZone(std::size_t NearCount,
                                                          Pick &Evidence) {
  const Candidate &Near = betterOfTwo(0, NearCount, Evidence);
  if (NearCount == Scratch.size())
    return Near;
  const Candidate &Far =
      betterOfTwo(NearCount, Scratch.size() - NearCount, Evidence);
  bool NearIsWorse = static_cast<double>(Near.Expected.count()) >
                     ZoneTolerance * static_cast<double>(Far.Expected.count());
  const Candidate &Rejected = NearIsWorse ? Near : Far;
  Evidence.Why = NearIsWorse ? PickReason::NearIsWorse : PickReason::Near;
  Evidence.Alternative = (*Rejected.Target)->Id;
  Evidence.AlternativeExpected = Rejected.Expected;
  return NearIsWorse ? Far : Near;
}

Pick ReplicaTable::choose(const PickConstraints &Constraints) {
  Pick P;
  std::size_t NearCount = 0;
  if (Constraints.Rules.ByZone) {
    auto Far =
        std::stable_partition(Scratch.begin(), Scratch.end(),
                              [](const Candidate &C) { return C.IsNear; });
    NearCount = static_cast<std::size_t>(Far - Scratch.begin());
  }
  const Candidate *C = nullptr;
  if (Scratch.size() == 1) {
    C = &Scratch.front();
  } else if (!Constraints.Rules.ByLoad) {
    C = &Scratch[below(Rng, NearCount > 0 ? NearCount : Scratch.size())];
    P.Why = PickReason::Drawn;
  } else {
    C = NearCount > 0 ? &chooseByZone(NearCount, P)
                      : &betterOfTwo(0, Scratch.size(), P);
  }
  P.Target = C->Target;
  P.Expected = C->Expected;
  return P;
}

std::optional<Pick> ReplicaTable::pick(const Service &Svc,
                                       const PickConstraints &Constraints,
                                       Instant Now) {
  collect(Svc, Constraints, Now);
  if (Constraints.Rules.Eject) {
    dropEjected(Svc, Constraints.EjectMaxPercent, Now);
    dropRecovering(Now);
  }
  if (Scratch.empty())
    return std::nullopt;
  estimate(Now);
  return choose(Constraints);
}

} // namespace shallot
