//===- ForwardRun.cpp -----------------------------------------------------===//
//
// Sends, second sends and replies. When and how it answers is in
// ForwardAnswer.cpp, what is held back of a suspected request in
// ForwardCaution.cpp.
//
//===----------------------------------------------------------------------===//
#include "forward/ForwardRun.h"

#include <algorithm>
#include <numeric>

namespace shallot {

namespace {

/// Left of the objective when a partial answer goes out: the way to the caller
/// (1 to 3 ms), merging, and a turn of a busy loop.
constexpr Duration ObjectiveMargin = Millis(9);
/// Left of the deadline when an error goes out.
constexpr Duration EndMargin = Millis(12);

/// A send is hedged when it has taken this many times what was predicted, and a
/// little for timers. With work that spreads by a third about its mean this is
/// beyond the 99th part of a hundred of healthy sends.
constexpr double HedgeFactor = 1.9;
constexpr Duration HedgeSlack = Millis(8);
/// A hedge is sent early enough to take this many times what is predicted of it
/// and still be back for the answer.
constexpr double LatestHedgeFactor = 1.5;
/// A plain request's work spreads more, and one send is all there is.
constexpr double PlainHedgeFactor = 2.6;
/// With less than this part of the budget free, or while requests wait for
/// replicas, only parts that decide the answer are hedged: when so few are
/// missing from the least share that an answer needs.
constexpr double ScarceBudget = 0.35;
constexpr std::size_t DecidingParts = 2;

/// Sends of one part beyond those that may have run: rejected ones cost a
/// replica little, but not nothing.
constexpr unsigned MostRejections = 2;

/// How soon to look again when every replica has as many sends as it may.
constexpr Duration RoomPeriod = Millis(4);

/// A request of which nothing was sent, because no replica had room, is refused
/// after this part of the objective: the caller does better to come back than
/// to stand in a queue that it cannot see. Once a part has run there is no
/// honest refusal any more, and the others go on waiting.
constexpr double WaitPart = 0.2;

/// Work spreads by a third about its median; next to none is done in half of
/// it.
constexpr int LeastWorkParts = 2;

bool mayRetryStatus(int Status) { return Status >= 500; }

} // namespace

void ForwardRun::decideTimes() {
  const Route &R = *Request.Matched;
  Duration Limit = std::min(R.Timeout, Request.CallerWaits);
  End = Request.Arrived + std::max(Duration(0), Limit - EndMargin);
  // A caller that tries again says how much of its time is left. Its objective
  // runs from its first try.
  Duration Age = R.Timeout - Limit;
  if (Age >= R.Objective)
    Age = Duration(0); // It is late anyway; or the timeout says nothing.
  Cutoff = Request.Arrived + R.Objective - Age - ObjectiveMargin;
  Cutoff = std::clamp(Cutoff, Request.Arrived, End);
}

void ForwardRun::makeParts(ForwardShared &S, Instant Now) {
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
  Story.Parts = static_cast<unsigned>(Parts.size());
}

Duration ForwardRun::work(ForwardShared &S) const {
  return S.Work.of(Request.Matched->Name, Request.Matched->Objective).median();
}

RunOutput ForwardRun::begin(ForwardShared &S, Instant Now) {
  RunOutput Out;
  Fan = Request.Matched->fanOut();
  Began = Now;
  decideTimes();
  makeParts(S, Now);
  SpareParts = partsToSpare();
  if (refuseAtOnce(S, Out, Now))
    return Out;
  if (careful())
    holdAll();
  else
    for (unsigned I = 0; I < Parts.size(); ++I)
      trySend(S, I, Out, Now);
  sendHeld(S, Out, Now);
  settle(Out, Now);
  return Out;
}

const ServiceInfo &ForwardRun::serviceOf(const Part &P) const {
  return Request.Config->services().at(P.Service);
}

ReplicaPtr ForwardRun::pick(ForwardShared &S, const Part &P, unsigned Index,
                            Instant Now) const {
  ReplicaCriteria C;
  C.Service = &serviceOf(P);
  C.Work = work(S);
  C.Regions = Where;
  C.WithinShare = Request.Matched->Kind == RetrySemantics::AtMostOnce;
  std::vector<ReplicaPtr> Tried;
  for (const Sent &X : Sends)
    if (X.Part == Index)
      Tried.push_back(X.To);
  C.Exclude = Tried;
  double Jitter = uniform01(S.Rng);
  if (ReplicaPtr Fresh = S.Replicas.choose(C, Jitter, Now))
    return Fresh;
  // Of those tried, one that did not run it may be asked again.
  Tried.clear();
  for (const Sent &X : Sends)
    if (X.Part == Index &&
        (X.Open || X.How == SendStatus::Lost || X.How == SendStatus::Answered))
      Tried.push_back(X.To);
  C.Exclude = Tried;
  return S.Replicas.choose(C, Jitter, Now);
}

/// A send whose answer cannot be back is no offer: it costs a replica its work
/// and the caller an honest "not run".
bool ForwardRun::tooLate(ForwardShared &S, const Replica &To,
                         Instant Now) const {
  return Now + To.roundTrip() + work(S) / LeastWorkParts > End;
}

bool ForwardRun::trySend(ForwardShared &S, unsigned Index, RunOutput &Out,
                         Instant Now) {
  Part &P = Parts[Index];
  P.RetryAt = Instant::max();
  ReplicaPtr To = pick(S, P, Index, Now);
  if (To && tooLate(S, *To, Now)) {
    P.GivenUp = P.Open == 0;
    return false;
  }
  if (To) {
    send(S, Index, To, Out, Now);
    return true;
  }
  if (S.Replicas.servable(serviceOf(P), Where, Now)) {
    P.RetryAt = Now + RoomPeriod;
    ++Story.NoRoomWaits;
  } else if (P.Open == 0) {
    P.GivenUp = true;
  }
  return false;
}

/// When a send to \p To has taken longer than such sends do, but soon enough
/// that another one can be back before the cutoff; never before the answer is
/// due.
Instant ForwardRun::hedgeAt(ForwardShared &S, const Part &P,
                            const ReplicaPtr &To, Instant Now) const {
  Duration Work = work(S);
  Duration Expected = To->expected(Work, Now);
  Duration There = To->roundTrip();
  double Factor = Fan ? HedgeFactor : PlainHedgeFactor;
  Duration HedgeDelay =
      There + HedgeSlack + fromMillisF(toMillisF(Expected - There) * Factor);
  Duration Other = S.Replicas.quickestBesides(P.Service, Where, To, Work, Now);
  if (Other == Duration::max())
    return Now + HedgeDelay;
  Duration Latest =
      Cutoff - Now - fromMillisF(toMillisF(Other) * LatestHedgeFactor);
  return Now + std::min(HedgeDelay, std::max(Latest, Expected));
}

void ForwardRun::send(ForwardShared &S, unsigned Index, const ReplicaPtr &To,
                      RunOutput &Out, Instant Now) {
  Part &P = Parts[Index];
  Sent X;
  X.Part = Index;
  X.To = To;
  X.Started = Now;
  if (Request.Matched->Kind == RetrySemantics::Idempotent)
    X.HedgeAt = hedgeAt(S, P, To, Now);
  Out.Start.push_back({static_cast<unsigned>(Sends.size()), To,
                       std::max(Duration(0), End - Now)});
  Sends.push_back(std::move(X));
  To->sendStarted(Now);
  ++P.Open;
  ++P.MayHaveRun;
  ++P.Sends;
  ++OpenSends;
  ++Story.Sends;
}

bool ForwardRun::spend(ForwardShared &S, const Part &P, bool Hedge,
                       Instant Now) {
  RetryBudget &B = S.Budgets[P.Service];
  double Share = S.Replicas.fleetShare().RetryShare;
  bool Deciding =
      Parts.size() - Story.PartsSucceeded <= SpareParts + DecidingParts;
  bool Scarce = S.RequestsQueued ||
                B.freeFraction(S.Rules.Retries, Share, Now) < ScarceBudget;
  if (Hedge && !Deciding && Scarce)
    return false;
  if (B.trySpend(S.Rules.Retries, Share, Now))
    return true;
  ++Story.BudgetRefusals;
  return false;
}

/// The part's last send ended as \p Last without an answer that can be used:
/// another one, or none is possible.
void ForwardRun::tryAgain(ForwardShared &S, unsigned Index, SendStatus Last,
                          RunOutput &Out, Instant Now) {
  Part &P = Parts[Index];
  if (P.In || P.Open > 0 || P.GivenUp)
    return;
  bool Allowed = P.MayHaveRun < Request.Matched->MaxAttempts &&
                 P.Sends < Request.Matched->MaxAttempts + MostRejections &&
                 (Request.Matched->Kind == RetrySemantics::Idempotent ||
                  P.MayHaveRun == 0);
  // A send that never left reached no replica.
  bool Free = Last == SendStatus::NotSent;
  if (!Allowed || (!Free && !spend(S, P, false, Now))) {
    P.GivenUp = true;
    return;
  }
  if (trySend(S, Index, Out, Now))
    ++Story.Retries;
}

void ForwardRun::hedge(ForwardShared &S, RunOutput &Out, Instant Now) {
  if (careful())
    return;
  std::size_t Count = Sends.size();
  for (std::size_t I = 0; I < Count; ++I) {
    if (!Sends[I].Open || Sends[I].HedgeAt > Now)
      continue;
    Sends[I].HedgeAt = Instant::max();
    unsigned Index = Sends[I].Part;
    const Part &P = Parts[Index];
    if (P.In || P.MayHaveRun >= Request.Matched->MaxAttempts ||
        P.RetryAt != Instant::max())
      continue;
    // Nobody to ask: the budget must not be spent.
    ReplicaPtr Other = pick(S, P, Index, Now);
    if (!Other || tooLate(S, *Other, Now) || !spend(S, P, true, Now))
      continue;
    send(S, Index, Other, Out, Now);
    ++Story.Hedges;
  }
}

void ForwardRun::lookForRoom(ForwardShared &S, RunOutput &Out, Instant Now) {
  Instant GiveUpAt =
      Request.Arrived +
      fromMillisF(toMillisF(Request.Matched->Objective) * WaitPart);
  for (unsigned I = 0; I < Parts.size(); ++I)
    if (Parts[I].RetryAt <= Now && !Parts[I].In)
      trySend(S, I, Out, Now);
  if (Now < GiveUpAt || !nothingRan())
    return;
  for (Part &P : Parts)
    P.GivenUp = true;
}

bool ForwardRun::usable(const ReplicaReply &R) const {
  return R.success() && !R.Signature.empty() && !R.Encoded;
}

/// A replica sheds for two reasons: it is full, and then as many wait there as
/// ever do, or it is sick, and then it sheds whatever waits. Only the first is
/// a reason to start fewer.
void ForwardRun::noteQueue(ForwardShared &S, Part &P, const Replica &From,
                           const SendResult &Result) {
  if (!Result.Load)
    return;
  unsigned Waiting = Result.Load->Waiting;
  double Slots = std::max(1U, Result.Load->Slots);
  P.Queued = fromMillisF(toMillisF(work(S)) * Waiting / Slots);
  P.FoundFull |= Result.How == SendStatus::Rejected && Waiting >= Slots &&
                 Waiting >= From.longestQueue();
}

/// Parts that an answer may lack and still be one.
std::size_t ForwardRun::partsToSpare() const {
  std::size_t Spare = 0;
  while (Spare < Parts.size() && suffices(Parts.size() - Spare - 1))
    ++Spare;
  return Spare;
}

/// One shard that lost its replicas is full whatever is done. An answer can do
/// without as many parts as its route spares, so those that are worst off say
/// nothing about how many requests may start.
LoadSample ForwardRun::load(Instant Now) const {
  std::vector<Duration> Queues;
  std::size_t LostToFull = 0;
  for (const Part &P : Parts) {
    Queues.push_back(P.Queued);
    LostToFull += !P.In && P.FoundFull;
  }
  std::ranges::sort(Queues);
  Queues.resize(std::max<std::size_t>(1, Queues.size() - SpareParts));
  LoadSample L;
  L.Latency = Now - Began;
  L.Queued = std::accumulate(Queues.begin(), Queues.end(), Duration(0)) /
             static_cast<std::int64_t>(Queues.size());
  L.Overloaded = LostToFull > SpareParts;
  return L;
}

void ForwardRun::take(ForwardShared &S, const Sent &X, Part &P,
                      SendResult &Result, Instant Now) {
  switch (Result.How) {
  case SendStatus::Rejected:
    --P.MayHaveRun;
    ++Story.Rejected;
    return;
  case SendStatus::NotSent:
    --P.MayHaveRun;
    ++Story.NotSent;
    return;
  case SendStatus::Lost:
  case SendStatus::Abandoned:
    ++Story.Lost;
    Story.Crashed += Result.ReplicaCrashed;
    return;
  case SendStatus::Answered:
    break;
  }
  if (usable(*Result.Reply))
    S.Work.of(Request.Matched->Name, Request.Matched->Objective)
        .observe(Now - X.Started - X.To->roundTrip());
  if (P.In)
    return; // The other send of a hedged pair was first.
  P.HasReply = true;
  P.Reply = std::move(*Result.Reply);
  if (!usable(P.Reply))
    return;
  P.In = true;
  ++Story.PartsSucceeded;
}

RunOutput ForwardRun::replied(ForwardShared &S, unsigned Send,
                              SendResult Result, Instant Now) {
  RunOutput Out;
  Sent &X = Sends[Send];
  if (!X.Open)
    return Out;
  X.Open = false;
  X.How = Result.How;
  --OpenSends;
  Part &P = Parts[X.Part];
  --P.Open;
  bool Unusable =
      Result.How == SendStatus::Answered &&
      (!Result.Reply || (Result.Reply->success() && !usable(*Result.Reply)));
  if (Unusable)
    Result.How = X.How = SendStatus::Lost;
  bool Failure = Result.How == SendStatus::Answered &&
                 !Result.Reply->success() &&
                 mayRetryStatus(Result.Reply->Status);
  // To its replica a failed run is as bad as a lost one.
  X.To->sendEnded(X.Started, Failure ? SendStatus::Rejected : Result.How,
                  work(S), Now);
  if (Result.Opened)
    X.To->rtt().opened(*Result.Opened);
  if (Result.ConnectionRefused)
    X.To->allowance().refused(Now);
  if (Result.WrongReplica)
    X.To->sendEnded(X.Started, SendStatus::NotSent, work(S), Now);
  if (Result.Load)
    X.To->loadReported(*Result.Load, Now);
  noteQueue(S, P, *X.To, Result);
  unsigned Index = X.Part;
  take(S, X, P, Result, Now);
  if (Answered)
    return Out;
  bool Final = P.HasReply && !P.In && !mayRetryStatus(P.Reply.Status);
  if (Final)
    P.GivenUp = true; // Another replica would say the same.
  if (crashesEnough())
    answerFailure(Out, Now, false);
  else if (Now < End)
    goOn(S, Index, Result.How, Out, Now);
  settle(Out, Now);
  return Out;
}

RunOutput ForwardRun::tick(ForwardShared &S, Instant Now) {
  RunOutput Out;
  if (Answered) {
    if (Now >= DropAt)
      dropOpen(Out, Now);
    return Out;
  }
  CutoffSeen = CutoffSeen || Now >= Cutoff;
  if (Now < End) {
    hedge(S, Out, Now);
    lookForRoom(S, Out, Now);
    sendHeld(S, Out, Now);
  }
  settle(Out, Now);
  return Out;
}

} // namespace shallot
