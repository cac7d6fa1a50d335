//===- ActionRegistry.h - All actions of one daemon -------------*- C++ -*-===//
//
// Takes deliveries from callers and peers, keeps one run for each key, lets
// duplicates wait for its outcome, remembers outcomes, and is the witness for
// other daemons' keys. It does no I/O: after each call take() the orders, carry
// them out, report each result by on(), and call onTime() at nextWake().
//
// Each order but Finish must be reported within a bound of the daemon's own,
// lost ones as lost. A peer's ForwardAction must reach begin() or be reported
// as lost: a refusal in front of begin() knows nothing of the key.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_ACTION_ACTIONREGISTRY_H
#define SHALLOTSHIFT_ACTION_ACTIONREGISTRY_H

#include "action/ActionMemory.h"
#include "action/ActionRun.h"
#include "action/RunMachine.h"

#include <set>
#include <unordered_map>

namespace shallot {

/// Bounds and waits of one daemon's actions.
struct ActionLimits {
  /// Deliveries at work, waiting ones included. 2,000 bodies of 64 KB at most.
  std::size_t MaxRuns = 2000;
  /// Duplicates that wait for one run; more are told ActionInProgress.
  std::size_t MaxWaiters = 16;
  /// Keys remembered as runner and as witness. About 1.3 KB for both of one
  /// key without bodies (bench_action), so 26 MB at most. At 720 s of memory
  /// they carry 27 actions a second at one daemon; beyond it MemoryFull.
  std::size_t MaxRemembered = 20000;
  std::size_t MaxWitnessed = 20000;
  action::RunTimes Times;
};

/// Where a delivery came from: a peer's is never passed on.
enum class ActionOrigin : std::uint8_t { Caller, Peer };

class ActionRegistry {
public:
  /// \p Rng gives keys, nonces and attempt ids; it must be seeded differently
  /// in each daemon incarnation.
  ActionRegistry(DaemonId Self, Random Rng, ActionLimits Limits = {});

  /// Mints a key for POST /v1/action-keys, valid for \p Validity (at most
  /// MaxKeyValidity).
  ActionKey mint(const FleetView &Fleet, Duration Validity, action::Clocks Now);

  /// One delivery. Exactly one order Finish with this id follows.
  action::RunId begin(ActionRequest R, ActionOrigin From,
                      const FleetView &Fleet, action::Clocks Now);

  /// What became of an order. A result for a step that is over is dropped.
  void on(action::RunId Run, std::uint32_t Step, const action::Event &E,
          const FleetView &Fleet, action::Clocks Now);

  /// The picture of the fleet changed: what waits for a daemon that is gone
  /// takes its next step at once.
  void onFleet(const FleetView &Fleet, action::Clocks Now);

  /// Deadlines, retries and forgetting.
  void onTime(const FleetView &Fleet, action::Clocks Now);
  std::optional<Instant> nextWake() const;

  /// The orders given since the last call.
  std::vector<action::Order> take();

  // As witness for other daemons' keys.
  IntentAnswer onIntent(const RecordIntent &M, action::Clocks Now);
  void onOutcome(const RecordOutcome &M, action::Clocks Now);
  FenceAnswer onFence(const FenceKey &M, action::Clocks Now);

  /// Actions that are not answered yet; a planned stop waits for 0.
  std::size_t unanswered() const { return Unanswered; }
  /// Runs that still store an outcome; a planned stop waits for 0 here too.
  std::size_t atWork() const { return Runs.size(); }
  std::size_t remembered() const { return Memory.size(); }
  std::size_t witnessed() const { return Witnessed.size(); }

private:
  struct Delivery {
    ActionRequest Request;
    bool FromPeer = false;
  };
  struct Running {
    action::RunMachine Machine;
    std::string Identity; ///< Empty: not the one run of its key here.
    std::vector<action::RunId> Waiters;
    bool Answered = false;
    bool Settled = false;
    std::optional<Instant> Wake;
  };
  struct Waiting {
    action::RunId For{};
    Instant Deadline;
  };

  action::Clocks steady(action::Clocks Now);
  action::RunContext context(const FleetView &Fleet, action::Clocks Now) const;
  void give(action::RunId Id, std::uint32_t Step, action::Command C);
  void finish(action::RunId Id, ActionOutcome O);
  void refuse(action::RunId Id, const Delivery &D, ResultCode Code,
              std::string Detail);
  bool answerFromMemory(action::RunId Id, const Delivery &D, Remembered &Known,
                        action::Clocks Now);
  bool refuseTicket(action::RunId Id, const Delivery &D, const ActionKey &Key,
                    bool Remembered, action::Clocks Now);
  void join(action::RunId Id, action::RunId Owner, const Delivery &D,
            action::Clocks Now);
  bool isProven(const Remembered &Known, bool Minted) const;
  Remembered *admit(action::RunId Id, const ActionRequest &R,
                    const ActionKey &Key, const std::string &Identity,
                    action::Clocks Now);
  void launch(action::RunId Id, Delivery D, ActionKey Key, std::string Identity,
              const action::RunContext &C);
  void settle(action::RunId Id, const action::RunContext &C);
  bool serveSelf(Running &R, const action::Command &Cmd,
                 const action::RunContext &C);
  void keep(const Running &R, action::Clocks Now);
  void releaseWaiters(Running &R);
  void schedule(action::RunId Id, Running &R);
  bool isWitnessOf(const std::string &Key) const;
  void endWaiter(action::RunId Id, Waiting W);

  DaemonId Self;
  Random Rng;
  ActionLimits Limits;
  std::uint64_t LastRun = 0;
  WallTime LatestWall = 0;
  std::optional<action::Clocks> Start;
  ActionMemory Memory;
  WitnessMemory Witnessed;
  std::unordered_map<action::RunId, Running> Runs;
  std::unordered_map<action::RunId, Waiting> Waiters;
  std::set<std::pair<Instant, action::RunId>> Wakes;
  std::vector<action::Order> Orders;
  std::size_t Unanswered = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_ACTION_ACTIONREGISTRY_H
