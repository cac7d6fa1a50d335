//===- ActionService.h - Actions joined to platform, peers, upstreams C++ -===//
//
// Carries out the orders of ActionRegistry and reports what became of each.
// Nothing here decides whether an action may run; what it must get right is to
// report "certainly not sent" only when that is certain.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_ACTIONSERVICE_H
#define SHALLOTSHIFT_DAEMON_ACTIONSERVICE_H

#include "daemon/FleetState.h"
#include "daemon/SubRouter.h"
#include "shallotshift/action.h"
#include "shallotshift/net.h"
#include "shallotshift/peer.h"
#include "shallotshift/query.h"
#include "shallotshift/store.h"
#include "shallotshift/telemetry.h"

#include <functional>
#include <unordered_map>

namespace shallot {

class ActionService {
public:
  using Callback = std::function<void(ActionOutcome)>;

  ActionService(EventLoop &Loop, FleetState &Fleet, StoreClient &Platform,
                SubRouter &Router, const ReplicaTable &Replicas, Metrics &Meter,
                Random Rng);

  void connect(PeerNode &P) { Peers = &P; }

  /// Mints a key that this daemon alone may run.
  ActionKey mint(Duration Validity);
  /// One delivery from a caller or a peer; \p Done is called exactly once.
  void begin(ActionRequest R, ActionOrigin From, Callback Done);
  /// The picture of the fleet changed.
  void onFleet();

  // As witness for other daemons' keys.
  IntentAnswer onIntent(const RecordIntent &M);
  void onOutcome(const RecordOutcome &M);
  FenceAnswer onFence(const FenceKey &M);

  const ActionRegistry &registry() const { return Registry; }

private:
  struct Waiting {
    Tenant Owner;
    CallerClass Class;
    Callback Done;
  };

  action::Clocks clocks() const;
  void pump();
  void report(const action::Order &O, const action::Event &E);
  void act(const action::Order &O, const action::ClaimInPlatform &C);
  void act(const action::Order &O, const action::ReadClaim &C);
  void act(const action::Order &O, const action::WriteOutcome &C);
  void act(const action::Order &O, const action::SendIntent &C);
  void act(const action::Order &O, const action::SendOutcome &C);
  void act(const action::Order &O, const action::AskFence &C);
  void act(const action::Order &O, const action::ForwardTo &C);
  void act(const action::Order &O, const action::SendToUpstream &C);
  void act(const action::Order &O, const action::Finish &C);
  /// Upstreams of the service that may get an action: those that are not among
  /// \p Avoid, or all when none is left.
  std::vector<UpstreamId>
  candidates(const Service &Svc, const std::vector<UpstreamId> &Avoid) const;
  /// The member to call; null after reporting \p Lost for the order.
  const Member *reach(const action::Order &O, const DaemonId &Who,
                      action::Event Lost);

  EventLoop &Loop;
  FleetState &Fleet;
  StoreClient &Platform;
  SubRouter &Router;
  const ReplicaTable &Replicas;
  Metrics &Meter;
  PeerNode *Peers = nullptr;
  ActionRegistry Registry;
  TimerHandle Wake;
  bool Pumping = false;
  std::unordered_map<std::uint64_t, Waiting> Callers;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_ACTIONSERVICE_H
