//===- ReplicaRegistry.h - Registered replicas and selection ----*- C++ -*-===//
//
// Holds all registered replicas by service and selects one for each send.
//
// Effect of a registration, or of its absence:
//
//   registered, ready     used.
//   leaving               gets no new sends.
//   entry vanished        the replica left without notice, or its entry lapsed
//                         because the store could not be reached. It is used
//                         only while its service has no usable registered
//                         replica, and only for LapseHold, and not for as
//                         long as a replica serves on that has left since
//                         registrations were read last; if it vanished in
//                         or right after an outage of the store, until
//                         RecoveryGrace after the end of that outage, by when
//                         live replicas have registered again. A later outage
//                         does not prolong this: the entry was missing while
//                         the store answered.
//   earlier start time    ignored: that incarnation has ended
//                         (IncarnationTable).
//   later start time      a new replica. Observations of the previous
//                         incarnation and connections to it are dropped. Sends
//                         that were open to it may have run.
//
// Replicas of an availability zone that is being evacuated get no sends,
// whatever their state.
//
// As a result, a store that lost all entries does not make every replica
// unusable at once, and a replica that has left stops getting sends long before
// the time by which it must have none.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_REPLICAREGISTRY_H
#define SHALLOTSHIFT_FORWARD_REPLICAREGISTRY_H

#include "forward/IncarnationTable.h"
#include "forward/Replica.h"
#include "forward/ReplicaSharing.h"
#include "forward/Route.h"
#include "forward/WarmupShare.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace shallot {

using ReplicaPtr = std::shared_ptr<Replica>;

/// Where a daemon or a caller runs.
struct Location {
  AvailabilityZone Zone;
  Region Reg;

  friend bool operator==(const Location &, const Location &) = default;
};

/// How the connections to replicas and the retry allowance are divided among
/// daemons.
struct FleetShare {
  /// Number of daemons that open connections to replicas: in this daemon's
  /// region, including itself, and in other regions.
  std::size_t InRegion = 1;
  std::size_t OutsideRegion = 0;
  /// This daemon's fraction of the constant in the retry allowance.
  double RetryShare = 1;

  std::size_t connected() const { return InRegion + OutsideRegion; }
  friend bool operator==(const FleetShare &, const FleetShare &) = default;
};

/// Number of connections that this daemon may hold to a replica that accepts
/// \p MaxConnections in all.
std::size_t connectionShare(unsigned MaxConnections, Distance Dist,
                            const FleetShare &S);

struct ReplicaRegistryOptions {
  /// How long a vanished replica may be used for a service that has no other
  /// replica. Well below the time for which a leaving replica still serves.
  Duration LapseHold = Seconds(2);
  /// How long a replica serves on after its entry was removed.
  Duration ServesOn = Seconds(3);
  /// Vanished replicas are held at least until this long after an outage of the
  /// store: entries of live ones are back about two seconds after it.
  Duration RecoveryGrace = Millis(2500);
  /// If set, no replica is used until it is known which zones are evacuated.
  bool AwaitEvacuations = false;
  WarmupBound Warmup;
  /// Daemons tell each other of slow replicas (ReplicaSharing).
  bool ShareObservations = false;

  friend bool operator==(const ReplicaRegistryOptions &,
                         const ReplicaRegistryOptions &) = default;
};

/// The criteria by which a replica is selected for a send.
struct ReplicaCriteria {
  const ServiceInfo *Service = nullptr;
  Duration ServiceTime{}; ///< The usual service time of the request.
  std::span<const ReplicaPtr> Exclude; ///< Replicas that were tried before.
  AllowedRegions Regions = AllowedRegions::anywhere();
  /// Use no connection beyond this daemon's share: the replica may reset it,
  /// and it would be unknown whether the request ran.
  bool WithinShare = false;
};

class ReplicaRegistry {
public:
  ReplicaRegistry(Location Here, ReplicaRegistryOptions Options)
      : Here(std::move(Here)), Options(Options),
        Sharing(Options.ShareObservations),
        ZonesKnown(!Options.AwaitEvacuations) {}

