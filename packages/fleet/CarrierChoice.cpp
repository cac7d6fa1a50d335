//===- CarrierChoice.cpp --------------------------------------------------===//
#include "fleet/CarrierChoice.h"

#include <algorithm>
#include <functional>

namespace shallot {

namespace {

using Hosts = std::vector<const Member *>;

double capacity(const Member *M) { return M->Capacity; }

bool isGone(const Member *M) {
  return M->State == MemberState::Failed || M->State == MemberState::Left;
}

/// Hosts at the front of \p Sorted that hold PriorPart of the capacity.
std::size_t priorCarriers(const Hosts &Sorted) {
  double All = 0;
  for (const Member *M : Sorted)
    All += capacity(M);
  std::size_t Count = 0;
  for (double Sum = 0; Count < Sorted.size() && Sum < PriorPart * All; ++Count)
    Sum += capacity(Sorted[Count]);
  return Count;
}

/// What the zone's callers take, in thousandths of a core. A host that would
/// carry and has not said what it takes counts as busy as it should be.
double zoneLoad(const Hosts &Sorted, const Hosts &Zone) {
  double Here = 0;
  double Lost = 0;
  for (const Member *M : Zone)
    (isGone(M) ? Lost : Here) += M->Load;
  std::size_t Prior = priorCarriers(Sorted);
  for (std::size_t I = 0; I < Prior; ++I)
    if (Sorted[I]->Load == 0)
      Here += TargetUse * capacity(Sorted[I]);
  // The callers of hosts that are lost move to those that are left, which say
  // so within seconds; to add both would count these callers twice.
  return std::max(Here, Lost);
}

/// What the first \p Count of \p Sorted hold when each gets the same share.
double holds(const Hosts &Sorted, std::size_t Count) {
  return static_cast<double>(Count) * capacity(Sorted[Count - 1]);
}

/// The host after the first \p Count is smaller than the last of them.
bool smallerFollow(const Hosts &Sorted, std::size_t Count) {
  return Count < Sorted.size() &&
         Sorted[Count]->Capacity < Sorted[Count - 1]->Capacity;
}

/// The fewest of \p Sorted that hold \p Load at TargetUse, or at MostUse if
/// the next ones are smaller; if none do, those that hold the most.
std::size_t fewest(const Hosts &Sorted, double Load) {
  std::size_t Best = LeastCarriers;
  for (std::size_t Count = Best; Count <= Sorted.size(); ++Count) {
    double Use = smallerFollow(Sorted, Count) ? MostUse : TargetUse;
    if (holds(Sorted, Count) * Use >= Load)
      return Count;
    if (holds(Sorted, Count) > holds(Sorted, Best))
      Best = Count;
  }
  return Best;
}

} // namespace

std::vector<const Member *> chooseEntryHosts(Hosts Candidates, const Hosts &Zone,
                                           std::size_t Most) {
  std::ranges::stable_sort(Candidates, std::greater<>(), capacity);
  double Load = zoneLoad(Candidates, Zone);
  if (Candidates.size() > Most)
    Candidates.resize(Most);
  if (Candidates.size() <= LeastCarriers)
    return Candidates;
  std::size_t Count = fewest(Candidates, Load);
  while (Count < std::min(SpareCarriers, Candidates.size()) &&
         Candidates[Count]->Capacity == Candidates[Count - 1]->Capacity)
    ++Count;
  Candidates.resize(Count);
  return Candidates;
}

} // namespace shallot
