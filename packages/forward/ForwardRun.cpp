//===- ForwardRun.cpp - Sends, retries and hedges of a request ------------===//
//
// ForwardAnswer.cpp decides when and how it answers, ForwardSendRestriction.cpp
// what is held back of a suspected request.
//
//===----------------------------------------------------------------------===//
#include "forward/ForwardRun.h"

#include "forward/RecordMerge.h"

#include <algorithm>
#include <numeric>

namespace shallot {

namespace {

/// Time left of the latency objective when a partial answer is sent: the way to
/// the caller (1 to 3 ms), merging, and one iteration of a busy event loop.
constexpr Duration ObjectiveMargin = Millis(9);
/// The body of a part that is kept as it came; of a larger one only the records
/// that can be in the answer.
constexpr std::size_t MaxPartBytes = 4 << 10;
/// The body of a replica's failure that is kept while another replica is asked.
constexpr std::size_t MaxFailureBytes = 64 << 10;
/// Time left of the deadline when an error is sent.
constexpr Duration DeadlineMargin = Millis(12);

/// A send is hedged after the RTT, this multiple of its predicted time at the
/// replica, and a little for timers. With service times that vary by a third
/// about their mean, 99 of a hundred healthy sends are faster than that.
constexpr double HedgeFactor = 1.9;
constexpr Duration HedgeSlack = Millis(8);
/// A hedge is sent early enough to arrive in time for the answer even if it
/// takes this multiple of its predicted duration.
constexpr double LatestHedgeFactor = 1.5;
/// Service times of plain requests vary more, and one send is all there is.
constexpr double PlainHedgeFactor = 2.6;
/// With less than this fraction of the budget free, or while requests wait for
/// admission, a hedge is sent only if at most DecidingParts parts are missing
/// from the minimum coverage.
constexpr double LowBudgetFraction = 0.35;
constexpr std::size_t DecidingParts = 2;

/// Limit on the sends of a part beyond Route::MaxAttempts, for those that did
/// not run: a rejected send costs a replica little, but not nothing.
constexpr unsigned MaxRejections = 2;

/// Retry interval while every replica has as many sends as it may.
constexpr Duration NoRoomRetryInterval = Millis(4);

/// A request of which nothing was sent, because no replica had room, is refused
/// after this fraction of the objective: retrying later serves the caller
/// better than a queue that it cannot see. Once a part has run, "not run" would
/// be false, and the others continue to wait.
constexpr double MaxWaitFraction = 0.2;

/// Service times vary by a third about their median; almost none is below half
/// of it.
constexpr int MinServiceTimeDivisor = 2;

bool mayRetryStatus(int Status) { return Status >= 500; }

} // namespace

ForwardRun::ForwardRun(ForwardRequest A)
    : Request(std::move(A)), ServingRegions(Request.Matched->Regions) {
  if (Request.Caller)
    restrictRegions(Request.Caller->Regions);
  computeDeadlines();
}

bool ForwardRun::acceptedByStop(ForwardShared &S, Instant Now) const {
  if (!S.Stop)
    return true;
  const Route &R = *Request.Matched;
  return S.Stop->accepts(
      {PermittedDeadline, R.Kind == RetrySemantics::Idempotent, R.Objective,
       S.ServiceTimes.of(R.Name, R.Objective).slowestRecent(Now)},
      Now);
}

void ForwardRun::answerBy(Instant Latest) {
  AnswerDeadline = std::min(AnswerDeadline, Latest);
  Cutoff = std::min(Cutoff, AnswerDeadline);
}

void ForwardRun::computeDeadlines() {
  const Route &R = *Request.Matched;
  Duration Limit = std::min(R.Timeout, Request.CallerWaits);
  PermittedDeadline =
      Request.Arrived + std::max(Duration(0), Limit - DeadlineMargin);
  AnswerDeadline = PermittedDeadline;
  // A caller that retries states the time that it has left. The latency
  // objective counts from its first attempt.
  Duration Age = R.Timeout - Limit;
  if (Age >= R.Objective)
    Age = Duration(0); // Already late, or the timeout gives no information.
  Cutoff = Request.Arrived + R.Objective - Age - ObjectiveMargin;
  Cutoff = std::clamp(Cutoff, Request.Arrived, AnswerDeadline);
}

void ForwardRun::createParts(ForwardShared &S, Instant Now) {
  auto Add = [&](const ServiceName &Name) {
    Part P;
    P.Service = Name;
    Parts.push_back(std::move(P));
    S.Budgets[Name].request(S.Rules.Retries, Now);
  };
  if (Fan)
    for (const ServiceName &Shard : Fan->Shards)
      Add(Shard);
  else if (const auto *Split =
               std::get_if<WeightedSplit>(&Request.Matched->Target))
    Add(drawService(*Split, uniform01(S.Rng)));
  else
    Add(std::get<ServiceName>(Request.Matched->Target));
  Stats.Parts = static_cast<unsigned>(Parts.size());
}

Duration ForwardRun::serviceTime(ForwardShared &S) const {
  return S.ServiceTimes.of(Request.Matched->Name, Request.Matched->Objective)
      .median();
}

RunOutput ForwardRun::begin(ForwardShared &S, Instant Now) {
  RunOutput Out;
  Fan = Request.Matched->fanOut();
  Began = Now;
  if (S.Stop)
    answerBy(S.Stop->times().AnswerUntil);
  createParts(S, Now);
  MaxMissing = maxMissingParts();
  if (rejectImmediately(S, Out, Now))
    return Out;
  if (suspected())
    holdAllParts();
  else
    for (unsigned I = 0; I < Parts.size(); ++I)
      trySend(S, I, Out, Now);
  sendHeldParts(S, Out, Now);
  answerIfReady(Out, Now);
  return Out;
}

const ServiceInfo &ForwardRun::serviceOf(const Part &P) const {
  return Request.Config->services().at(P.Service);
}

ReplicaPtr ForwardRun::pickReplica(ForwardShared &S, const Part &P,
                                   unsigned Index, Instant Now) const {
  ReplicaCriteria C;
  C.Service = &serviceOf(P);
  C.ServiceTime = serviceTime(S);
  C.Regions = ServingRegions;
  C.WithinShare = Request.Matched->Kind == RetrySemantics::AtMostOnce;
  std::vector<ReplicaPtr> Tried;
  for (const SendState &X : Sends)
    if (X.Part == Index)
      Tried.push_back(X.To);
  C.Exclude = Tried;
  double Jitter = uniform01(S.Rng);
  if (ReplicaPtr Untried = S.Replicas.choose(C, Jitter, Now))
    return Untried;
  // A replica that was tried and did not run it may be tried again.
  Tried.clear();
  for (const SendState &X : Sends)
    if (X.Part == Index &&
        (X.Open || X.How == SendStatus::Lost || X.How == SendStatus::Answered))
      Tried.push_back(X.To);
  C.Exclude = Tried;
  return S.Replicas.choose(C, Jitter, Now);
}

/// Whether a send to \p To could not be answered in time. Such a send costs a
/// replica its work and means that the caller can no longer be told "not run".
bool ForwardRun::missesDeadline(ForwardShared &S, const Replica &To,
                                Instant Now) const {
  return Now + To.roundTrip() + serviceTime(S) / MinServiceTimeDivisor >
         AnswerDeadline;
}

bool ForwardRun::trySend(ForwardShared &S, unsigned Index, RunOutput &Out,
                         Instant Now) {
  Part &P = Parts[Index];
  P.RetryAt = Instant::max();
  // A further send that is cut off would be lost for good.
  if (Request.Matched->Kind == RetrySemantics::AtMostOnce &&
      !acceptedByStop(S, Now)) {
    P.Exhausted = P.Open == 0;
    return false;
  }
  ReplicaPtr To = pickReplica(S, P, Index, Now);
  if (To && missesDeadline(S, *To, Now)) {
    P.Exhausted = P.Open == 0;
    return false;
  }
  if (To) {
    send(S, Index, To, Out, Now);
    return true;
  }
  if (S.Replicas.servable(serviceOf(P), ServingRegions, Now)) {
    P.RetryAt = Now + NoRoomRetryInterval;
    ++Stats.NoRoomWaits;
  } else if (P.Open == 0) {
    P.Exhausted = true;
  }
  return false;
}

/// When to hedge a send to \p To: after it has taken longer than such sends do,
/// but early enough that the hedge can be answered before the cutoff, and never
/// before the answer is expected.
Instant ForwardRun::hedgeAt(ForwardShared &S, const Part &P,
                            const ReplicaPtr &To, Instant Now) const {
  Duration ServiceTime = serviceTime(S);
  Duration Expected = To->expected(ServiceTime, Now);
  Duration Rtt = To->roundTrip();
  double Factor = Fan ? HedgeFactor : PlainHedgeFactor;
  Duration HedgeDelay =
      Rtt + HedgeSlack + fromMillisF(toMillisF(Expected - Rtt) * Factor);
  Duration Other =
      S.Replicas.fastestOther(P.Service, ServingRegions, To, ServiceTime, Now);
  if (Other == Duration::max())
    return Now + HedgeDelay;
  Duration Latest =
      Cutoff - Now - fromMillisF(toMillisF(Other) * LatestHedgeFactor);
  return Now + std::min(HedgeDelay, std::max(Latest, Expected));
}

void ForwardRun::send(ForwardShared &S, unsigned Index, const ReplicaPtr &To,
                      RunOutput &Out, Instant Now) {
  Part &P = Parts[Index];
  SendState X;
  X.Part = Index;
  X.To = To;
  X.Started = Now;
  X.ServiceTime = serviceTime(S);
  if (Request.Matched->Kind == RetrySemantics::Idempotent)
    X.HedgeAt = hedgeAt(S, P, To, Now);
  Out.Start.push_back({static_cast<unsigned>(Sends.size()), To,
                       std::max(Duration(0), AnswerDeadline - Now)});
  Sends.push_back(std::move(X));
  To->sendStarted(Now);
  ++P.Open;
  ++P.MayHaveRun;
  ++P.Sends;
  ++OpenSends;
  ++Stats.Sends;
}

bool ForwardRun::spendBudget(ForwardShared &S, const Part &P, bool Hedge,
                             Instant Now) {
  RetryBudget &B = S.Budgets[P.Service];
  double Share = S.Replicas.fleetShare().RetryShare;
  bool Deciding =
      Parts.size() - Stats.PartsSucceeded <= MaxMissing + DecidingParts;
  bool Scarce = S.RequestsQueued ||
                B.freeFraction(S.Rules.Retries, Share, Now) < LowBudgetFraction;
  if (Hedge && !Deciding && Scarce)
    return false;
  if (B.trySpend(S.Rules.Retries, Share, Now))
    return true;
  ++Stats.BudgetRefusals;
  return false;
}

/// The part's last send ended as \p Last without a usable reply: retries it, or
/// marks the part as exhausted.
void ForwardRun::retryPart(ForwardShared &S, unsigned Index, SendStatus Last,
                           RunOutput &Out, Instant Now) {
  Part &P = Parts[Index];
  if (P.Succeeded || P.Open > 0 || P.Exhausted)
    return;
  bool Allowed = P.MayHaveRun < Request.Matched->MaxAttempts &&
                 P.Sends < Request.Matched->MaxAttempts + MaxRejections &&
                 (Request.Matched->Kind == RetrySemantics::Idempotent ||
                  P.MayHaveRun == 0);
  // A send that never left this process costs nothing.
  bool NeverSent = Last == SendStatus::NotSent;
  if (!Allowed || (!NeverSent && !spendBudget(S, P, false, Now))) {
    P.Exhausted = true;
    return;
  }
  if (trySend(S, Index, Out, Now))
    ++Stats.Retries;
}

void ForwardRun::sendHedges(ForwardShared &S, RunOutput &Out, Instant Now) {
  if (suspected())
    return;
  std::size_t Count = Sends.size();
  for (std::size_t I = 0; I < Count; ++I) {
    if (!Sends[I].Open || Sends[I].HedgeAt > Now)
      continue;
    Sends[I].HedgeAt = Instant::max();
    unsigned Index = Sends[I].Part;
    const Part &P = Parts[Index];
    if (P.Succeeded || P.MayHaveRun >= Request.Matched->MaxAttempts ||
        P.RetryAt != Instant::max())
      continue;
    // Select first: the budget must not be charged if there is no replica.
    ReplicaPtr Other = pickReplica(S, P, Index, Now);
    if (!Other || missesDeadline(S, *Other, Now) ||
        !spendBudget(S, P, true, Now))
      continue;
    send(S, Index, Other, Out, Now);
    ++Stats.Hedges;
  }
}

void ForwardRun::retryUnplaced(ForwardShared &S, RunOutput &Out, Instant Now) {
  Instant GiveUpAt =
      Request.Arrived +
      fromMillisF(toMillisF(Request.Matched->Objective) * MaxWaitFraction);
  for (unsigned I = 0; I < Parts.size(); ++I)
    if (Parts[I].RetryAt <= Now && !Parts[I].Succeeded)
      trySend(S, I, Out, Now);
  if (Now < GiveUpAt || !nothingRan())
    return;
  for (Part &P : Parts)
    P.Exhausted = true;
}

bool ForwardRun::isUsable(const ReplicaReply &R) const {
  return R.success() && !R.Signature.empty() && !R.Encoded;
}

/// A replica rejects sends either because its queue is full, in which case as
/// many requests wait as ever did, or because it is faulty, in which case it
/// rejects at any queue length. Only the former is a reason to admit fewer
/// requests.
void ForwardRun::recordQueue(ForwardShared &S, Part &P, const Replica &From,
                             const SendResult &Result) {
  if (!Result.Load)
    return;
  unsigned Waiting = Result.Load->Waiting;
  double Slots = std::max(1U, Result.Load->Slots);
  P.Queued = fromMillisF(toMillisF(serviceTime(S)) * Waiting / Slots);
  P.FoundReplicaFull |= Result.How == SendStatus::Rejected &&
                        Waiting >= Slots && Waiting >= From.longestQueue();
}

/// How many parts an answer may lack.
std::size_t ForwardRun::maxMissingParts() const {
  std::size_t Spare = 0;
  while (Spare < Parts.size() && meetsMinCoverage(Parts.size() - Spare - 1))
    ++Spare;
  return Spare;
}

FairClaim ForwardRequest::claim(Duration ServiceTime) const {
  FairClaim C;
  if (Config->callers().empty())
    return C;
  const Organisation *Payer = Caller;
  if (!Payer && Matched->Owner)
    Payer = Config->callers().find(*Matched->Owner);
  if (Payer) {
    C.Organisation = Payer->Name;
    C.Weight = Payer->Share.Weight;
  }
  const ShardFanOut *Fan = Matched->fanOut();
  std::size_t Sends = Fan ? Fan->Shards.size() : 1;
  C.Cost = toMillisF(ServiceTime) * static_cast<double>(Sends);
  return C;
}

/// A shard that lost its replicas is full at any load. As many of the worst
/// parts as an answer may lack are left out of the sample, since they do not
/// tell how many requests may start.
LoadSample ForwardRun::load(Instant Now) const {
  std::vector<Duration> Queues;
  std::size_t LostToFull = 0;
  for (const Part &P : Parts) {
    Queues.push_back(P.Queued);
    LostToFull += !P.Succeeded && P.FoundReplicaFull;
  }
  std::ranges::sort(Queues);
  Queues.resize(std::max<std::size_t>(1, Queues.size() - MaxMissing));
  LoadSample L;
  L.Latency = Now - Began;
  L.Queued = std::accumulate(Queues.begin(), Queues.end(), Duration(0)) /
             static_cast<std::int64_t>(Queues.size());
  L.Overloaded = LostToFull > MaxMissing;
  if (!Parts.empty())
    L.ExtraSends = double(Stats.Hedges + Stats.Retries) / double(Parts.size());
  return L;
}

std::size_t ForwardRun::keptBytes() const {
  std::size_t Sum = 0;
  for (const Part &P : Parts)
    Sum += P.Reply.Body.capacity();
  return Sum;
}

void ForwardRun::recordResult(ForwardShared &S, const SendState &X, Part &P,
                              SendResult &Result, Instant Now) {
  switch (Result.How) {
  case SendStatus::Rejected:
    --P.MayHaveRun;
    ++Stats.Rejected;
    return;
  case SendStatus::NotSent:
    --P.MayHaveRun;
    ++Stats.NotSent;
    return;
  case SendStatus::Lost:
  case SendStatus::Abandoned:
    ++Stats.Lost;
    Stats.Crashed += Result.ReplicaCrashed;
    return;
  case SendStatus::Answered:
    break;
  }
  if (isUsable(*Result.Reply))
    S.ServiceTimes.of(Request.Matched->Name, Request.Matched->Objective)
        .observe(Now - X.Started - X.To->roundTrip(), Now);
  if (P.Succeeded)
    return; // The other send of a hedged pair was first.
  P.HasReply = true;
  P.Reply = std::move(*Result.Reply);
  bool Usable = isUsable(P.Reply);
  // The other parts may be long in coming, and no more than this is used.
  if (Fan && !Usable)
    std::string().swap(P.Reply.Body); // An assignment would keep its memory.
  else if (Fan && P.Reply.Body.size() > MaxPartBytes)
    P.Reply.Body = greatestRecords({P.Reply.Body}, Fan->MaxRecords);
  if (!Usable)
    return;
  P.Succeeded = true;
  ++Stats.PartsSucceeded;
}

/// What is kept until another replica has answered is not bounded by the memory
/// for replies. Without it, the request ends with an answer of the daemon.
void ForwardRun::dropLargeFailure(Part &P) {
  if (Answered || P.Succeeded || P.Reply.Body.size() <= MaxFailureBytes)
    return;
  std::string().swap(P.Reply.Body);
  P.HasReply = false;
}

RunOutput ForwardRun::replied(ForwardShared &S, unsigned Send,
                              SendResult Result, Instant Now) {
  RunOutput Out;
  SendState &X = Sends[Send];
  if (!X.Open)
    return Out;
  X.Open = false;
  X.How = Result.How;
  --OpenSends;
  Part &P = Parts[X.Part];
  --P.Open;
  bool Unusable =
      Result.How == SendStatus::Answered &&
      (!Result.Reply || (Result.Reply->success() && !isUsable(*Result.Reply)));
  if (Unusable)
    Result.How = X.How = SendStatus::Lost;
  bool Failure = Result.How == SendStatus::Answered &&
                 !Result.Reply->success() &&
                 mayRetryStatus(Result.Reply->Status);
  // For its replica, a failed run counts like a rejected send.
  X.To->sendEnded(X.Started, Failure ? SendStatus::Rejected : Result.How,
                  serviceTime(S), Now);
  if (Result.How == SendStatus::Answered && !Failure)
    S.Replicas.sharing().observed(X.To, Now);
  if (Result.Opened)
    X.To->rtt().opened(*Result.Opened);
  if (Result.ConnectionRefused)
    X.To->allowance().refused(Now);
  if (Result.WrongReplica)
    X.To->sendEnded(X.Started, SendStatus::NotSent, serviceTime(S), Now);
  if (Result.Load)
    X.To->loadReported(*Result.Load, Now);
  recordQueue(S, P, *X.To, Result);
  unsigned Index = X.Part;
  recordResult(S, X, P, Result, Now);
  if (Answered)
    return Out;
  bool Final = P.HasReply && !P.Succeeded && !mayRetryStatus(P.Reply.Status);
  if (Final)
    P.Exhausted = true; // Another replica would reply the same.
  if (crashLimitReached())
    answerFailure(Out, Now, false);
  else if (Now < AnswerDeadline)
    sendNext(S, Index, Result.How, Out, Now);
  answerIfReady(Out, Now);
  dropLargeFailure(Parts[Index]);
  return Out;
}

RunOutput ForwardRun::tick(ForwardShared &S, Instant Now) {
  RunOutput Out;
  if (Answered) {
    if (Now >= DropAt)
      dropOpen(Out, Now);
    for (unsigned Send : Out.Drop)
      S.Replicas.sharing().observed(Sends[Send].To, Now);
    return Out;
  }
  CutoffPassed = CutoffPassed || Now >= Cutoff;
  if (Now < AnswerDeadline) {
    sendHedges(S, Out, Now);
    retryUnplaced(S, Out, Now);
    sendHeldParts(S, Out, Now);
  }
  answerIfReady(Out, Now);
  return Out;
}

} // namespace shallot
