//===- QuotaOwners.h - Which daemon accounts for an organisation -*- C++
//-*-===//
//
// Each organisation has one owner, which grants the tokens of its quota, and
// one standby, which grants a few while the owner does not answer. Both are
// selected by rendezvous hashing among the largest hosts of the fleet view, so
// daemons with equal views agree, and a change of the view moves only the
// organisations of the hosts that come or go.
//
// Daemons see a change at different times. A new owner is therefore settled
// only after ViewPropagationTime, when every other daemon has stopped to act as
// the owner, or when there is proof that none does (QuotaAgent.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_QUOTAOWNERS_H
#define SHALLOTSHIFT_LIMITS_QUOTAOWNERS_H

#include "limits/GrantedShare.h"
#include "limits/HandoverGuard.h"
#include "shallotshift/base.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace shallot {

/// Enough that a loss moves few organisations; the cost of finding an owner and
/// the number of daemons that each daemon talks to stay bounded in any fleet.
inline constexpr std::size_t MaxQuotaHosts = 32;

/// Daemons of which one must support an owner: the loss of one ends no account.
inline constexpr std::size_t WitnessesOfOwner = 2;

/// Whether \p M runs, as far as its view tells.
inline bool isUp(const Member &M) {
  return M.State != MemberState::Failed && M.State != MemberState::Left;
}

class QuotaOwners {
public:
  explicit QuotaOwners(HostId Self) : Self(std::move(Self)) {}

  /// The zones of the deployment; a view may lack the members of some.
  void setZones(std::set<AvailabilityZone> All) { Zones = std::move(All); }
  bool knowsZones() const { return !Zones.empty(); }
  /// Applies the view in force from \p Now on. Returns true if the hosts that
  /// may be owners have changed.
  bool update(const FleetView &View, Instant Now);

  /// Null if no daemon takes work.
  const Member *owner(const Tenant &Name) const;
  bool isOwner(const Tenant &Name, const HostId &Host) const;
  /// Null if there is no second host.
  const Member *standby(const Tenant &Name) const;
  /// The daemons that rank next to \p Of, best first, of those that all views
  /// of the last ViewPropagationTime have in common; of the view in force if
  /// there are none. At most WitnessesOfOwner.
  std::vector<const Member *> witnesses(const Tenant &Name, const HostId &Of,
                                        Instant Now) const;
  /// Whether \p A is the owner if only \p A and \p B can be.
  static bool outranks(const Tenant &Name, const HostId &A, const HostId &B);
  /// Since when this daemon has been the owner without interruption; nothing if
  /// it is not the owner.
  std::optional<Instant> ownedSince(const Tenant &Name) const;
  /// The fraction of the fleet's zones with a live daemon, at its lowest in the
  /// last ViewPropagationTime. The sides of a partition each see a part of the
  /// zones, and these parts add up to one; when a partition ends, one side may
  /// not yet know of it.
  double zonesInReach(Instant Now) const { return ZonesInReach.usable(Now); }
  /// The same fraction in the view in force.
  double zonesInView() const { return ZonesInView; }
  /// The daemons other than this one that were the owner in a view of the last
  /// \p Span.
  std::vector<DaemonId> formerOwners(const Tenant &Name, Duration Span,
                                     Instant Now) const;

private:
  using Hosts = std::vector<Member>;
  struct Period {
    Instant From;
    Hosts Candidates; ///< By id.
  };

  static Hosts candidates(const FleetView &View);
  static const Member *best(const Hosts &From, const Tenant &Name,
                            const Member *Except = nullptr);
  double liveZones(const FleetView &View) const;
  bool isOwner(const Hosts &From, const Tenant &Name) const;

  HostId Self;
  std::set<AvailabilityZone> Zones;
  double ZonesInView = 0;
  std::deque<Period> Periods; ///< The last is in force.
  /// Since when each candidate has been one without interruption.
  std::map<HostId, Instant> CandidateSince;
  GrantedShare ZonesInReach{ViewPropagationTime, 0};
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_QUOTAOWNERS_H
