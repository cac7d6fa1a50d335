//===- ForwardRun.h - A caller's request, start to answer -------*- C++ -*-===//
//-*-===//
//
// A state machine without input or output. A request has one part (a plain
// request) or a part for each shard; a part is sent to one replica, and sent
// again to another when that is allowed and of use:
//
//   - after a failure, at once;
//   - as a hedge, when the first send takes longer than such sends do.
//
// A request that is not idempotent is sent again only when the send before is
// proven not to have run. Every further send is paid from the service's
// RetryBudget, and no more replicas may run a part than the route allows.
//
// When it answers:
//
//   all parts are in, or the rest cannot be had     at once
//   the objective is about to pass                  with what is there, if that
//                                                   is the least share or more:
//                                                   late and whole is worth a
//                                                   tenth, in time and nine
//                                                   parts of ten four fifths
//   after that                                      when the least share is in
//   the caller's deadline or the route's timeout    an error, or what is there
//
// A request whose replicas crash may be what crashes them. From the first crash
// on, and until a run of it ends well, it is at one replica at a time, is not
// hedged, and is given up when EnoughCrashes replicas have ended under it
// (package quarantine). A request that only ran beside the guilty one needs one
// reply for all of its parts to go on at once.
//
// How to drive it: call begin() once, replied() for each send that ended and
// tick() when nextTick() has come; do what comes back. After the answer it
// still wants ticks until done(): replies under way get a little time to
// arrive, which is cheaper for a replica than a closed connection, and are then
// dropped.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FORWARD_FORWARDRUN_H
#define SHALLOTSHIFT_FORWARD_FORWARDRUN_H

#include "forward/ReplicaRegistry.h"
#include "forward/RetryBudget.h"
#include "forward/WorkEstimate.h"
#include "shallotshift/limits.h"
#include "shallotshift/quarantine.h"

#include <optional>

namespace shallot {

/// A whole reply of a replica.
struct ReplicaReply {
  int Status = 0;
  HttpHeaders Headers; ///< Without those of one connection.
  std::string Body;
  std::string Signature; ///< Proves which run made it; empty: not a replica's.
  bool Encoded = false;  ///< The body is not as the replica made it.

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
  /// The connection was new and was reset, as a replica does above its cap.
  bool ConnectionRefused = false;
  /// The replica's process ended while it had the request.
  bool ReplicaCrashed = false;
};

/// What the operator and the settings allow all requests.
struct ForwardRules {
  RetryAllowance Retries;

  friend bool operator==(const ForwardRules &, const ForwardRules &) = default;
};

/// Budgets by service.
using BudgetMap = std::unordered_map<ServiceName, RetryBudget>;

/// What the runs of one daemon share.
struct ForwardShared {
  ReplicaRegistry &Replicas;
  BudgetMap &Budgets;
  WorkEstimates &Work;
  Random &Rng;
  ForwardRules Rules;
  /// Requests wait for their turn: what a hedge would use, one of them needs.
  bool RequestsQueued = false;
};

/// A caller's request, as far as the decisions need it.
struct ForwardRequest {
  std::shared_ptr<const ServingConfig> Config;
  const Route *Matched = nullptr; ///< Of Config.
  Instant Arrived;
  Duration CallerWaits{}; ///< The caller's own deadline, from Arrived.
  Caution Care = Caution::None;
  unsigned CrashedBefore = 0; ///< Replicas, in earlier attempts.
};

/// A send to start.
struct StartSend {
  unsigned Send = 0;
  ReplicaPtr To;
  Duration TimeLeft{}; ///< What the replica is told.
};

/// The greatest records of the parts that are in.
struct MergedAnswer {
  std::vector<std::string> Signatures;
  std::size_t Missing = 0;
  std::string Records;
};

/// A replica's reply, to be passed on as it is.
struct RelayedAnswer {
  ReplicaReply Reply;
};

/// An answer of our own. Codes that prove "not run" are used only when nothing
/// was sent or every send was rejected.
struct LocalAnswer {
  ResultCode Code = ResultCode::Internal;
  Duration RetryAfter{};
  std::string Why;
};

using ForwardAnswer = std::variant<MergedAnswer, RelayedAnswer, LocalAnswer>;

struct RunOutput {
  std::vector<StartSend> Start;
  std::vector<unsigned> Drop; ///< Close their connections.
  std::optional<ForwardAnswer> Answer;
};

/// What a run did, for the log line and the metrics of its request.
struct RunStats {
  unsigned Parts = 0;
  unsigned PartsSucceeded = 0;
  unsigned Sends = 0;
  unsigned Hedges = 0;
  unsigned Retries = 0;
  unsigned Rejected = 0;
  unsigned Lost = 0;
  unsigned NotSent = 0;
  unsigned Crashed = 0; ///< Replicas that ended while they had it.
  unsigned BudgetRefusals = 0;
  unsigned NoRoomWaits = 0; ///< Times that no replica had room.

  friend bool operator==(const RunStats &, const RunStats &) = default;
};

class ForwardRun {
public:
  explicit ForwardRun(ForwardRequest A)
      : Request(std::move(A)), Where(Request.Matched->Regions) {}

