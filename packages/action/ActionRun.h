//===- ActionRun.h - The course of one action -------------------*- C++ -*-===//
//
// A pure state machine for one delivery of one action at one daemon. It answers
// each event with commands; the daemon carries them out and reports what became
// of each, including that nothing came back. ActionRegistry owns the runs.
//
// Claim path (the caller's own key): a conditional create in the platform is
// the one point that decides who runs it. A claim is never taken over: when its
// owner is gone without an outcome, the outcome is unknown.
//
// Ticket path (a minted key): only the minter runs it, and only after the
// witness has acknowledged the intent. When the minter is gone, the witness
// either refuses every later intent and so proves "not run", or has seen one.
//
// No argument here compares the clocks of two daemons.
//
// Commands and events have short names and so a namespace of their own.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_ACTION_ACTIONRUN_H
#define SHALLOTSHIFT_ACTION_ACTIONRUN_H

#include "action/ActionKey.h"
#include "action/ActionTypes.h"

#include <optional>
#include <variant>
#include <vector>

namespace shallot::action {

/// Both clocks at one moment.
struct Clocks {
  Instant Mono;
  WallTime Wall = 0;
};

// Commands.

/// PUT with If-None-Match: *. Report ClaimResult.
struct ClaimInPlatform {
  std::string Path;
  std::string Value;
};
/// GET. Report ReadResult.
struct ReadClaim {
  std::string Path;
};
/// PUT with If-Match. Report WriteResult.
struct WriteOutcome {
  std::string Path;
  std::uint64_t Version = 0;
  std::string Value;
};
/// Report IntentResult.
struct SendIntent {
  DaemonId Witness;
  RecordIntent Message;
};
/// Report OutcomeResult.
struct SendOutcome {
  DaemonId Witness;
  RecordOutcome Message;
};
/// Report FenceResult.
struct AskFence {
  DaemonId Witness;
  FenceKey Message;
};
/// Report ForwardResult. May be repeated: the target runs it once.
struct ForwardTo {
  DaemonId Target;
  ForwardAction Message;
};

/// The only value there is: written out so that whoever carries the command out
/// sees that no library on the way may send it a second time.
enum class SendRule : std::uint8_t { Once };

/// POST /action to one upstream of the service. Report UpstreamResult.
struct SendToUpstream {
  Tenant Owner;
  CallerClass Class;
  RequestId Request;
  ServiceName Service;
  std::string Key;
  std::string AttemptId;
  std::string Body;
  std::string TraceParent;
  Duration Remaining{0};
  /// Upstreams that refused before; choose another while there is one.
  std::vector<UpstreamId> Avoid;
  SendRule Rule = SendRule::Once;
};
/// The answer to the caller or peer. Exactly one for each delivery. The run may
/// go on after it to store the outcome.
struct Finish {
  ActionOutcome Outcome;
};

using Command =
    std::variant<ClaimInPlatform, ReadClaim, WriteOutcome, SendIntent,
                 SendOutcome, AskFence, ForwardTo, SendToUpstream, Finish>;

// Events.

struct ClaimResult {
  enum class Kind : std::uint8_t {
    Created,    ///< 200.
    Exists,     ///< 412.
    NotApplied, ///< Certain: 429, or no connection could be opened.
    Lost,       ///< Anything else: it may have been applied, or still will be.
  };
  Kind What = Kind::Lost;
  std::uint64_t Version = 0; ///< With Created.
};
struct ReadResult {
  enum class Kind : std::uint8_t { Found, Missing, Failed };
  Kind What = Kind::Failed;
  std::uint64_t Version = 0;
  std::string Value;
};
struct WriteResult {
  enum class Kind : std::uint8_t { Done, Conflict, Failed };
  Kind What = Kind::Failed;
};
/// Nothing in Answer: lost, or the witness is gone.
struct IntentResult {
  std::optional<IntentAnswer> Answer;
};
struct OutcomeResult {
  bool Recorded = false;
};
struct FenceResult {
  std::optional<FenceAnswer> Answer;
};
struct ForwardResult {
  std::optional<ActionOutcome> Outcome;
  /// The host answered with PeerWrongIncarnation: that daemon no longer exists.
  bool TargetGone = false;
};
/// Code decides: Ok is a whole reply of any status but a published refusal; a
/// code whose effect is NotRun (ConnectFailed, UpstreamShed, UpstreamDraining,
/// NoReplica, ...) is certain that no upstream saw a byte or that it refused;
/// anything else leaves the outcome unknown.
struct UpstreamResult {
  ResultCode Code = ResultCode::OutcomeUnknown;
  int Status = 0;
  std::string Body;
  Duration RetryAfter{0};
  UpstreamId Target; ///< Which upstream it was, if one was chosen.
};

using Event =
    std::variant<ClaimResult, ReadResult, WriteResult, IntentResult,
                 OutcomeResult, FenceResult, ForwardResult, UpstreamResult>;

/// Names one delivery at one daemon.
enum class RunId : std::uint64_t {};

/// A command with its address: report the event with the same Run and Step.
struct Order {
  RunId Run{};
  std::uint32_t Step = 0;
  Command What;
};

} // namespace shallot::action

#endif // SHALLOTSHIFT_ACTION_ACTIONRUN_H
