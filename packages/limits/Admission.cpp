#include "limits/Admission.h"

#include <algorithm>

namespace shallot {

namespace {

/// A request may wait if its expected wait is within this fraction of its time
/// until expiry. With the whole time, half of the requests that wait would be
/// refused in the end, because estimates are too low as often as too high.
constexpr double MaxWaitFraction = 0.7;

/// Sub-requests may wait for slots on average for the shortest deadline divided
/// by this. A longer wait uses up the time that stragglers need, a shorter one
/// leaves slots idle (figures in docs/design/limits.md).
constexpr int QueuedDeadlineDivisor = 10;

/// A place is kept for a caller within this part of the time that it has left.
/// One that comes back later has no time for another try.
constexpr int ReturnDeadlineDivisor = 3;

Duration intervalOf(double Rate) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / Rate));
}

} // namespace

Admission::Admission(const Preset &P, ConcurrencyLimitOptions O) : Limit(O) {
  setPreset(P);
}

Admission::Admission(const ClassPolicies &Policies, Duration TargetQueued,
                     ConcurrencyLimitOptions O)
    : Limit(O) {
  setClasses(Policies, TargetQueued);
}

void Admission::setPreset(const Preset &P) {
  Duration Shortest = MaxDeadline;
  for (const auto &[Class, Policy] : P->Classes)
    Shortest = std::min(Shortest, Policy.Deadline);
  setClasses(P->Classes, Shortest / QueuedDeadlineDivisor);
}

void Admission::setClasses(const ClassPolicies &Policies,
                           Duration TargetQueued) {
  for (auto &[Class, Q] : Classes)
    Q.InPreset = Policies.contains(Class);
  for (const auto &[Class, Policy] : Policies) {
    ClassQueue &Q = Classes[Class];
    Q.Class = Class;
    Q.Policy = Policy;
    Q.InPreset = true;
  }
  Limit.setTargetQueued(TargetQueued);
  // Removed classes are kept only while requests wait in them.
  std::erase_if(Classes, [](const auto &Row) {
    return !Row.second.InPreset && Row.second.Waiting.empty();
  });
}

Admission::Waiter Admission::waiterFor(const AdmissionRequest &R,
                                       const ClassQueue &Q, Instant Now) const {
  Instant LatestStart = R.Deadline - Q.Latency.value();
  Instant QueueEnd = Now + Q.Policy.QueueWait;
  if (LatestStart < QueueEnd)
    return {R.Id, LatestStart, true, R.Claim.Cost, R.Claim.Key, R.Deadline};
  return {R.Id, QueueEnd, false, R.Claim.Cost, R.Claim.Key, R.Deadline};
}

AdmissionDecision Admission::offer(const AdmissionRequest &R, Instant Now) {
  auto It = Classes.find(R.Class);
  if (It == Classes.end() || !It->second.InPreset)
    return AdmissionDecision::refuse(ResultCode::UnknownClass, MinRetryAfter);
  LastNow = Now;
  ClassQueue &Q = It->second;
  bool Promised = Q.Promises.size() > 0 && Q.Promises.redeem(R.Claim.Key, Now);
  std::size_t Ahead =
      Promised ? Q.Waiting.promised() : Q.Waiting.ahead(R.Claim);
  Duration ExpectedWait = expectedWait(Q, Ahead);
  if (!Promised)
    ExpectedWait = newcomerWait(Q, R.Claim, Ahead, ExpectedWait);
  if (R.Deadline <= Now)
    return AdmissionDecision::refuse(ResultCode::WouldMissDeadline,
                                     clampRetryAfter(ExpectedWait));
  // Below the limit a request starts regardless of the typical latency: a
  // latency that led to refusing everything would never be measured again.
  if (mayStart() && WaitingPositions.empty()) {
    Q.Waiting.startedAtOnce(R.Claim, Now);
    InFlight.emplace(R.Id, Started{R.Class, R.Claim});
    return AdmissionDecision::start();
  }
  bool Full = Q.Waiting.size() >= Q.Policy.QueueLimit;
  if (Full && Ahead == Q.Waiting.size())
    return refusal(Q, ResultCode::QueueFull, R.Claim, R.Deadline, ExpectedWait);
  Waiter W = waiterFor(R, Q, Now);
  W.Promised = Promised;
  if (toMillisF(ExpectedWait) > MaxWaitFraction * toMillisF(W.Expires - Now))
    return refusal(Q,
                   W.ByDeadline ? ResultCode::WouldMissDeadline
                                : ResultCode::Overloaded,
                   R.Claim, R.Deadline, ExpectedWait);
  if (Full)
    evictLast(Q);
  enqueue(Q, R, W);
  return AdmissionDecision::wait();
}

