//===- EntryHostChoice.cpp ------------------------------------------------===//
#include "fleet/EntryHostChoice.h"

#include <algorithm>
#include <functional>

namespace shallot {

namespace {

using Hosts = std::vector<const Member *>;

double capacity(const Member *M) { return M->Capacity; }

bool isGone(const Member *M) {
  return M->State == MemberState::Failed || M->State == MemberState::Left;
}

/// Number of hosts at the front of \p Sorted that together have
/// InitialCapacityFraction of the capacity.
std::size_t initialHostCount(const Hosts &Sorted) {
  double All = 0;
  for (const Member *M : Sorted)
    All += capacity(M);
  std::size_t Count = 0;
  for (double Sum = 0;
       Count < Sorted.size() && Sum < InitialCapacityFraction * All; ++Count)
    Sum += capacity(Sorted[Count]);
  return Count;
}

/// The load of the zone's callers in millicores. A host of the initial set that
/// has not announced a load counts as used up to TargetUtilization.
double zoneLoad(const Hosts &Sorted, const Hosts &Zone) {
  double LiveLoad = 0;
  double FailedLoad = 0;
  for (const Member *M : Zone)
    (isGone(M) ? FailedLoad : LiveLoad) += M->Load;
  std::size_t Initial = initialHostCount(Sorted);
  for (std::size_t I = 0; I < Initial; ++I)
    if (Sorted[I]->Load == 0)
      LiveLoad += TargetUtilization * capacity(Sorted[I]);
  // The callers of failed hosts move to the remaining ones, which announce that
  // load within seconds. Adding both would count these callers twice.
  return std::max(LiveLoad, FailedLoad);
}

/// Usable capacity of the first \p Count of \p Sorted, with equal shares.
double usableCapacity(const Hosts &Sorted, std::size_t Count) {
  return static_cast<double>(Count) * capacity(Sorted[Count - 1]);
}

/// Returns true if the next host is smaller than the first \p Count.
bool nextIsSmaller(const Hosts &Sorted, std::size_t Count) {
  return Count < Sorted.size() &&
         Sorted[Count]->Capacity < Sorted[Count - 1]->Capacity;
}

/// The smallest number of hosts of \p Sorted that serve \p Load at
/// TargetUtilization, or at MaxUtilization if the next host is smaller. If no
/// number suffices, the one with the largest usable capacity.
std::size_t minHostCount(const Hosts &Sorted, double Load) {
  std::size_t Best = MinEntryHosts;
  for (std::size_t Count = Best; Count <= Sorted.size(); ++Count) {
    double Use =
        nextIsSmaller(Sorted, Count) ? MaxUtilization : TargetUtilization;
    if (usableCapacity(Sorted, Count) * Use >= Load)
      return Count;
    if (usableCapacity(Sorted, Count) > usableCapacity(Sorted, Best))
      Best = Count;
  }
  return Best;
}

} // namespace

std::vector<const Member *>
chooseEntryHosts(Hosts Candidates, const Hosts &Zone, std::size_t MaxHosts) {
  std::ranges::stable_sort(Candidates, std::greater<>(), capacity);
  double Load = zoneLoad(Candidates, Zone);
  if (Candidates.size() > MaxHosts)
    Candidates.resize(MaxHosts);
  if (Candidates.size() <= MinEntryHosts)
    return Candidates;
  std::size_t Count = minHostCount(Candidates, Load);
  while (Count < std::min(EqualEntryHosts, Candidates.size()) &&
         Candidates[Count]->Capacity == Candidates[Count - 1]->Capacity)
    ++Count;
  Candidates.resize(Count);
  return Candidates;
}

} // namespace shallot