  /// Replaces all registrations; replicas that are not in \p Entries have
  /// vanished.
  void replaceAll(std::vector<ReplicaEntry> Entries, Instant Now) {
    replaceAll(std::move(Entries), Now, Now);
  }
  void put(ReplicaEntry Entry, Instant Now);
  void remove(const UpstreamId &Id, Instant Now) { remove(Id, Now, Now); }
  /// The same where the news is late: replicas may have vanished at any time
  /// from \p Since on.
  void replaceAll(std::vector<ReplicaEntry> Entries, Instant Now,
                  Instant Since);
  void remove(const UpstreamId &Id, Instant Now, Instant Since);
  /// The store became unreachable, or reachable again. \p WasDown: to all, so
  /// that registrations of live replicas lapsed; without it, only the source
  /// through which this daemon reads the store was lost.
  void storeLost();
  void storeRecovered(Instant Now, bool WasDown = true);
  /// Replicas of \p Zones get no new sends until a call without their zone.
  void setEvacuated(std::set<AvailabilityZone> Zones, Instant Now);
  /// Whether the set of evacuated zones is known.
  bool zonesKnown() const { return ZonesKnown; }
  bool evacuated(const AvailabilityZone &Zone) const {
    return Evacuated.contains(Zone);
  }
  void setFleetShare(FleetShare S) {
    Shared = S;
    Sharing.setDaemons(S.InRegion);
  }
  const FleetShare &fleetShare() const { return Shared; }
  /// Sets the daemons that may send to cold replicas. Before the first call,
  /// there are none.
  void setWarmupSenders(WarmupSenders S) { Senders = std::move(S); }

  /// Returns the best replica, or null if none is usable or each has as many
  /// open sends as this daemon may have connections to it. \p Jitter in [0, 1)
  /// spreads the selections of daemons with the same view.
  ReplicaPtr choose(const ReplicaCriteria &C, double Jitter, Instant Now);
  /// Expected duration of a send to the fastest replica of \p Service in
  /// \p Regions other than \p Other that is usable and not stalled;
  /// Duration::max() if there is none.
  Duration fastestOther(const ServiceName &Service,
                        const AllowedRegions &Regions, const ReplicaPtr &Other,
                        Duration ServiceTime, Instant Now) const;
  /// Whether a replica of the service in \p Regions is usable, even if it has
  /// no room now.
  bool servable(const ServiceInfo &Service, const AllowedRegions &Regions,
                Instant Now) const;
  /// Removes vanished replicas whose hold time has passed, and installs
  /// registrations that IncarnationTable has confirmed meanwhile.
  void expire(Instant Now);
  /// Replicas to which a probe connection should be opened now.
  std::vector<ReplicaPtr> dueProbes(Instant Now);

  std::size_t size() const { return ById.size(); }
  ReplicaSharing &sharing() { return Sharing; }

private:
  struct Slot {
    ReplicaPtr Ptr;
    bool Registered = true;
    /// End of its use after it vanished, unless VanishedInOutage.
    Instant HeldUntil{};
    /// It vanished while the store was unreachable, and RecoveryGrace has not
    /// begun.
    bool VanishedInOutage = false;
  };

  struct Held {
    const Replica *Which = nullptr;
    ToldSlowness Told;
  };

  std::vector<Held> heldByReports(const std::vector<Slot *> &Slots,
                                  const ReplicaCriteria &C, double Jitter,
                                  Instant Now) const;
  static double toldExtraMs(const std::vector<Held> &Kept, const Replica &R,
                            Duration ServiceTime, Instant Now);
  std::shared_ptr<RttEstimate> rttTo(const ReplicaEntry &E);
  bool hasRoom(const Replica &R, const ReplicaCriteria &C, Instant Now) const;
  Distance distance(const ReplicaEntry &E) const;
  void install(ReplicaEntry Entry, bool Restarted, Instant Now);
  bool heldAfterLapse(const Slot &S, Instant Now) const;
  bool mayServe(const Slot &S, Instant Now) const;
  bool inWarmup(const Replica &R, const ServiceInfo &Info, Instant Now) const;
  bool ownsWarmupOf(const Replica &R) const;
  bool warmupAdmits(Replica &R, const ServiceInfo &Info, Instant Now) const;
  void markVanished(Slot &S, Instant Now, Instant Since);

  Location Here;
  ReplicaRegistryOptions Options;
  FleetShare Shared;
  ReplicaSharing Sharing;
  WarmupSenders Senders;
  std::unordered_map<UpstreamId, Slot> ById;
  std::unordered_map<ServiceName, std::vector<Slot *>> ByService;
  /// Replicas of ById without a registration; only they expire.
  std::unordered_set<UpstreamId> Vanished;
  std::shared_ptr<EjectedReplicas> Ejected =
      std::make_shared<EjectedReplicas>();
  IncarnationTable Incarnations;
  std::map<AvailabilityZone, std::shared_ptr<RttEstimate>> Rtts;
  bool ZonesKnown;
  std::set<AvailabilityZone> Evacuated;
  std::map<AvailabilityZone, Instant> EvacuationEnded;
  bool StoreIsLost = false;
  Instant StoreRecoveredAt{};
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_REPLICAREGISTRY_H
