//===- ForwardRun.h - State machine of one caller's request -----*- C++ -*-===//
//
// A state machine without I/O. A request has one part (a plain request) or one
// part per shard. A part is sent to one replica. It is sent to another one, if
// the rules below allow it:
//
//   - after a failure, at once (a retry);
//   - when the first send takes longer than expected (a hedge).
//
// A request that is not idempotent is sent again only if the previous send is
// proven not to have run. Every further send is charged to the service's
// RetryBudget, except after a send that never left this process, and at most
// Route::MaxAttempts replicas may run a part.
//
// When it answers:
//
//   all parts succeeded, or the others have failed   at once
//   the latency objective is about to pass           with the parts at hand, if
//                                                    they have the minimum
//                                                    coverage
//   after that                                       as soon as the minimum
//                                                    coverage is reached
//   the caller's deadline or the route's timeout     with an error, or with the
//                                                    parts at hand
//   the daemon stops                                 the same
//
// A complete answer that is late is worth a tenth; one in time with nine parts
// of ten is worth four fifths.
//
// A request whose replicas crash may be the cause of the crashes. From the
// first crash until one of its sends succeeds, it is sent to one replica at a
// time, is not hedged, and fails when CrashThreshold replicas have crashed
// while they had it (package quarantine). A request that only ran beside the
// cause continues with all parts as soon as one reply arrives.
//
// Usage: call begin() once, replied() for each send that ended, and tick() when
// nextTick() has come, and carry out the output of each. After the answer, call
// tick() until done(): open sends get a short time to complete, which costs a
// replica less than a closed connection, and are then dropped. Those of a
// request that is not idempotent have until its deadline.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_FORWARDRUN_H
#define SHALLOTSHIFT_FORWARD_FORWARDRUN_H

#include "forward/ReplicaRegistry.h"
#include "forward/RetryBudget.h"
#include "forward/ServiceTimeEstimate.h"
#include "shallotshift/limits.h"
#include "shallotshift/quarantine.h"

#include <optional>

namespace shallot {

/// A complete reply of a replica.
struct ReplicaReply {
  int Status = 0;
  HttpHeaders Headers; ///< Without hop-by-hop headers.
  std::string Body;
  /// Proves which run produced it; empty if it is not from a replica.
  std::string Signature;
  /// The body has a content encoding: it is not as the replica produced it.
  bool Encoded = false;

  bool success() const { return Status >= 200 && Status < 300; }
  friend bool operator==(const ReplicaReply &, const ReplicaReply &) = default;
};

/// How a send ended, as the connection saw it. Reply is set for Answered.
struct SendResult {
  SendStatus How = SendStatus::Lost;
  std::optional<ReplicaReply> Reply;
  std::optional<ReportedLoad> Load;
  /// Another replica listens at this address.
  bool WrongReplica = false;
  /// How long the connection took to open, if it was opened for this send.
  std::optional<Duration> Opened;
  /// The connection was new and was reset, as a replica does above its
  /// connection limit.
  bool ConnectionRefused = false;
  /// The replica's process ended while it had the request.
  bool ReplicaCrashed = false;
};

/// What the operator and the settings allow for all requests.
struct ForwardRules {
  RetryAllowance Retries;

  friend bool operator==(const ForwardRules &, const ForwardRules &) = default;
};

/// Retry budgets by service.
using BudgetMap = std::unordered_map<ServiceName, RetryBudget>;

/// State that the runs of one daemon share.
struct ForwardShared {
  ReplicaRegistry &Replicas;
  BudgetMap &Budgets;
  ServiceTimeEstimates &ServiceTimes;
  Random &Rng;
  ForwardRules Rules;
  /// Requests wait for admission: capacity that a hedge takes is capacity that
  /// one of them needs.
  bool RequestsQueued = false;
  /// Set while the daemon stops: what is still sent.
  std::optional<StopPlan> Stop = std::nullopt;
};

/// A caller's request, as far as forwarding depends on it.
struct ForwardRequest {
  std::shared_ptr<const ServingConfig> Config;
  const Route *Matched = nullptr; ///< A route of Config.
  /// An organisation of Config; null on public routes and without keys.
  const Organisation *Caller = nullptr;
  Instant Arrived;
  Duration CallerWaits{}; ///< The caller's own deadline, from Arrived.
  SendRestriction Restriction = SendRestriction::None;
  unsigned CrashedBefore = 0; ///< Replicas that crashed in earlier attempts.

