//===- EntryAddresses.cpp -------------------------------------------------===//
#include "front/EntryAddresses.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>

namespace shallot {

namespace {

using Fits = std::function<bool(const Member &)>;

std::vector<const Member *> those(const FleetView &View, MemberState State,
                                  const Fits &Near) {
  std::vector<const Member *> Found;
  for (const Member &M : View.Members)
    if (M.State == State && Near(M))
      Found.push_back(&M);
  return Found;
}

/// The largest of \p Hosts, as many as hold enough of their capacity.
std::vector<const Member *> largest(std::vector<const Member *> Hosts) {
  auto Capacity = [](const Member *M) { return M->Capacity; };
  std::ranges::stable_sort(Hosts, std::greater<>(), Capacity);
  double All = 0;
  for (const Member *M : Hosts)
    All += M->Capacity;
  std::vector<const Member *> Taken;
  double Sum = 0;
  std::uint32_t Last = 0;
  for (const Member *M : Hosts) {
    bool Enough = Sum >= EnoughCapacity * All && M->Capacity < Last;
    if (Enough || Taken.size() >= MaxEntryAddresses)
      break;
    Taken.push_back(M);
    Sum += M->Capacity;
    Last = M->Capacity;
  }
  return Taken;
}

std::vector<Endpoint> addresses(const std::vector<const Member *> &Hosts) {
  std::vector<Endpoint> Found;
  Found.reserve(Hosts.size());
  for (const Member *M : Hosts)
    Found.push_back(M->Http);
  return Found;
}

} // namespace

std::vector<Endpoint> entryAddresses(const FleetView &View,
                                     const Place &Caller) {
  const std::array<Fits, 3> Rings = {
      [&](const Member &M) { return M.Zone == Caller.Zone; },
      [&](const Member &M) { return M.Reg == Caller.Reg; },
      [](const Member &) { return true; }};
  for (MemberState State : {MemberState::Alive, MemberState::Suspect})
    for (const Fits &Near : Rings)
      if (auto Found = those(View, State, Near); !Found.empty())
        return addresses(largest(std::move(Found)));
  return {};
}

Sharing sharedByCarriers(const FleetView &View, const HostId &Self,
                         const Region &Here) {
  std::set<AvailabilityZone> Zones;
  for (const Member &M : View.Members)
    Zones.insert(M.Zone);
  std::set<const Member *> Carriers;
  for (const AvailabilityZone &Zone : Zones) {
    auto InZone = [&](const Member &M) { return M.Zone == Zone; };
    auto Alive = largest(those(View, MemberState::Alive, InZone));
    Carriers.insert(Alive.begin(), Alive.end());
  }
  // A suspected daemon may well be serving, and one that is leaving still is.
  for (const Member &M : View.Members)
    if (M.State == MemberState::Leaving || M.State == MemberState::Suspect ||
        M.Id.Host == Self)
      Carriers.insert(&M);
  Sharing S;
  S.InRegion = S.Daemons = 0;
  for (const Member &M : View.Members)
    S.Daemons +=
        takesNewWork(M) || M.State == MemberState::Leaving || M.Id.Host == Self;
  for (const Member *M : Carriers)
    ++(M->Reg == Here ? S.InRegion : S.Elsewhere);
  S.InRegion = std::max<std::size_t>(1, S.InRegion);
  S.Daemons = std::max<std::size_t>(1, S.Daemons);
  return S;
}

} // namespace shallot
