//===- EntryAddresses.cpp -------------------------------------------------===//
#include "front/EntryAddresses.h"

#include <algorithm>
#include <array>
#include <functional>

namespace shallot {

namespace {

using Fits = std::function<bool(const Member &)>;

std::vector<Endpoint> those(const FleetView &View, MemberState State,
                            const Fits &Near) {
  std::vector<Endpoint> Found;
  for (const Member &M : View.Members)
    if (M.State == State && Near(M) && Found.size() < MaxEntryAddresses)
      Found.push_back(M.Http);
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
        return Found;
  return {};
}

} // namespace shallot