  /// 0 is the most urgent. That of the organisation goes before the route's.
  unsigned priority() const {
    return Caller ? Caller->Priority.value_or(Matched->Priority)
                  : Matched->Priority;
  }
  /// Whose share of the capacity it uses, and its work in milliseconds of a
  /// replica's slot. Without a caller that is the owner of the route.
  FairClaim claim(Duration ServiceTime) const;
};

/// A send to start.
struct StartSend {
  unsigned Send = 0;
  ReplicaPtr To;
  Duration TimeLeft{}; ///< The time that the replica is given.
};

/// The greatest records of the parts that succeeded.
struct MergedAnswer {
  std::vector<std::string> Signatures;
  std::size_t Missing = 0;
  std::string Records;
};

/// A replica's reply, relayed unchanged.
struct RelayedAnswer {
  ReplicaReply Reply;
};

/// An answer generated by this daemon. Codes that prove "not run" are used only
/// if nothing was sent or every send was rejected.
struct LocalAnswer {
  ResultCode Code = ResultCode::Internal;
  Duration RetryAfter{};
  std::string Why;
};

/// Refuses a request that a stopping daemon does not accept. Names no time to
/// wait, as another daemon can serve the caller at once.
LocalAnswer stopRefusal();

/// Refuses a request that was not sent before a new configuration changed or
/// removed its route. Names no time to wait: the caller's next attempt is
/// matched to the new routes.
LocalAnswer routeChangedRefusal();

using ForwardAnswer = std::variant<MergedAnswer, RelayedAnswer, LocalAnswer>;

struct RunOutput {
  std::vector<StartSend> Start;
  std::vector<unsigned> Drop; ///< Sends whose connections are to be closed.
  std::optional<ForwardAnswer> Answer;
};

/// Statistics of a run, for the log line and the metrics of its request.
struct RunStats {
  unsigned Parts = 0;
  unsigned PartsSucceeded = 0;
  unsigned Sends = 0;
  unsigned Hedges = 0;
  unsigned Retries = 0;
  unsigned Rejected = 0;
  unsigned Lost = 0;
  unsigned NotSent = 0;
  unsigned Crashed = 0; ///< Replicas that crashed while they had it.
  unsigned BudgetRefusals = 0;
  unsigned NoRoomWaits = 0; ///< How often no replica had room.

  friend bool operator==(const RunStats &, const RunStats &) = default;
};

class ForwardRun {
public:
  explicit ForwardRun(ForwardRequest A);

  /// Restricts the sends, after \p Before replicas crashed in earlier attempts.
  /// Call it before begin().
  void setRestriction(SendRestriction Restriction, unsigned Before) {
    Request.Restriction = Restriction;
    Request.CrashedBefore = Before;
  }
  /// A newer configuration allows only \p Regions for this route; applies to
  /// all further sends.
  void restrictRegions(const AllowedRegions &Regions) {
    ServingRegions = ServingRegions.intersect(Regions);
  }
  /// Whether a send of it may start: always, unless the daemon stops.
  bool acceptedByStop(ForwardShared &S, Instant Now) const;
  /// The daemon stops: the run answers at \p Latest at the latest.
  void answerBy(Instant Latest);
  RunOutput begin(ForwardShared &S, Instant Now);
  RunOutput replied(ForwardShared &S, unsigned Send, SendResult Result,
                    Instant Now);
  RunOutput tick(ForwardShared &S, Instant Now);
  /// The caller closed its connection: no answer is needed any more.
  RunOutput callerGone(Instant Now);
  /// Ends without an answer and drops all sends, after a fault of the program.
  RunOutput abandon(Instant Now);

  /// When tick() is to be called next.
  Instant nextTick() const;
  bool begun() const { return !Parts.empty(); }
  bool answered() const { return Answered; }
  /// Not sent yet, and not answered either.
  bool waits() const { return !begun() && !Answered; }
  /// Answered, and no send is open.
  bool done() const { return Answered && OpenSends == 0; }
  const ForwardRequest &request() const { return Request; }
  const RunStats &stats() const { return Stats; }
  /// Whether another request may be admitted: this one is answered, has the
  /// minimum coverage, or is past its cutoff. A slow replica holds queries for
  /// long and is no reason to admit fewer.
  bool freesAdmission() const {
    return Answered || CutoffPassed || hasMinCoverage();
  }
  /// A send of it succeeded.
  bool succeeded() const { return Stats.PartsSucceeded > 0; }
  /// Memory of the replies that are kept until the answer is known.
  std::size_t keptBytes() const;
  /// Something was sent to a replica, or may have been.
  bool reachedReplicas() const { return Stats.Sends > Stats.NotSent; }
  /// The load that it observed at replicas, for admission control.
  LoadSample load(Instant Now) const;

private:
  struct Part {
    ServiceName Service;
    bool Succeeded = false;
    bool Exhausted = false; ///< No further send is possible.
    unsigned Open = 0;
    /// Sends that ran or may have run, including open ones.
    unsigned MayHaveRun = 0;
    unsigned Sends = 0;
    /// When to retry because no replica had room.
    Instant RetryAt = Instant::max();
    ReplicaReply Reply; ///< The successful reply, or the last failure.
    bool HasReply = false;
    /// Queueing delay at the replica that replied last, if it reported its
    /// queue.
    Duration Queued{};
    /// A replica rejected a send because its queue was full.
    bool FoundReplicaFull = false;
    /// Held back while the request is suspected: waits for a send of it to
    /// succeed or, if no other send is open, for its turn (sendHeldParts()).
    bool Held = false;
    /// How the last send of a held part ended.
    SendStatus LastStatus = SendStatus::Abandoned;
  };
  struct SendState {
    unsigned Part = 0;
    ReplicaPtr To;
    Instant Started;
    Duration ServiceTime{}; ///< Usual for such a request.
    Instant HedgeAt = Instant::max();
    bool Open = true;
    SendStatus How = SendStatus::Abandoned;
  };

