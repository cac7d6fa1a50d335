//===- EntryAddresses.cpp -------------------------------------------------===//
#include "front/EntryAddresses.h"

#include <algorithm>
#include <array>
#include <functional>

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
std::vector<Endpoint> largest(std::vector<const Member *> Hosts) {
  auto Capacity = [](const Member *M) { return M->Capacity; };
  std::ranges::stable_sort(Hosts, std::greater<>(), Capacity);
  double All = 0;
  for (const Member *M : Hosts)
    All += M->Capacity;
  std::vector<Endpoint> Taken;
  double Sum = 0;
  std::uint32_t Last = 0;
  for (const Member *M : Hosts) {
    bool Enough = Sum >= EnoughCapacity * All && M->Capacity < Last;
    if (Enough || Taken.size() >= MaxEntryAddresses)
      break;
    Taken.push_back(M->Http);
    Sum += M->Capacity;
    Last = M->Capacity;
  }
  return Taken;
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
        return largest(std::move(Found));
  return {};
}

} // namespace shallot
