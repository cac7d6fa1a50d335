//===- ReplicaRegistry.h - Which replicas may be used -----------*- C++ -*-===//
//-*-===//
//
// Keeps every registered replica by service and chooses one for each send.
//
// What a registration proves, and for how long:
//
//   registered, ready     used.
//   leaving               gets nothing new.
//   its entry vanished    it leaves without notice, or its entry lapsed
//                         because the store could not be reached. It is used
//                         only while its service has no other, and only for
//                         LapseHold; after an outage of the store until
//                         ReturnGrace after its return, when entries of live
//                         replicas are back.
//   an earlier start      nothing: that incarnation is gone (IncarnationTable).
//   a later start         a new replica: what was seen of the one before is
//                         dropped, and so are the connections to it. Sends that
//                         were open to it may have run.
//
// Replicas of an availability zone that is being evacuated get nothing,
// whatever else is known of them.
//
// So a store that forgot everything does not empty the fleet at once, and a
// replica that is gone gets nothing new long before the time by which it must
// have been left alone.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_REPLICAREGISTRY_H
#define SHALLOTSHIFT_FORWARD_REPLICAREGISTRY_H

#include "forward/IncarnationTable.h"
#include "forward/Replica.h"
#include "forward/Route.h"
#include "forward/WarmupShare.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>

namespace shallot {

using ReplicaPtr = std::shared_ptr<Replica>;

/// Where this daemon runs.
struct Location {
  AvailabilityZone Zone;
  Region Reg;

  friend bool operator==(const Location &, const Location &) = default;
};

/// How many daemons share what replicas take.
struct FleetShare {
  /// Daemons that open connections to replicas: of this daemon's region, itself
  /// too, and of the others.
  std::size_t InRegion = 1;
  std::size_t OutsideRegion = 0;
  /// This daemon's part of the constant in the retry allowance.
  double RetryShare = 1;

  std::size_t connected() const { return InRegion + OutsideRegion; }
  friend bool operator==(const FleetShare &, const FleetShare &) = default;
};

/// Connections that this daemon may hold to a replica that takes
/// \p MaxConnections from everyone.
std::size_t connectionShare(unsigned MaxConnections, Distance Far,
                            const FleetShare &S);

struct ReplicaRegistryOptions {
  /// How long a vanished replica may stand in for a service that has no other:
  /// well within the time that a leaving replica serves on.
  Duration LapseHold = Seconds(2);
  /// Entries of live replicas are back about two seconds after the store is.
  Duration ReturnGrace = Millis(2500);
  /// Zones may be evacuated: until it is known which are, no replica is used.
  bool AwaitEvacuations = false;
  WarmupBound Warmup;

  friend bool operator==(const ReplicaRegistryOptions &,
                         const ReplicaRegistryOptions &) = default;
};

/// What a send is to be chosen for.
struct ReplicaCriteria {
  const ServiceInfo *Service = nullptr;
  Duration Work{};                     ///< What such a request usually takes.
  std::span<const ReplicaPtr> Exclude; ///< Tried before.
  AllowedRegions Regions = AllowedRegions::anywhere();
  /// A connection that the replica may refuse is not worth the risk: whether
  /// the request ran on it would be unknown.
  bool WithinShare = false;
};

class ReplicaRegistry {
public:
  ReplicaRegistry(Location Here, ReplicaRegistryOptions Options)
      : Here(std::move(Here)), Options(Options),
        ZonesKnown(!Options.AwaitEvacuations) {}

  /// Everything that is registered now; what is missing has vanished.
  void replaceAll(std::vector<ReplicaEntry> Entries, Instant Now);
  void put(ReplicaEntry Entry, Instant Now);
  void remove(const UpstreamId &Id, Instant Now);
  /// The store stopped or began to answer us.
  void storeLost();
  void storeRecovered(Instant Now);
  /// Replicas of \p Zones get no new sends until this is called without them.
  void setEvacuated(std::set<AvailabilityZone> Zones, Instant Now);
  /// Whether it is known which zones are evacuated.
  bool zonesKnown() const { return ZonesKnown; }
  bool evacuated(const AvailabilityZone &Zone) const {
    return Evacuated.contains(Zone);
  }
  void setFleetShare(FleetShare S) { Shared = S; }
  const FleetShare &fleetShare() const { return Shared; }
  /// Who sends to cold replicas; before the first call nobody.
  void setWarmupSenders(WarmupSenders S) { Senders = std::move(S); }

  /// The best replica now, or null: none may be used, or each has as many open
  /// sends as this daemon may have connections to it. \p Jitter in [0, 1)
  /// spreads daemons that see the same.
  ReplicaPtr choose(const ReplicaCriteria &C, double Jitter, Instant Now);
  /// How long the quickest replica of \p Service in \p Where besides \p Other
  /// would take; Duration::max() when there is none.
  Duration quickestBesides(const ServiceName &Service,
                           const AllowedRegions &Where, const ReplicaPtr &Other,
                           Duration Work, Instant Now) const;
  /// True when some replica of the service in \p Where may be used, busy or
  /// not.
  bool servable(const ServiceInfo &Service, const AllowedRegions &Where,
                Instant Now) const;
  /// Forgets replicas whose time as a stand-in has passed.
  void expire(Instant Now);
  /// Replicas that should be tried with a connection now.
  std::vector<ReplicaPtr> dueProbes(Instant Now);

  std::size_t size() const { return ById.size(); }

private:
  struct Slot {
    ReplicaPtr Ptr;
    bool Registered = true;
    Instant VanishedAt{};
  };

  std::shared_ptr<RttEstimate> rttTo(const ReplicaEntry &E);
  bool hasRoom(const Replica &R, const ReplicaCriteria &C, Instant Now) const;
  Distance distance(const ReplicaEntry &E) const;
  void place(ReplicaEntry Entry, bool Restarted, Instant Now);
  bool holds(const Slot &S, Instant Now) const;
  bool mayServe(const Slot &S, Instant Now) const;
  bool limitedAsCold(const Replica &R, const ServiceInfo &Info,
                     Instant Now) const;
  bool ownsCold(const Replica &R) const;
  bool warmupAdmits(Replica &R, const ServiceInfo &Info, Instant Now) const;
  Instant holdEnds(const Slot &S) const;
  void vanish(Slot &S, Instant Now);

  Location Here;
  ReplicaRegistryOptions Options;
  FleetShare Shared;
  WarmupSenders Senders;
  std::unordered_map<UpstreamId, Slot> ById;
  std::unordered_map<ServiceName, std::vector<Slot *>> ByService;
  IncarnationTable Incarnations;
  std::map<AvailabilityZone, std::shared_ptr<RttEstimate>> Rtts;
  bool ZonesKnown;
  std::set<AvailabilityZone> Evacuated;
  std::map<AvailabilityZone, Instant> EvacuationEnded;
  bool StoreIsAway = false;
  Instant StoreBackAt{};
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_REPLICAREGISTRY_H
