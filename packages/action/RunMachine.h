//===- RunMachine.h - State machine of one delivery -------------*- C++ -*-===//
//
// Decides the next command of one delivery (see ActionRun.h for the two paths).
// At most one command is out at a time; each has a step number, and a result
// for an older step is dropped, so that a late reply is never taken for the
// reply to a later command. ActionRegistry owns the machines.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_ACTION_RUNMACHINE_H
#define SHALLOTSHIFT_ACTION_RUNMACHINE_H

#include "action/ActionMemory.h"
#include "action/ActionRun.h"
#include "action/ClaimRecord.h"

namespace shallot::action {

/// Waits and tries of one run.
struct RunTimes {
  /// Between two tries of a message to a peer or to the platform.
  Duration RetryPause = Millis(25);
  /// Tries of a claim or a read of it; together below 100 ms of pauses, so
  /// that a caller is refused while it can still go elsewhere.
  unsigned ClaimTries = 3;
  /// Upstreams tried while each of them provably did not run it.
  unsigned UpstreamTries = 3;
  /// How long the answer waits for the outcome to be stored. Waiting longer
  /// only makes a replay after a crash likelier; it never makes a run safer.
  Duration StoreWait = Millis(50);
  Duration StorePause = Millis(200);
  unsigned StoreTries = 5;
  /// After the deadline the reply of the upstream is still taken for so long,
  /// so that a caller that asks again learns it.
  Duration Linger = Seconds(10);
  /// What a caller is told to wait before it asks again.
  Duration RetryAfter = Seconds(1);
};

struct RunContext {
  Clocks Now;
  const FleetView &Fleet;
  const RunTimes &Times;
};

/// What the memory keeps when a run is over.
struct RunVerdict {
  enum class Kind : std::uint8_t {
    Forget, ///< Another daemon is responsible for the key.
    NotRun, ///< The next delivery may run it.
    Final,  ///< Whatever it is, the key never runs again.
  };
  Kind What = Kind::Forget;
  ActionOutcome Outcome;
};

struct RunSetup {
  ActionRequest Request;
  ActionKey Key;
  DaemonId Self;
  /// The delivery came from a peer: it is not passed on again.
  bool FromPeer = false;
  std::string Nonce;
  WallTime ClaimedAt = 0;
  std::optional<std::uint64_t> ClaimVersion; ///< Our claim, if already proven.
  std::string AttemptPrefix;                 ///< Unique in the fleet.
};

class RunMachine {
public:
  RunMachine(RunSetup S, const RunContext &C);

  void start(const RunContext &C);
  void on(std::uint32_t Step, const Event &E, const RunContext &C);
  void onTime(const RunContext &C);
  /// The picture of the fleet changed.
  void onFleet(const RunContext &C);

  /// The command that was decided since the last call.
  std::optional<Command> takeCommand();
  std::uint32_t step() const { return Step; }
  std::optional<Instant> wake(const RunTimes &Times) const;

  const RunSetup &setup() const { return S; }
  /// Set once the delivery can be answered.
  const std::optional<ActionOutcome> &answer() const { return Answer; }
  /// Set once the fate of the key is known as far as it will be.
  const std::optional<RunVerdict> &verdict() const { return Fate; }
  const std::optional<std::uint64_t> &claimVersion() const {
    return ClaimVersion;
  }
  bool done() const { return Now == Stage::Done; }

private:
  enum class Stage : std::uint8_t {
    Claiming,
    Reading,
    Forwarding,
    Intending,
    Fencing,
    Sending,
    Storing,
    Done,
  };

  // Common (RunMachine.cpp).
  void issue(Command C);
  void retryAt(Instant At);
  void conclude(ActionOutcome O, RunVerdict::Kind Kind);
  void refuse(ResultCode Code, std::string Detail, const RunContext &C);
  void refuseUnproven(ResultCode Code, std::string Detail, const RunContext &C);
  void unknown(std::string Detail, RunVerdict::Kind Kind, const RunContext &C);
  ActionOutcome outcomeOf(ResultCode Code, std::string Detail,
                          const RunContext &C) const;
  void onDeadline(const RunContext &C);
  void repeatCommand(const RunContext &C);
  RunVerdict::Kind afterRefusal() const;
  bool lookUp() const { return S.Request.Aim == ActionAim::LookUp; }

  // The upstream and the storing of its reply (UpstreamStage.cpp).
  void send(const RunContext &C);
  void handle(const UpstreamResult &E, const RunContext &C);
  void storeRefusal(ActionOutcome O, const RunContext &C);
  void tryAnother(const UpstreamResult &E, const RunContext &C);
  void store(const RunContext &C);
  void storedOrNot(bool Stored, const RunContext &C);
  void handle(const WriteResult &E, const RunContext &C);
  void handle(const OutcomeResult &E, const RunContext &C);

  // Claim path (ClaimPath.cpp).
  void claim();
  void read();
  void handle(const ClaimResult &E, const RunContext &C);
  void handle(const ReadResult &E, const RunContext &C);
  void judge(const ClaimRecord &R, std::uint64_t Version, const RunContext &C);
  void judgeOthers(const ClaimRecord &R, const RunContext &C);
  void tryClaimAgain(Stage Again, const RunContext &C);

  // Ticket path (TicketPath.cpp).
  void forward(const DaemonId &To, const RunContext &C);
  void fence(const RunContext &C);
  void intend(const RunContext &C);
  void handle(const ForwardResult &E, const RunContext &C);
  void handle(const IntentResult &E, const RunContext &C);
  void handle(const FenceResult &E, const RunContext &C);
  void ownerGone(const RunContext &C);

  RunSetup S;
  Instant Deadline;
  Stage Now = Stage::Claiming;
  std::uint32_t Step = 0;
  std::optional<Command> Next;
  std::optional<Instant> RetryTime;
  unsigned Tries = 0;
  std::optional<std::uint64_t> ClaimVersion;
  DaemonId Owner; ///< Whom we forward to.
  std::vector<UpstreamId> Refused;
  unsigned Attempts = 0;
  std::optional<ActionOutcome> ToStore;
  std::optional<Instant> AnswerBy;
  std::optional<ActionOutcome> Answer;
  std::optional<RunVerdict> Fate;
};

/// True when \p Fleet has this very incarnation and it is not thought dead.
bool mayAnswer(const FleetView &Fleet, const DaemonId &Id);

} // namespace shallot::action

#endif // SHALLOTSHIFT_ACTION_RUNMACHINE_H
