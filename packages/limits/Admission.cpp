#include "limits/Admission.h"

#include <algorithm>

namespace shallot {

namespace {

/// A request may wait when its turn is expected within this part of its time
/// in the queue. With all of it, every second one that waited would be refused
/// in the end, because turns come late as often as early.
constexpr double OfferMargin = 0.7;

/// Part of the shortest deadline that sub-requests may wait for slots on
/// average. More spends the time that stragglers need; less leaves slots idle
/// (docs/design/limits.md has the figures).
constexpr int DeadlineParts = 10;

Duration secondsPer(double Rate) {
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
  setClasses(P->Classes, Shortest / DeadlineParts);
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
  // Without waiting requests nothing keeps a class that is gone.
  std::erase_if(Classes, [](const auto &Row) {
    return !Row.second.InPreset && Row.second.Waiting.empty();
  });
}

Admission::Waiter Admission::waiterFor(const AdmissionRequest &R,
                                       const ClassQueue &Q, Instant Now) const {
  Instant LatestStart = R.Deadline - Q.Latency.value();
  Instant QueueEnd = Now + Q.Policy.QueueWait;
  if (LatestStart < QueueEnd)
    return {R.Id, LatestStart, true};
  return {R.Id, QueueEnd, false};
}

AdmissionDecision Admission::offer(const AdmissionRequest &R, Instant Now) {
  auto It = Classes.find(R.Class);
  if (It == Classes.end() || !It->second.InPreset)
    return AdmissionDecision::refuse(ResultCode::UnknownClass, MinRetryAfter);
  Latest = Now;
  ClassQueue &Q = It->second;
  Duration StartsIn = startsIn(Q, Q.Waiting.size());
  if (R.Deadline <= Now)
    return AdmissionDecision::refuse(ResultCode::WouldMissDeadline,
                                     clampRetryAfter(StartsIn));
  // A free place is used whatever the typical latency says: a latency that
  // refused everything would never be measured again.
  if (mayStart() && WaitingIn.empty()) {
    InFlight.emplace(R.Id, R.Class);
    return AdmissionDecision::start();
  }
  if (Q.Waiting.size() >= Q.Policy.QueueLimit)
    return AdmissionDecision::refuse(ResultCode::QueueFull,
                                     clampRetryAfter(StartsIn));
  Waiter W = waiterFor(R, Q, Now);
  if (toMillisF(StartsIn) > OfferMargin * toMillisF(W.Expires - Now))
    return AdmissionDecision::refuse(
        W.ByDeadline ? ResultCode::WouldMissDeadline : ResultCode::Overloaded,
        clampRetryAfter(StartsIn));
  Q.Rate.waiting(true, Now);
  std::uint64_t Arrival = Arrivals++;
  Q.Waiting[Arrival] = W;
  Q.Expiry.insert({W.Expires, Arrival});
  WaitingIn[R.Id] = {&Q, Arrival};
  return AdmissionDecision::wait();
}

Duration Admission::startInterval() const {
  // Little's law: with all places taken, one ends in each of these.
  return Limit.typicalLatency() / static_cast<std::int64_t>(Limit.limit());
}

Duration Admission::startsIn(const ClassQueue &Q,
                             std::size_t AheadInClass) const {
  auto InClass = static_cast<std::int64_t>(AheadInClass + 1);
  // Measured, when known: it contains the better requests still to come.
  if (double Rate = Q.Rate.perSecond(Latest); Rate > 0)
    return secondsPer(Rate) * InClass;
  std::size_t Better = 0;
  for (const auto &[Class, Other] : Classes)
    if (&Other != &Q && Other.Policy.Priority <= Q.Policy.Priority)
      Better += Other.Waiting.size();
  Duration Behind =
      startInterval() * (static_cast<std::int64_t>(Better) + InClass);
  Duration ByFloor =
      startInterval() * static_cast<std::int64_t>(1 / MinClassShare) * InClass;
  return std::min(Behind, ByFloor);
}

void Admission::done(TicketId Id, const LoadSample &S, Instant Now) {
  Latest = Now;
  std::size_t Before = InFlight.size();
  auto It = InFlight.find(Id);
  if (It == InFlight.end())
    return;
  if (auto Q = Classes.find(It->second); Q != Classes.end())
    Q->second.Latency.add(S.Latency);
  InFlight.erase(It);
  Limit.observe(S, Before, Now);
}

bool Admission::cancel(TicketId Id) {
  if (InFlight.erase(Id) > 0)
    return true;
  auto It = WaitingIn.find(Id);
  if (It == WaitingIn.end())
    return false;
  take(*It->second.In, It->second.Arrival);
  return true;
}

Admission::Waiter Admission::take(ClassQueue &Q, std::uint64_t Arrival) {
  auto It = Q.Waiting.find(Arrival);
  Waiter W = It->second;
  Q.Expiry.erase({W.Expires, Arrival});
  Q.Waiting.erase(It);
  WaitingIn.erase(W.Id);
  if (Q.Waiting.empty()) {
    Q.Credit = 0;
    Q.Rate.waiting(false, Latest);
  }
  return W;
}

AdmissionEvents Admission::poll(Instant Now) {
  Latest = Now;
  AdmissionEvents Out;
  for (auto &[Class, Q] : Classes) {
    if (!Q.InPreset)
      refuseUnknown(Q, Out);
    refuseLate(Q, Now, Out);
  }
  std::erase_if(Classes, [](const auto &Row) { return !Row.second.InPreset; });
  startWaiting(Out);
  return Out;
}

void Admission::refuseUnknown(ClassQueue &Q, AdmissionEvents &Out) {
  while (!Q.Waiting.empty()) {
    Waiter W = take(Q, Q.Waiting.begin()->first);
    Out.push_back({W.Id, AdmissionDecision::refuse(ResultCode::UnknownClass,
                                                   MinRetryAfter)});
  }
}

void Admission::refuse(ClassQueue &Q, std::uint64_t Arrival,
                       AdmissionEvents &Out) {
  Duration StartsIn = startsIn(Q, Q.Waiting.size());
  Waiter W = take(Q, Arrival);
  ResultCode Code =
      W.ByDeadline ? ResultCode::WouldMissDeadline : ResultCode::Overloaded;
  Out.push_back(
      {W.Id, AdmissionDecision::refuse(Code, clampRetryAfter(StartsIn))});
}

void Admission::refuseLate(ClassQueue &Q, Instant Now, AdmissionEvents &Out) {
  while (!Q.Expiry.empty() && Q.Expiry.begin()->first <= Now)
    refuse(Q, Q.Expiry.begin()->second, Out);
  Q.Rate.roll(Now);
  while (!Q.Waiting.empty()) {
    const auto &[Arrival, Last] = *Q.Waiting.rbegin();
    if (Now + startsIn(Q, Q.Waiting.size() - 1) <= Last.Expires)
      return;
    refuse(Q, Arrival, Out);
  }
}

Admission::ClassQueue *Admission::nextToStart() {
  ClassQueue *Best = nullptr;
  bool BestOwed = false;
  for (auto &[Class, Q] : Classes) {
    if (Q.Waiting.empty())
      continue;
    bool Owed = Q.Credit >= 1;
    bool Better =
        !Best || (Owed && !BestOwed) ||
        (Owed == BestOwed && Q.Policy.Priority < Best->Policy.Priority);
    if (!Better)
      continue;
    Best = &Q;
    BestOwed = Owed;
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
    Waiter W = take(*Q, Q->Waiting.begin()->first);
    InFlight.emplace(W.Id, Q->Class);
    Out.push_back({W.Id, AdmissionDecision::start()});
  }
}

std::optional<Instant> Admission::nextExpiry() const {
  std::optional<Instant> Next;
  for (const auto &[Class, Q] : Classes)
    if (!Q.Expiry.empty() && (!Next || Q.Expiry.begin()->first < *Next))
      Next = Q.Expiry.begin()->first;
  return Next;
}

AdmissionReport Admission::report() const {
  return {InFlight.size(), WaitingIn.size(), Limit.limit(), startInterval()};
}

} // namespace shallot
