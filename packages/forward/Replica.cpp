//===- Replica.cpp - Predictions, ejection and probes ---------------------===//
#include "forward/Replica.h"

#include "forward/HalfLife.h"

#include <algorithm>

namespace shallot {

using internal::decayed;

namespace {

/// The cost of a send to another zone or region besides its duration, in the
/// same unit: traffic between regions is the most expensive resource that a
/// send uses. A near replica with a short queue is preferred to a distant one;
/// a stalled or slow one is not.
constexpr double SameRegionCostMs = 2;
constexpr double OtherRegionCostMs = 15;

/// How far one answer moves the slowness: little if it is about as expected,
/// more if it is off by a factor of two or more. Fixed steps are used instead
/// of an average: a pause of 150 ms makes one answer fourteen times too late.
/// With pauses 3.6 s apart, an average kept requests away for 2 s after each
/// and sent 39 of 100 to another region; steps sent 5.
constexpr double SmallStep = 1.08;
constexpr double LargeStep = 1.25;
constexpr double LargeStepRatio = 2;
/// After a pause only the first answer is late. Several late answers in a row
/// mean that the replica is slow. A daemon that sends it ten requests per
/// second detects an eightfold slowness after four answers instead of ten. With
/// a sixth of the replicas slow, the mean credit of queries over 54 shards (see
/// ForwardUnderTrouble.cpp) is 0.982 instead of 0.962; with pauses alone it is
/// the same.
constexpr double RepeatedStep = 2.5;
constexpr double MinSlowness = 0.7;
constexpr double MaxSlowness = 20;
/// Without answers, slowness and failure rate decay with these half-lives, so
/// that a replica that recovered is used again.
constexpr double SlownessHalfLifeMs = 1500;
constexpr double FailureHalfLifeMs = 2000;
constexpr double FailureWeight = 0.2;
/// A failed send costs another one, from a small budget, and the time until the
/// failure is detected. With 150, a near replica that rejects 0.6 of its
/// requests is preferred to a healthy one 90 ms away, and the mean credit under
/// such failures is 0.372 instead of 0.404.
constexpr double FailureCostMs = 300;

/// A reported load describes the time of the reply and is outdated after a few
/// requests.
constexpr double LoadHalfLifeMs = 40;

/// How long a report of waiting requests counts. A reply from another region is
/// half an RTT old on arrival; the queues of a burst last for many RTTs.
constexpr Duration BusyReportValidity = Millis(250);

/// A send is stalled when it takes this multiple of its prediction, plus a
/// little for timers and scheduling.
constexpr double StallFactor = 2.0;
constexpr double StallSlackMs = 12;
/// Added to the prediction of a stalled replica. Pauses last 150 to 250 ms, and
/// a replica that hangs permanently must not be preferred either.
constexpr double StallCostMs = 150;

/// Factor by which a cold replica is slower.
constexpr double ColdFactor = 1.6;

/// Number of consecutive lost sends after which a replica is ejected. A single
/// loss may be due to another request on the replica or to a reply damaged in
/// transit.
constexpr unsigned LostBeforeEjection = 3;
/// A send that is open for longer is more than a pause (250 ms at most) and the
/// queue after it.
constexpr double LossTimeoutMs = 320;
constexpr Duration MinEjection = Millis(200);
constexpr Duration MaxEjection = Seconds(3);

double distanceCostMs(Distance D) {
  switch (D) {
  case Distance::SameZone:
    return 0;
  case Distance::SameRegion:
    return SameRegionCostMs;
  case Distance::OtherRegion:
    return OtherRegionCostMs;
  }
  return 0;
}

} // namespace

Replica::Replica(ReplicaEntry E, Distance Dist,
                 std::shared_ptr<RttEstimate> Rtt, Instant Now,
                 Instant RestartedAt,
                 std::shared_ptr<EjectedReplicas> Ejections)
    : Entry(std::move(E)), Key(replicaKey(Entry.Id, Entry.StartedUnixMs)),
      Dist(Dist), Rtt(std::move(Rtt)), RestartedAt(RestartedAt),
      WarmAt(Now + Entry.WarmupLeft), LastAnswer(Now), SlownessAt(Now),
      FailureAt(Now), LoadAt(Now), Ejections(std::move(Ejections)) {}

void Replica::update(ReplicaEntry E, Instant Now) {
  Entry = std::move(E);
  Key = replicaKey(Entry.Id, Entry.StartedUnixMs);
  WarmAt = Now + Entry.WarmupLeft;
}

bool Replica::warmupAdmits(double PerSecond, Instant Now) {
  if (!Warmup)
    Warmup.emplace(PerSecond, 1, Now);
  Warmup->setRate(PerSecond, Now);
  return Warmup->available(Now);
}

void Replica::sendStarted(Instant Now) {
  Open.push_back(Now);
  if (Warmup)
    Warmup->take(Now);
}

double Replica::slowness(Instant Now) const {
  return 1 + decayed(LastSlowness - 1, Now - SlownessAt, SlownessHalfLifeMs);
}

double Replica::failureRate(Instant Now) const {
  return decayed(LastFailureRate, Now - FailureAt, FailureHalfLifeMs);
}

void Replica::recordFailure(double Outcome, Instant Now) {
  double Before = failureRate(Now);
  LastFailureRate = Before + FailureWeight * (Outcome - Before);
  FailureAt = Now;
}

/// After a pause the answers arrive in a burst, and only the first of them was
/// delayed by more than its own service time. Measured from the previous
/// answer, the others show that the replica is as fast as before.
void Replica::recordAnswer(Instant Started, Duration ServiceTime, Instant Now) {
  Instant From = std::max(Started + roundTrip(), LastAnswer);
  double Ratio = toMillisF(Now - From) / std::max(1.0, toMillisF(ServiceTime));
  Evidence.answered(Ratio, Now);
  double Seen = slowness(Now);
  bool Late = Ratio > Seen * LargeStepRatio;
  LateInARow = Late ? LateInARow + 1 : 0;
  bool Large = Late || Ratio < Seen / LargeStepRatio;
  double Step = Large ? LargeStep : SmallStep;
  if (LateInARow > 1)
    Step = RepeatedStep;
  Seen *= Ratio > Seen ? Step : 1 / Step;
  LastSlowness = std::clamp(Seen, MinSlowness, MaxSlowness);
  SlownessAt = Now;
  LastAnswer = Now;
}

void Replica::sendEnded(Instant Started, SendStatus How, Duration ServiceTime,
                        Instant Now) {
  auto At = std::ranges::find(Open, Started);
  if (At != Open.end())
    Open.erase(At);
  switch (How) {
  case SendStatus::Answered:
    recordAnswer(Started, ServiceTime, Now);
    LostInARow = 0;
    EjectionTime = Duration(0);
    recordFailure(0, Now);
    return;
  case SendStatus::Rejected:
    LastAnswer = Now;
    recordFailure(1, Now);
    return;
  case SendStatus::NotSent:
    recordFailure(1, Now);
    eject(Now);
    return;
  case SendStatus::Lost:
    recordFailure(1, Now);
    if (++LostInARow >= LostBeforeEjection)
      eject(Now);
    return;
  case SendStatus::Abandoned:
    // The outcome is unknown. A send that took longer than any pause counts as
    // lost, unless the replica answered or rejected another one meanwhile;
    // otherwise a replica that accepts requests and never answers would cost
    // every request a hedge.
    if (ServiceTime > Duration(0) && LastAnswer <= Started)
      Evidence.abandoned(
          toMillisF(Now - Started - roundTrip()) / toMillisF(ServiceTime), Now);
    if (toMillisF(Now - Started) < LossTimeoutMs || LastAnswer > Started)
      return;
    recordFailure(1, Now);
    if (++LostInARow >= LostBeforeEjection)
      eject(Now);
    return;
  }
}

void Replica::loadReported(const ReportedLoad &L, Instant Now) {
  Load = L;
  LoadAt = Now;
  LongestQueue = std::max(LongestQueue, L.Waiting);
}

bool Replica::reportedBusy(Instant Now) const {
  return Load && Load->Waiting > 0 && Now < LoadAt + BusyReportValidity;
}

bool Replica::stalled(Duration ServiceTime, Instant Now) const {
  if (Open.empty())
    return false;
  Instant Oldest = *std::ranges::min_element(Open);
  double Ahead =
      static_cast<double>(Open.size() - 1) / std::max(1U, Entry.Slots);
  double Usual = toMillisF(roundTrip()) +
                 toMillisF(ServiceTime) * slowness(Now) * (1 + Ahead);
  double SinceProgress = toMillisF(Now - std::max(Oldest, LastAnswer));
  return SinceProgress > StallFactor * Usual + StallSlackMs;
}

Duration Replica::expected(Duration ServiceTime, Instant Now) const {
  double Slots = std::max(1U, Entry.Slots);
  double Busy = static_cast<double>(Open.size());
  if (Load)
    Busy = std::max(Busy, decayed(Load->Running + Load->Waiting, Now - LoadAt,
                                  LoadHalfLifeMs));
  double Queue = std::max(0.0, Busy + 1 - Slots) / Slots;
  double Cold = cold(Now) ? ColdFactor : 1;
  double Ms = toMillisF(ServiceTime) * Cold * slowness(Now) * (1 + Queue);
  return roundTrip() + fromMillisF(Ms);
}

Duration Replica::predicted(Duration ServiceTime, Instant Now) const {
  double Ms = toMillisF(expected(ServiceTime, Now)) + distanceCostMs(Dist);
  Ms += failureRate(Now) * FailureCostMs;
  if (stalled(ServiceTime, Now))
    Ms += StallCostMs;
  return fromMillisF(Ms);
}

void Replica::eject(Instant Now) {
  EjectionTime = std::clamp(EjectionTime * 2, MinEjection, MaxEjection);
  Ejected = true;
  if (Ejections)
    Ejections->insert(Entry.Id);
  ProbeRunning = false;
  ProbeAt = Now + EjectionTime;
}

bool Replica::takeProbe(Instant Now) {
  if (!Ejected || ProbeRunning || Now < ProbeAt)
    return false;
  ProbeRunning = true;
  return true;
}

void Replica::probeEnded(bool Worked, Instant Now) {
  if (!Ejected)
    return;
  if (!Worked) {
    eject(Now);
    return;
  }
  Ejected = false;
  ProbeRunning = false;
  // One more loss ejects it again: a process that accepts connections and
  // answers nothing passes every probe.
  LostInARow = LostBeforeEjection - 1;
}

} // namespace shallot