  /// Replicas crashed under earlier attempts, \p Before of them. To be called
  /// before begin().
  void setCaution(Caution Care, unsigned Before) {
    Request.Care = Care;
    Request.CrashedBefore = Before;
  }
  /// A newer configuration allows its route only \p Regions: whatever is sent
  /// from now on stays there too.
  void restrictRegions(const AllowedRegions &Regions) {
    Where = Where.intersect(Regions);
  }
  RunOutput begin(ForwardShared &S, Instant Now);
  RunOutput replied(ForwardShared &S, unsigned Send, SendResult Result,
                    Instant Now);
  RunOutput tick(ForwardShared &S, Instant Now);
  /// The caller closed its connection: nobody waits for an answer any more.
  RunOutput callerGone(Instant Now);

  /// When tick() is wanted next.
  Instant nextTick() const;
  bool answered() const { return Answered; }
  /// Nothing is open any more.
  bool done() const { return Answered && OpenSends == 0; }
  const ForwardRequest &request() const { return Request; }
  const RunStats &stats() const { return Story; }
  /// It makes room for others: it is answered, or only waits for stragglers. A
  /// slow replica holds queries for long and gives no reason to start fewer.
  bool freesAdmission() const { return Answered || CutoffSeen || enough(); }
  /// A replica's run of it ended well.
  bool succeeded() const { return Story.PartsSucceeded > 0; }
  /// Something of it came to a replica, or may have.
  bool reachedReplicas() const { return Story.Sends > Story.NotSent; }
  /// What it has seen of the load at replicas, for the admission of others.
  LoadSample load(Instant Now) const;

private:
  struct Part {
    ServiceName Service;
    bool In = false;
    bool GivenUp = false; ///< No further send is possible.
    unsigned Open = 0;
    unsigned MayHaveRun = 0; ///< Sends that ran or may have, open ones too.
    unsigned Sends = 0;
    Instant RetryAt = Instant::max(); ///< No replica had room; look again.
    ReplicaReply Reply;               ///< The success, or the last failure.
    bool HasReply = false;
    /// Wait at the replica that replied last, if it reported its queue.
    Duration Queued{};
    bool FoundFull = false; ///< A replica turned a send away for its queue.
    /// Waits until a run of the request has ended well.
    bool Held = false;
    SendStatus LastEnd = SendStatus::Abandoned; ///< Of a held part's last send.
  };
  struct Sent {
    unsigned Part = 0;
    ReplicaPtr To;
    Instant Started;
    Instant HedgeAt = Instant::max();
    bool Open = true;
    SendStatus How = SendStatus::Abandoned;
  };

  void decideTimes();
  void makeParts(ForwardShared &S, Instant Now);
  bool refuseAtOnce(ForwardShared &S, RunOutput &Out, Instant Now);
  LocalAnswer noReplicas(ForwardShared &S, std::size_t Servable,
                         Instant Now) const;
  std::size_t servableParts(ForwardShared &S, const AllowedRegions &In,
                            Instant Now) const;
  bool tooLate(ForwardShared &S, const Replica &To, Instant Now) const;
  bool trySend(ForwardShared &S, unsigned Index, RunOutput &Out, Instant Now);
  void send(ForwardShared &S, unsigned Index, const ReplicaPtr &To,
            RunOutput &Out, Instant Now);
  const ServiceInfo &serviceOf(const Part &P) const;
  ReplicaPtr pick(ForwardShared &S, const Part &P, unsigned Index,
                  Instant Now) const;
  void tryAgain(ForwardShared &S, unsigned Index, SendStatus Last,
                RunOutput &Out, Instant Now);
  bool careful() const;
  bool crashesEnough() const;
  bool mayStartOne() const;
  void holdAll();
  void goOn(ForwardShared &S, unsigned Index, SendStatus Last, RunOutput &Out,
            Instant Now);
  void sendHeld(ForwardShared &S, RunOutput &Out, Instant Now);
  void hedge(ForwardShared &S, RunOutput &Out, Instant Now);
  void lookForRoom(ForwardShared &S, RunOutput &Out, Instant Now);
  Instant hedgeAt(ForwardShared &S, const Part &P, const ReplicaPtr &To,
                  Instant Now) const;
  bool spend(ForwardShared &S, const Part &P, bool Hedge, Instant Now);
  void noteQueue(ForwardShared &S, Part &P, const Replica &From,
                 const SendResult &Result);
  std::size_t partsToSpare() const;
  void take(ForwardShared &S, const Sent &X, Part &P, SendResult &Result,
            Instant Now);
  bool usable(const ReplicaReply &R) const;
  void settle(RunOutput &Out, Instant Now);
  bool suffices(std::size_t Count) const;
  bool enough() const;
  bool nothingRan() const;
  void answerParts(RunOutput &Out, Instant Now);
  void answerFailure(RunOutput &Out, Instant Now, bool TimedOut);
  void finish(RunOutput &Out, ForwardAnswer Answer, Instant Now);
  void dropOpen(RunOutput &Out, Instant Now);
  void withdraw(RunOutput &Out, Instant Now);
  Duration work(ForwardShared &S) const;

  ForwardRequest Request;
  AllowedRegions Where; ///< Its replicas are in these regions.
  const ShardFanOut *Fan = nullptr;
  Instant Cutoff; ///< The objective is about to pass.
  Instant End;    ///< The last moment for an answer.
  Instant DropAt = Instant::max();
  std::vector<Part> Parts;
  std::vector<Sent> Sends;
  std::size_t SpareParts = 0; ///< That an answer may lack.
  std::size_t OpenSends = 0;
  bool AnyHeld = false; ///< Some part may be.
  bool CutoffSeen = false;
  bool Answered = false;
  Instant Began;
  RunStats Story;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FORWARD_FORWARDRUN_H
