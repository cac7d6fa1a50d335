//===- ControlPlane.h - Membership, configuration, start and stop C++ -*-===//
//
// Drives the state machines of package fleet: gossip datagrams in and out, the
// configuration, the host list, and the daemon's own way from Starting to Gone.
// What they decide goes into FleetState and to the hooks.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_CONTROLPLANE_H
#define SHALLOTSHIFT_DAEMON_CONTROLPLANE_H

#include "daemon/ConfigLink.h"
#include "daemon/EventLog.h"
#include "daemon/FleetState.h"
#include "daemon/Settings.h"
#include "shallotshift/fleet.h"

#include <functional>
#include <memory>
#include <set>

namespace shallot {

/// What the control plane is told of the work that runs.
struct WorkFacts {
  std::size_t InFlight = 0;
  std::size_t OpenConnections = 0;
};

class ControlPlane {
public:
  struct Hooks {
    /// Conf of FleetState has changed.
    std::function<void()> ConfigChanged;
    /// View or Allocation of FleetState has changed.
    std::function<void()> FleetChanged;
    /// An upstream is on the host list as leaving, or no longer.
    std::function<void(const UpstreamId &, bool)> UpstreamLeaving;
    /// The daemon's phase or its duties have changed.
    std::function<void(const LifecycleOutput &)> PhaseChanged;
    std::function<WorkFacts()> Facts;
  };

  /// Opens the gossip socket. Fails with AddressInUse or SettingsInvalid.
  static Result<std::unique_ptr<ControlPlane>>
  open(EventLoop &Loop, const Settings &Set, Member Self, FleetState &Fleet,
       StoreClient &Platform, EventLog &Events, Random &Rng, Hooks H);
  ~ControlPlane();

  void connect(PeerNode &P);
  void start();
  void requestStop();

  ConfigLink &config() { return Config; }
  const ConfigLink &config() const { return Config; }
  const Membership &membership() const { return Members; }
  const EntryDirectory &entries() const { return Entries; }
  const LifecycleOutput &phase() const { return Last; }
  const DatagramStats &gossipStats() const { return Gossip->stats(); }
  /// What the host list said last, for daemons that do not watch it.
  const LeavingUpstreams &leaving() const { return Leaving; }
  /// Callers' requests may be served: ready or leaving, and not just back from
  /// a pause. Otherwise \p Why gets the code and the reason.
  bool takesRequests(Error *Why) const;

private:
  ControlPlane(EventLoop &Loop, Membership M, EntryDirectory E, Lifecycle L,
               FleetState &Fleet, StoreClient &Platform, EventLog &Events,
               Random &Rng, Hooks H);

  void tick();
  void tickLifecycle();
  void onMessage(const GossipMessage &M);
  void apply(const MembershipOutput &Out);
  void apply(const LifecycleOutput &Out);
  void viewChanged();
  void redeal();
  void installed(const InstalledConfig &C);
  void announce(const std::vector<DaemonId> &To);
  LifecycleFacts facts() const;
  void pollHosts();
  bool wantsHosts() const;
  void takeHosts(const HostList &List);
  void takeLeaving(const HostList &List);
  void takeLeaving(LeavingUpstreams Now);
  void askWatcher();

  EventLoop &Loop;
  FleetState &Fleet;
  StoreClient &Platform;
  EventLog &Events;
  Random &Rng;
  Hooks H;
  Membership Members;
  EntryDirectory Entries;
  Lifecycle Life;
  LifecycleOutput Last;
  ConfigLink Config;
  PeerNode *Peers = nullptr;
  std::unique_ptr<GossipSocket> Gossip;
  Backoff HostsBackoff;
  std::uint64_t HostsVersion = 0;
  LeavingUpstreams Leaving;
  Instant LastTick;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_CONTROLPLANE_H