double Admission::startsPerSecond(const ClassQueue &Q) const {
  if (double Rate = Q.Rate.perSecond(LastNow); Rate > 0)
    return Rate;
  Duration Interval = startInterval();
  return Interval > Duration{0} ? 1000 / toMillisF(Interval) : 0;
}

/// A refusal with a time at which a place is kept, if there is one that the
/// caller can use.
AdmissionDecision Admission::refusal(ClassQueue &Q, ResultCode Code,
                                     const FairClaim &C, Instant Deadline,
                                     Duration ExpectedWait) {
  Duration Told = clampRetryAfter(ExpectedWait);
  if (C.Organisation.empty())
    return AdmissionDecision::refuse(Code, Told);
  Duration Longest = (Deadline - LastNow) / ReturnDeadlineDivisor;
  double Starts = startsPerSecond(Q);
  internal::PromiseRate Rate{Q.Waiting.shareOf(C, Starts, LastNow), Starts};
  Instant Earliest = LastNow + Told;
  if (C.Key == 0)
    return AdmissionDecision::refuse(Code, Told);
  if (auto At = Q.Promises.promise(C.Organisation, C.Key, Rate, Earliest,
                                   LastNow + Longest))
    return AdmissionDecision::refuse(Code, *At - LastNow);
  // All places up to Longest are promised. Such callers are spread over as long
  // a time after it.
  constexpr std::uint64_t Steps = 1024;
  Duration Later =
      Longest * static_cast<std::int64_t>(C.Key % Steps) / std::int64_t(Steps);
  return AdmissionDecision::refuse(
      Code, clampRetryAfter(std::max(Told, Longest + Later)));
}

void Admission::enqueue(ClassQueue &Q, const AdmissionRequest &R,
                        const Waiter &W) {
  Q.Rate.setWaiting(true, LastNow);
  Place Who = Q.Waiting.push(R.Claim, Arrivals++, W, LastNow);
  Q.ByExpiry.insert({W.Expires, Who});
  WaitingPositions[R.Id] = {&Q, Who};
}

/// Makes room for a request of an organisation that is less above its share.
void Admission::evictLast(ClassQueue &Q) {
  Duration ExpectedWait = expectedWait(Q, Q.Waiting.size());
  Place Last = Q.Waiting.last();
  FairClaim Claim = Last.claim();
  Waiter W = removeWaiter(Q, Last);
  Evicted.push_back({W.Id, refusal(Q, ResultCode::QueueFull, Claim, W.Deadline,
                                   ExpectedWait)});
}

Duration Admission::startInterval() const {
  // Little's law: at the limit, one request ends per interval.
  return Limit.typicalLatency() / static_cast<std::int64_t>(Limit.limit());
}

Duration Admission::expectedWait(const ClassQueue &Q,
                                 std::size_t AheadInClass) const {
  auto InClass = static_cast<std::int64_t>(AheadInClass + 1);
  // A measured rate also accounts for requests of better priority that are
  // still to arrive.
  if (double Rate = Q.Rate.perSecond(LastNow); Rate > 0)
    return intervalOf(Rate) * InClass;
  std::size_t Better = 0;
  for (const auto &[Class, Other] : Classes)
    if (&Other != &Q && Other.Policy.Priority <= Q.Policy.Priority)
      Better += Other.Waiting.size();
  Duration BehindBetter =
      startInterval() * (static_cast<std::int64_t>(Better) + InClass);
  Duration AtMinShare =
      startInterval() * static_cast<std::int64_t>(1 / MinClassShare) * InClass;
  return std::min(BehindBetter, AtMinShare);
}

/// A newcomer also waits for those that come back meanwhile, and for its own
/// organisation's share.
Duration Admission::newcomerWait(const ClassQueue &Q, const FairClaim &C,
                                 std::size_t Ahead, Duration Wait) const {
  if (Q.Promises.size() > 0)
    Wait =
        expectedWait(Q, Ahead + Q.Promises.expected(LastNow, LastNow + Wait));
  return std::max(Wait, Q.Waiting.ownWait(C, LastNow));
}

void Admission::done(TicketId Id, const LoadSample &S, Instant Now) {
  LastNow = Now;
  std::size_t Before = InFlight.size();
  auto It = InFlight.find(Id);
  if (It == InFlight.end())
    return;
  const Started &Ended = It->second;
  if (auto Q = Classes.find(Ended.Class); Q != Classes.end()) {
    Q->second.Latency.add(S.Latency);
    if (S.ExtraSends > 0)
      Q->second.Waiting.charge(Ended.Claim, S.ExtraSends, Now);
  }
  InFlight.erase(It);
  Limit.observe(S, Before, Now);
}

