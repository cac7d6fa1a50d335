#include "daemon/FleetState.h"

#include <algorithm>

namespace shallot {

const Member *FleetState::find(const DaemonId &Id) const {
  auto At = std::ranges::lower_bound(View.Members, Id, {}, &Member::Id);
  bool Found = At != View.Members.end() && At->Id == Id;
  return Found ? &*At : nullptr;
}

} // namespace shallot