  void computeDeadlines();
  void createParts(ForwardShared &S, Instant Now);
  bool rejectImmediately(ForwardShared &S, RunOutput &Out, Instant Now);
  LocalAnswer noReplicaAnswer(ForwardShared &S, std::size_t Servable,
                              Instant Now) const;
  std::size_t servableParts(ForwardShared &S, const AllowedRegions &Regions,
                            Instant Now) const;
  bool missesDeadline(ForwardShared &S, const Replica &To, Instant Now) const;
  bool trySend(ForwardShared &S, unsigned Index, RunOutput &Out, Instant Now);
  void send(ForwardShared &S, unsigned Index, const ReplicaPtr &To,
            RunOutput &Out, Instant Now);
  const ServiceInfo &serviceOf(const Part &P) const;
  ReplicaPtr pickReplica(ForwardShared &S, const Part &P, unsigned Index,
                         Instant Now) const;
  void retryPart(ForwardShared &S, unsigned Index, SendStatus Last,
                 RunOutput &Out, Instant Now);
  void dropLargeFailure(Part &P);
  bool suspected() const;
  bool crashLimitReached() const;
  bool maySendWhileSuspected() const;
  void holdAllParts();
  void sendNext(ForwardShared &S, unsigned Index, SendStatus Last,
                RunOutput &Out, Instant Now);
  void sendHeldParts(ForwardShared &S, RunOutput &Out, Instant Now);
  void sendHedges(ForwardShared &S, RunOutput &Out, Instant Now);
  void retryUnplaced(ForwardShared &S, RunOutput &Out, Instant Now);
  Instant hedgeAt(ForwardShared &S, const Part &P, const ReplicaPtr &To,
                  Instant Now) const;
  bool spendBudget(ForwardShared &S, const Part &P, bool Hedge, Instant Now);
  void recordQueue(ForwardShared &S, Part &P, const Replica &From,
                   const SendResult &Result);
  std::size_t maxMissingParts() const;
  void recordResult(ForwardShared &S, const SendState &X, Part &P,
                    SendResult &Result, Instant Now);
  bool isUsable(const ReplicaReply &R) const;
  void answerIfReady(RunOutput &Out, Instant Now);
  bool meetsMinCoverage(std::size_t Count) const;
  bool hasMinCoverage() const;
  bool nothingRan() const;
  void answerParts(RunOutput &Out, Instant Now);
  void relayFailure(RunOutput &Out, Instant Now);
  void answerFailure(RunOutput &Out, Instant Now, bool TimedOut);
  void finish(RunOutput &Out, ForwardAnswer Answer, Instant Now);
  void dropOpen(RunOutput &Out, Instant Now);
  void cancelUnstarted(RunOutput &Out, Instant Now);
  Duration serviceTime(ForwardShared &S) const;

  ForwardRequest Request;
  AllowedRegions ServingRegions; ///< Regions that may run it.
  const ShardFanOut *Fan = nullptr;
  Instant Cutoff; ///< When the latency objective is about to pass.
  /// The latest answer that the caller and the route permit.
  Instant PermittedDeadline;
  /// The latest time for an answer; earlier than PermittedDeadline while the
  /// daemon stops.
  Instant AnswerDeadline;
  Instant DropAt = Instant::max();
  std::vector<Part> Parts;
  std::vector<SendState> Sends;
  std::size_t MaxMissing = 0; ///< How many parts an answer may lack.
  std::size_t OpenSends = 0;
  bool AnyHeld = false; ///< Some part may be held.
  bool CutoffPassed = false;
  bool Answered = false;
  Instant Began;
  RunStats Stats;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_FORWARDRUN_H