bool Admission::cancel(TicketId Id) {
  if (InFlight.erase(Id) > 0)
    return true;
  auto It = WaitingPositions.find(Id);
  if (It == WaitingPositions.end())
    return false;
  ClassQueue &Q = *It->second.In;
  Place Who = It->second.Who;
  // Its place could have served another caller.
  FairClaim Wasted = Who.claim();
  removeWaiter(Q, Who);
  Q.Waiting.charge(Wasted, 1, LastNow);
  return true;
}

Admission::Waiter Admission::removeWaiter(ClassQueue &Q, Place Who) {
  Waiter W = Q.Waiting.remove(Who, LastNow);
  removed(Q, W, Who);
  return W;
}

void Admission::removed(ClassQueue &Q, const Waiter &W, Place Who) {
  Q.ByExpiry.erase({W.Expires, Who});
  WaitingPositions.erase(W.Id);
  if (Q.Waiting.empty()) {
    Q.Credit = 0;
    Q.Rate.setWaiting(false, LastNow);
  }
}

AdmissionEvents Admission::poll(Instant Now) {
  LastNow = Now;
  AdmissionEvents Out;
  Out.swap(Evicted);
  for (auto &[Class, Q] : Classes) {
    if (!Q.InPreset)
      refuseUnknown(Q, Out);
    refuseExpired(Q, Now, Out);
  }
  std::erase_if(Classes, [](const auto &Row) { return !Row.second.InPreset; });
  startWaiting(Out);
  return Out;
}

void Admission::refuseUnknown(ClassQueue &Q, AdmissionEvents &Out) {
  while (!Q.Waiting.empty()) {
    Waiter W = removeWaiter(Q, Q.Waiting.next());
    Out.push_back({W.Id, AdmissionDecision::refuse(ResultCode::UnknownClass,
                                                   MinRetryAfter)});
  }
}

void Admission::refuse(ClassQueue &Q, Place Who, AdmissionEvents &Out) {
  Duration ExpectedWait = expectedWait(Q, Q.Waiting.size());
  FairClaim Claim = Who.claim();
  Waiter W = removeWaiter(Q, Who);
  ResultCode Code =
      W.ByDeadline ? ResultCode::WouldMissDeadline : ResultCode::Overloaded;
  Out.push_back({W.Id, refusal(Q, Code, Claim, W.Deadline, ExpectedWait)});
}

void Admission::refuseExpired(ClassQueue &Q, Instant Now,
                              AdmissionEvents &Out) {
  while (!Q.ByExpiry.empty() && Q.ByExpiry.begin()->At <= Now)
    refuse(Q, Q.ByExpiry.begin()->Who, Out);
  Q.Rate.update(Now);
  while (!Q.Waiting.empty()) {
    Place Last = Q.Waiting.last();
    if (Now + expectedWait(Q, Q.Waiting.size() - 1) <= Last.waiter().Expires)
      return;
    refuse(Q, Last, Out);
  }
}

Admission::ClassQueue *Admission::nextToStart() {
  ClassQueue *Best = nullptr;
  bool BestHasCredit = false;
  for (auto &[Class, Q] : Classes) {
    if (Q.Waiting.empty())
      continue;
    bool HasCredit = Q.Credit >= 1;
    bool Better = !Best || (HasCredit && !BestHasCredit) ||
                  (HasCredit == BestHasCredit &&
                   Q.Policy.Priority < Best->Policy.Priority);
    if (!Better)
      continue;
    Best = &Q;
    BestHasCredit = HasCredit;
  }
  return Best;
}

void Admission::startWaiting(AdmissionEvents &Out) {
  while (mayStart()) {
    ClassQueue *Q = nextToStart();
    if (!Q)
      return;
    for (auto &[Class, Other] : Classes)
      if (!Other.Waiting.empty())
        Other.Credit += MinClassShare;
    Q->Credit = std::max(0.0, Q->Credit - 1);
    Q->Rate.started();
    Place Who = Q->Waiting.next();
    InFlight.emplace(Who.waiter().Id, Started{Q->Class, Who.claim()});
    Waiter W = Q->Waiting.startNext(LastNow);
    removed(*Q, W, Who);
    Out.push_back({W.Id, AdmissionDecision::start()});
  }
}

std::optional<Instant> Admission::nextExpiry() const {
  std::optional<Instant> Next;
  for (const auto &[Class, Q] : Classes)
    if (!Q.ByExpiry.empty() && (!Next || Q.ByExpiry.begin()->At < *Next))
      Next = Q.ByExpiry.begin()->At;
  return Next;
}

AdmissionReport Admission::report() const {
  return {InFlight.size(), WaitingPositions.size(), Limit.limit(),
          startInterval()};
}

} // namespace shallot
