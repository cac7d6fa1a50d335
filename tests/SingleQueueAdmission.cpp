#include "SingleQueueAdmission.h"

#include <algorithm>

namespace shallot::fixture {

namespace {

/// A request may wait if its expected wait is within this fraction of its time
/// until expiry. With the whole time, half of the requests that wait would be
/// refused in the end, because estimates are too low as often as too high.
constexpr double MaxWaitFraction = 0.7;

/// Sub-requests may wait for slots on average for the shortest deadline divided
/// by this. A longer wait uses up the time that stragglers need, a shorter one
/// leaves slots idle (figures in docs/design/limits.md).
constexpr int QueuedDeadlineDivisor = 10;

Duration intervalOf(double Rate) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / Rate));
}

} // namespace

SingleQueueAdmission::SingleQueueAdmission(const Preset &P,
                                           ConcurrencyLimitOptions O)
    : Limit(O) {
  setPreset(P);
}

SingleQueueAdmission::SingleQueueAdmission(const ClassPolicies &Policies,
                                           Duration TargetQueued,
                                           ConcurrencyLimitOptions O)
    : Limit(O) {
  setClasses(Policies, TargetQueued);
}

void SingleQueueAdmission::setPreset(const Preset &P) {
  Duration Shortest = MaxDeadline;
  for (const auto &[Class, Policy] : P->Classes)
    Shortest = std::min(Shortest, Policy.Deadline);
  setClasses(P->Classes, Shortest / QueuedDeadlineDivisor);
}

