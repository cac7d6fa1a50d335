//===- Member.h - A daemon as the fleet sees it -----------------*- C++ -*-===//
//
// The one picture of the fleet that limits, routing, entry addresses and
// configuration all decide from. Package fleet produces it; nobody else edits
// it. Two daemons may hold different pictures for a few seconds: everything
// that decides from one must stay safe then.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_MEMBER_H
#define SHALLOTSHIFT_BASE_MEMBER_H

#include "base/Ids.h"
#include "base/StoreAccess.h"

#include <cstdint>
#include <vector>

namespace shallot {

enum class MemberState : std::uint8_t {
  Starting, ///< Up, not yet ready: no callers, no slots.
  Alive,
  Suspect, ///< Did not answer lately; still counted until it is Failed.
  Leaving, ///< Planned stop: still serves, gets no new callers or slots.
  Failed,
  Left, ///< Stopped as planned.
};

/// One daemon: its identity, where it listens and what is thought of it.
struct Member {
  DaemonId Id;
  AvailabilityZone Zone;
  Region Reg;
  Endpoint Http;   ///< Callers and operators.
  Endpoint Gossip; ///< UDP, membership.
  Endpoint Rpc;    ///< Cap'n Proto RPC, relay and configuration.
  MemberState State = MemberState::Starting;
  /// What its host gives it, in thousandths of a core; 0: not said.
  std::uint32_t Capacity = 0;
  /// What serving callers takes of that, in thousandths of a core, at least 1;
  /// 0: it has served none yet.
  std::uint32_t Load = 0;
  StoreAccess Store = StoreAccess::Untried;

  friend auto operator<=>(const Member &, const Member &) = default;
};

/// A picture of the fleet: members sorted by Id, and a number that grows
/// whenever this daemon's picture changes.
struct FleetView {
  std::uint64_t Number = 0;
  std::vector<Member> Members;

  friend bool operator==(const FleetView &, const FleetView &) = default;
};

/// True for a member that may hold slots and get new callers.
inline bool takesNewWork(const Member &M) {
  return M.State == MemberState::Alive || M.State == MemberState::Suspect;
}

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_MEMBER_H
