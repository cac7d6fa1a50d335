//===- EntryAddresses.cpp -------------------------------------------------===//
#include "front/EntryAddresses.h"

#include "shallotshift/fleet.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>

namespace shallot {

namespace {

using MemberFilter = std::function<bool(const Member &)>;

std::vector<const Member *> membersInState(const FleetView &View,
                                           MemberState State,
                                           const MemberFilter &Matches) {
  std::vector<const Member *> Found;
  for (const Member &M : View.Members)
    if (M.State == State && Matches(M))
      Found.push_back(&M);
  return Found;
}

/// The entry hosts of the members that satisfy \p Matches, selected among those
/// in state \p State.
std::vector<const Member *> entryHosts(const FleetView &View, MemberState State,
                                       const MemberFilter &Matches) {
  std::vector<const Member *> Zone;
  for (const Member &M : View.Members)
    if (Matches(M))
      Zone.push_back(&M);
  return chooseEntryHosts(membersInState(View, State, Matches), Zone,
                          MaxEntryAddresses);
}

/// The entry hosts of all zones, and daemons that may still be serving:
/// suspected or leaving ones.
std::set<const Member *> allEntryHosts(const FleetView &View) {
  std::set<AvailabilityZone> Zones;
  for (const Member &M : View.Members)
    Zones.insert(M.Zone);
  std::set<const Member *> Found;
  for (const AvailabilityZone &Zone : Zones) {
    auto InZone = [&](const Member &M) { return M.Zone == Zone; };
    auto Alive = entryHosts(View, MemberState::Alive, InZone);
    Found.insert(Alive.begin(), Alive.end());
  }
  for (const Member &M : View.Members)
    if (M.State == MemberState::Leaving || M.State == MemberState::Suspect)
      Found.insert(&M);
  return Found;
}

/// Number of daemons that may receive requests, always including this one.
std::size_t servingDaemons(const FleetView &View, const HostId &Self) {
  return std::size_t(std::ranges::count_if(View.Members, [&](const Member &M) {
    return takesNewWork(M) || M.State == MemberState::Leaving ||
           M.Id.Host == Self;
  }));
}

double retryPart(bool IsEntryHost, std::size_t EntryHosts, std::size_t Others) {
  double OfOthers = Others == 0 ? 0 : NonEntryHostRetryShare;
  return IsEntryHost ? (1 - OfOthers) / double(EntryHosts)
                     : OfOthers / double(std::max<std::size_t>(1, Others));
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
                                     const Location &Caller,
                                     const AllowedRegions &Regions) {
  const std::array<MemberFilter, 4> Scopes = {
      [&](const Member &M) { return M.Zone == Caller.Zone; },
      [&](const Member &M) { return M.Reg == Caller.Reg; },
      [&](const Member &M) { return Regions.allows(M.Reg); },
      [](const Member &) { return true; }};
  for (MemberState State : {MemberState::Alive, MemberState::Suspect})
    for (const MemberFilter &Matches : Scopes)
      if (auto Found = entryHosts(View, State, Matches); !Found.empty())
        return addresses(Found);
  return {};
}

FleetShare sharingAmongEntryHosts(const FleetView &View, const HostId &Self,
                                  const Region &Here) {
  std::set<const Member *> EntryHosts = allEntryHosts(View);
  bool SelfIsEntryHost = std::ranges::any_of(
      EntryHosts, [&](const Member *M) { return M->Id.Host == Self; });
  std::size_t Others = servingDaemons(View, Self) - EntryHosts.size();
  FleetShare S;
  S.RetryShare = retryPart(SelfIsEntryHost, EntryHosts.size(), Others);
  S.InRegion = 0;
  for (const Member &M : View.Members)
    if (M.Id.Host == Self)
      EntryHosts.insert(&M);
  for (const Member *M : EntryHosts)
    ++(M->Reg == Here ? S.InRegion : S.OutsideRegion);
  S.InRegion = std::max<std::size_t>(1, S.InRegion);
  return S;
}

WarmupSenders warmupSenders(const FleetView &View, const HostId &Self) {
  WarmupSenders S{Self, {}};
  std::size_t Known = 0;
  std::size_t Up = 0;
  for (const Member &M : View.Members) {
    Known += takesNewWork(M) || M.State == MemberState::Failed;
    Up += M.State == MemberState::Alive;
  }
  if (2 * Up < Known)
    return S;
  for (const Member *M : allEntryHosts(View))
    if (M->State == MemberState::Alive)
      S.EntryHosts.push_back({M->Id.Host, M->Reg});
  return S;
}

double equalRetryPart(const FleetView &View, const HostId &Self) {
  return 1.0 / double(std::max<std::size_t>(1, servingDaemons(View, Self)));
}

} // namespace shallot
