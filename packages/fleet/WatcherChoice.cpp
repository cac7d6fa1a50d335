#include "fleet/WatcherChoice.h"

#include <algorithm>

namespace shallot {

namespace {

std::vector<DaemonId> candidates(const AvailabilityZone &Zone,
                                 const std::vector<Member> &Members,
                                 bool (*Fit)(const Member &)) {
  std::vector<DaemonId> Found;
  for (const Member &M : Members)
    if (M.Zone == Zone && Fit(M))
      Found.push_back(M.Id);
  return Found;
}

bool starting(const Member &M) { return M.State == MemberState::Starting; }

} // namespace

std::vector<DaemonId> watchersOf(const AvailabilityZone &Zone,
                                 const std::vector<Member> &Members) {
  std::vector<DaemonId> Chosen = candidates(Zone, Members, takesNewWork);
  // When a whole zone starts at once, no member takes new work until there is a
  // configuration, so the starting members have to fetch it.
  if (Chosen.empty())
    Chosen = candidates(Zone, Members, starting);
  auto Heavier = [&](const DaemonId &A, const DaemonId &B) {
    std::uint64_t Wa = rendezvousWeight(Zone.str(), A.str());
    std::uint64_t Wb = rendezvousWeight(Zone.str(), B.str());
    return Wa != Wb ? Wa > Wb : A < B;
  };
  auto Count =
      static_cast<std::ptrdiff_t>(std::min(WatchersPerZone, Chosen.size()));
  std::partial_sort(Chosen.begin(), Chosen.begin() + Count, Chosen.end(),
                    Heavier);
  Chosen.resize(static_cast<std::size_t>(Count));
  return Chosen;
}

bool isWatcher(const DaemonId &Self, const AvailabilityZone &Zone,
               const std::vector<Member> &Members) {
  std::vector<DaemonId> Chosen = watchersOf(Zone, Members);
  return Chosen.empty() || std::ranges::find(Chosen, Self) != Chosen.end();
}

} // namespace shallot
