//===- Lifecycle.h - Start and shutdown of a daemon -------------*- C++ -*-===//
//
//   Starting -> Ready -> Leaving -> Draining -> Gone
//
// A daemon keeps no state across restarts. It becomes Ready once peers or the
// platform have confirmed its configuration as the newest and its view of the
// fleet has settled. A planned stop interrupts no caller: in Leaving the daemon
// is not handed out to new callers, but serves those that cached its address
// until every cached answer has expired; in Draining it accepts no connections
// and finishes the requests in flight. Both phases are bounded, so a stop
// always ends (StopSequence.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_LIFECYCLE_H
#define SHALLOTSHIFT_FLEET_LIFECYCLE_H

#include "fleet/StopSequence.h"
#include "shallotshift/model.h"

#include <optional>
#include <string>
#include <string_view>

namespace shallot {

enum class Phase : std::uint8_t { Starting, Ready, Leaving, Draining, Gone };

std::string_view phaseName(Phase P);

struct LifecycleOptions {
  /// The longest time that a caller may use a cached address
  /// (longestValidity()).
  Duration EntryValidity = Seconds(25);
  /// Added to EntryValidity: the time until every daemon that still hands out
  /// this address knows that the member is Leaving.
  Duration LeaveMargin = Seconds(5);
  /// The longest wait for requests in flight. Must exceed MaxDeadline, or the
  /// last request that is taken is cut off just before its answer.
  Duration DrainLimit = MaxDeadline + Seconds(1);
  /// The number of peers that must confirm a configuration as the newest.
  unsigned ConfirmingPeers = 2;
};

/// What the daemon knows at the time of a tick.
struct LifecycleFacts {
  bool ConfigInstalled = false;
  /// The platform reported the installed generation as the newest.
  bool PlatformConfirms = false;
  /// The platform has answered at least once since the start.
  bool PlatformAnswered = false;
  std::size_t PeersKnown = 0; ///< Live members besides this one.
  std::size_t PeersHeard = 0; ///< Live peers that have answered.
  /// Peers known to have exactly the installed generation; 0 while one is known
  /// to have a higher one (ConfigSync::confirmedBy()).
  std::size_t PeersConfirm = 0;
  /// A peer or the platform announced a higher generation than the installed
  /// one.
  bool PeerIsAhead = false;
  bool ViewSettled = false; ///< Membership::settled().
  std::size_t InFlight = 0; ///< Requests in flight, including relayed ones.
  std::size_t OpenConnections = 0; ///< Callers' connections.
};

struct LifecycleOutput {
  bool Changed = false;
  Phase Now = Phase::Starting;
  /// The state to pass to Membership::setSelfState().
  MemberState Declare = MemberState::Starting;
  bool AcceptConnections = true; ///< The listening socket stays open.
  bool TakeRequests = false;     ///< If false, refuse: NotReady or Leaving.
  /// Answer with "Connection: close", so that callers ask for new addresses.
  bool CloseAfterReply = false;
  bool Exit = false; ///< The process may end.
  std::string Why;   ///< For logs, readiness checks and refusals.
};

class Lifecycle {
public:
  /// Fails with SettingsInvalid.
  static Result<Lifecycle> make(LifecycleOptions Options);

  LifecycleOutput onTick(const LifecycleFacts &Facts, Instant Now);
  /// Starts a planned stop. A second call while Leaving skips to Draining, for
  /// an operator who does not want to wait.
  LifecycleOutput requestStop(Instant Now);

  Phase phase() const { return P; }
  /// The reason for the current phase, for people.
  const std::string &why() const { return Why; }
  /// The latest time at which a stop requested at \p Now would end.
  Instant latestEnd(Instant Now) const;

private:
  explicit Lifecycle(LifecycleOptions Options);

  void enter(Phase Next, std::string Reason);
  void tickStarting(const LifecycleFacts &Facts);
  void tickStopping(const LifecycleFacts &Facts, Instant Now);
  void beginStop(Duration Serving, Instant Now);
  LifecycleOutput output(Phase Before) const;

  LifecycleOptions Options;
  Phase P = Phase::Starting;
  std::optional<StopSequence> Stop; ///< Set from Leaving on.
  std::string Why;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_LIFECYCLE_H
