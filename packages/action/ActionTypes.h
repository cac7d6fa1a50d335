//===- ActionTypes.h - Requests, outcomes and messages ----------*- C++ -*-===//
//
// An action is a request that must not run twice, such as a reservation or a
// booking. Its identity is the tenant and the Idempotency-Key together. These
// are the values that travel: from the caller, back to the caller, and between
// daemons.
//
// What a code proves is said by infoOf(Code).Effect, and this package keeps to
// it for the key, not only for the delivery that it answers: after a NotRun
// answer no earlier or delayed delivery of the key has run or ever will. So
// such an answer is final for its key. The one exception is a delivery whose
// caller vouches that it is the first (FirstAttempt): there is no other that
// could run, and the key may be sent again. Where "not run" cannot be proven
// the answer is OutcomeUnknown, and asking again with the same key is safe.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_ACTION_ACTIONTYPES_H
#define SHALLOTSHIFT_ACTION_ACTIONTYPES_H

#include "shallotshift/base.h"

#include <optional>
#include <string>

namespace shallot {

/// The largest action body; a reservation is a few hundred bytes, and a peer
/// holds as many as it has runs.
inline constexpr std::size_t MaxActionBodyBytes = 65536;
/// The largest upstream reply that is kept for replay. A longer one reaches the
/// first caller whole; later ones learn only its status (BodyDropped).
inline constexpr std::size_t MaxKeptReplyBytes = 16384;

/// Whether a request wants the action run, or only to learn what became of it.
enum class ActionAim : std::uint8_t { Run, LookUp };

struct ActionRequest {
  RequestId Request;
  Tenant Owner;
  CallerClass Class;
  ServiceName Service; ///< Empty with LookUp.
  std::string Key;     ///< The Idempotency-Key, minted or the caller's own.
  std::string Body;    ///< Empty with LookUp.
  std::string Digest;  ///< actionDigest(); empty with LookUp.
  std::string TraceParent;
  Duration Remaining{0}; ///< Until the caller's deadline.
  ActionAim Aim = ActionAim::Run;
  /// The caller vouches that it never sent this key before, so that a refusal
  /// may say "not run" although the platform cannot be asked.
  bool FirstAttempt = false;

  friend bool operator==(const ActionRequest &,
                         const ActionRequest &) = default;
};

/// What the same key must come with each time.
std::string actionDigest(const ServiceName &Service, std::string_view Body);

struct ActionOutcome {
  ResultCode Code = ResultCode::OutcomeUnknown;
  int UpstreamStatus = 0; ///< 0: no upstream replied.
  std::string Body;       ///< The upstream's reply.
  bool Replayed = false;  ///< It ran for an earlier delivery of the key.
  bool BodyDropped = false;
  Duration RetryAfter{0}; ///< 0: no use in asking again.
  std::string Detail;     ///< For people: what is known and what to do.

  friend bool operator==(const ActionOutcome &,
                         const ActionOutcome &) = default;
};

/// The answer of whoever refuses an action before ActionRegistry has seen it,
/// for example because of overload: \p Code if the caller vouches that this is
/// its first delivery, OutcomeUnknown otherwise, because an earlier one may
/// have run.
ActionOutcome refusal(const ActionRequest &R, ResultCode Code,
                      std::string Detail, Duration RetryAfter);

/// True when the upstream ran the action to its end.
bool ranToEnd(const ActionOutcome &O);

// Messages between daemons. Each may be lost, and each may be repeated.

/// To the daemon that alone may run the key; answered by an ActionOutcome.
struct ForwardAction {
  ActionRequest Request;

  friend bool operator==(const ForwardAction &,
                         const ForwardAction &) = default;
};

/// To the witness, before the upstream sees anything.
struct RecordIntent {
  Tenant Owner;
  std::string Key;
  std::string Digest;
  WallTime Expiry = 0;

  friend bool operator==(const RecordIntent &, const RecordIntent &) = default;
};

enum class IntentAnswer : std::uint8_t {
  Granted, ///< Recorded; from now on the witness never says "not run".
  Fenced,  ///< Somebody was told "not run", or the key has expired.
  Full,    ///< No room; nothing recorded.
};

/// To the witness, after the run.
struct RecordOutcome {
  Tenant Owner;
  std::string Key;
  WallTime Expiry = 0;
  ActionOutcome Outcome;

  friend bool operator==(const RecordOutcome &,
                         const RecordOutcome &) = default;
};

/// To the witness, when the minter is thought failed: refuse every later intent
/// for this key, and say what is known.
struct FenceKey {
  Tenant Owner;
  std::string Key;
  std::string Digest; ///< Empty with a look-up: any content.
  WallTime Expiry = 0;

  friend bool operator==(const FenceKey &, const FenceKey &) = default;
};

struct FenceAnswer {
  enum class Kind : std::uint8_t {
    NotRun,     ///< No intent came, and none will be granted.
    IntentSeen, ///< It may have run.
    Outcome,    ///< It ran.
    OtherBody,  ///< The key came before with another content.
    NotKnown,   ///< Too late or no room: nothing can be said.
  };
  Kind What = Kind::NotKnown;
  ActionOutcome Outcome; ///< With Kind::Outcome.

  friend bool operator==(const FenceAnswer &, const FenceAnswer &) = default;
};

} // namespace shallot

#endif // SHALLOTSHIFT_ACTION_ACTIONTYPES_H