void SingleQueueAdmission::setClasses(const ClassPolicies &Policies,
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

SingleQueueAdmission::Waiter
SingleQueueAdmission::waiterFor(const AdmissionRequest &R, const ClassQueue &Q,
                                Instant Now) const {
  Instant LatestStart = R.Deadline - Q.Latency.value();
  Instant QueueEnd = Now + Q.Policy.QueueWait;
  if (LatestStart < QueueEnd)
    return {R.Id, LatestStart, true};
  return {R.Id, QueueEnd, false};
}

AdmissionDecision SingleQueueAdmission::offer(const AdmissionRequest &R,
                                              Instant Now) {
  auto It = Classes.find(R.Class);
  if (It == Classes.end() || !It->second.InPreset)
    return AdmissionDecision::refuse(ResultCode::UnknownClass, MinRetryAfter);
  LastNow = Now;
  ClassQueue &Q = It->second;
  Duration ExpectedWait = expectedWait(Q, Q.Waiting.size());
  if (R.Deadline <= Now)
    return AdmissionDecision::refuse(ResultCode::WouldMissDeadline,
                                     clampRetryAfter(ExpectedWait));
  // Below the limit a request starts regardless of the typical latency: a
  // latency that led to refusing everything would never be measured again.
  if (mayStart() && WaitingPositions.empty()) {
    InFlight.emplace(R.Id, R.Class);
    return AdmissionDecision::start();
  }
  if (Q.Waiting.size() >= Q.Policy.QueueLimit)
    return AdmissionDecision::refuse(ResultCode::QueueFull,
                                     clampRetryAfter(ExpectedWait));
  Waiter W = waiterFor(R, Q, Now);
  if (toMillisF(ExpectedWait) > MaxWaitFraction * toMillisF(W.Expires - Now))
    return AdmissionDecision::refuse(
        W.ByDeadline ? ResultCode::WouldMissDeadline : ResultCode::Overloaded,
        clampRetryAfter(ExpectedWait));
  Q.Rate.setWaiting(true, Now);
  std::uint64_t Arrival = Arrivals++;
  Q.Waiting[Arrival] = W;
  Q.Expiry.insert({W.Expires, Arrival});
  WaitingPositions[R.Id] = {&Q, Arrival};
  return AdmissionDecision::wait();
}

Duration SingleQueueAdmission::startInterval() const {
  // Little's law: at the limit, one request ends per interval.
  return Limit.typicalLatency() / static_cast<std::int64_t>(Limit.limit());
}

Duration SingleQueueAdmission::expectedWait(const ClassQueue &Q,
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

void SingleQueueAdmission::done(TicketId Id, const LoadSample &S, Instant Now) {
  LastNow = Now;
  std::size_t Before = InFlight.size();
  auto It = InFlight.find(Id);
  if (It == InFlight.end())
    return;
  if (auto Q = Classes.find(It->second); Q != Classes.end())
    Q->second.Latency.add(S.Latency);
  InFlight.erase(It);
  Limit.observe(S, Before, Now);
}

bool SingleQueueAdmission::cancel(TicketId Id) {
  if (InFlight.erase(Id) > 0)
    return true;
  auto It = WaitingPositions.find(Id);
  if (It == WaitingPositions.end())
    return false;
  removeWaiter(*It->second.In, It->second.Arrival);
  return true;
}

SingleQueueAdmission::Waiter
SingleQueueAdmission::removeWaiter(ClassQueue &Q, std::uint64_t Arrival) {
  auto It = Q.Waiting.find(Arrival);
  Waiter W = It->second;
  Q.Expiry.erase({W.Expires, Arrival});
  Q.Waiting.erase(It);
  WaitingPositions.erase(W.Id);
  if (Q.Waiting.empty()) {
    Q.Credit = 0;
    Q.Rate.setWaiting(false, LastNow);
  }
  return W;
}

AdmissionEvents SingleQueueAdmission::poll(Instant Now) {
  LastNow = Now;
  AdmissionEvents Out;
  for (auto &[Class, Q] : Classes) {
    if (!Q.InPreset)
      refuseUnknown(Q, Out);
    refuseExpired(Q, Now, Out);
  }
  std::erase_if(Classes, [](const auto &Row) { return !Row.second.InPreset; });
  startWaiting(Out);
  return Out;
}

void SingleQueueAdmission::refuseUnknown(ClassQueue &Q, AdmissionEvents &Out) {
  while (!Q.Waiting.empty()) {
    Waiter W = removeWaiter(Q, Q.Waiting.begin()->first);
    Out.push_back({W.Id, AdmissionDecision::refuse(ResultCode::UnknownClass,
                                                   MinRetryAfter)});
  }
}

void SingleQueueAdmission::refuse(ClassQueue &Q, std::uint64_t Arrival,
                                  AdmissionEvents &Out) {
  Duration ExpectedWait = expectedWait(Q, Q.Waiting.size());
  Waiter W = removeWaiter(Q, Arrival);
  ResultCode Code =
      W.ByDeadline ? ResultCode::WouldMissDeadline : ResultCode::Overloaded;
  Out.push_back(
      {W.Id, AdmissionDecision::refuse(Code, clampRetryAfter(ExpectedWait))});
}

void SingleQueueAdmission::refuseExpired(ClassQueue &Q, Instant Now,
                                         AdmissionEvents &Out) {
  while (!Q.Expiry.empty() && Q.Expiry.begin()->first <= Now)
    refuse(Q, Q.Expiry.begin()->second, Out);
  Q.Rate.update(Now);
  while (!Q.Waiting.empty()) {
    const auto &[Arrival, Last] = *Q.Waiting.rbegin();
    if (Now + expectedWait(Q, Q.Waiting.size() - 1) <= Last.Expires)
      return;
    refuse(Q, Arrival, Out);
  }
}

SingleQueueAdmission::ClassQueue *SingleQueueAdmission::nextToStart() {
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

void SingleQueueAdmission::startWaiting(AdmissionEvents &Out) {
  while (mayStart()) {
    ClassQueue *Q = nextToStart();
    if (!Q)
      return;
    for (auto &[Class, Other] : Classes)
      if (!Other.Waiting.empty())
        Other.Credit += MinClassShare;
    Q->Credit = std::max(0.0, Q->Credit - 1);
    Q->Rate.started();
    Waiter W = removeWaiter(*Q, Q->Waiting.begin()->first);
    InFlight.emplace(W.Id, Q->Class);
    Out.push_back({W.Id, AdmissionDecision::start()});
  }
}

std::optional<Instant> SingleQueueAdmission::nextExpiry() const {
  std::optional<Instant> Next;
  for (const auto &[Class, Q] : Classes)
    if (!Q.Expiry.empty() && (!Next || Q.Expiry.begin()->first < *Next))
      Next = Q.Expiry.begin()->first;
  return Next;
}

AdmissionReport SingleQueueAdmission::report() const {
  return {InFlight.size(), WaitingPositions.size(), Limit.limit(),
          startInterval()};
}

} // namespace shallot::fixture
