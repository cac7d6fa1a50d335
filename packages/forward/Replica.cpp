//===- Replica.cpp --------------------------------------------------------===//
#include "forward/Replica.h"

#include "forward/HalfLife.h"

#include <algorithm>

namespace shallot {

using internal::half;

namespace {

/// What a send to another zone or region costs beside its time, in the same
/// unit: traffic between regions costs money. A near replica with a short queue
/// is still preferred, a stuck or slow one is not.
constexpr double SameRegionPriceMs = 2;
constexpr double OtherRegionPriceMs = 15;

/// How far one answer moves the slowness: little when it is about as expected,
/// more when it is off by two or more. Steps and not an average: a pause makes
/// one answer many times too late, and an average would keep callers away until
/// long after the pause.
constexpr double SmallStep = 1.08;
constexpr double LargeStep = 1.25;
constexpr double LargeStepRatio = 2;
/// Late answers one after another are no pause, of which only the first answer
/// is late: the replica is slow, and that should be known after few answers.
constexpr double RepeatedStep = 2.5;
constexpr double LeastSlowness = 0.7;
constexpr double MostSlowness = 20;
/// Without answers slowness and failures are forgotten by half in this time,
/// so that a replica that recovered is found again.
constexpr double SlownessHalfLifeMs = 1500;
constexpr double FailureHalfLifeMs = 2000;
constexpr double FailureWeight = 0.2;
/// A send that fails costs another one, out of a small budget, and the time
/// until it is noticed.
constexpr double FailureCostMs = 300;

/// A reported load is about the moment of the reply; it is worth nothing after
/// a few requests' time.
constexpr double LoadHalfLifeMs = 40;

/// A reply of another region is a trip old when it comes; queues of a burst
/// last for many of them.
constexpr Duration BusyReportValidity = Millis(250);

/// A send is stuck when it takes this many times what was predicted, and a
/// little for timers and scheduling.
constexpr double StuckFactor = 2.0;
constexpr double StuckSlackMs = 12;
/// Added to the prediction of a stuck replica, which may hang for good.
constexpr double StuckCostMs = 150;

/// A replica that has just started takes about this much longer.
constexpr double ColdFactor = 1.6;

/// Sends lost in a row before a replica rests; one loss may be its neighbour's
/// fault or a reply spoilt on the way.
constexpr unsigned LostBeforeRest = 3;
/// Without an answer for longer it is more than a pause with its queue.
constexpr double OverdueMs = 320;
constexpr Duration FirstRest = Millis(200);
constexpr Duration LongestRest = Seconds(3);

double priceMs(Distance D) {
  switch (D) {
  case Distance::SameZone:
    return 0;
  case Distance::SameRegion:
    return SameRegionPriceMs;
  case Distance::OtherRegion:
    return OtherRegionPriceMs;
  }
  return 0;
}

} // namespace

Replica::Replica(ReplicaEntry E, Distance Far, std::shared_ptr<RttEstimate> Rtt,
                 Instant Now, Instant RestartedAt)
    : Entry(std::move(E)), Far(Far), Rtt(std::move(Rtt)),
      RestartedAt(RestartedAt), WarmAt(Now + Entry.WarmupLeft), LastAnswer(Now),
      SlownessAt(Now), FailureAt(Now), LoadAt(Now) {}

void Replica::update(ReplicaEntry E, Instant Now) {
  Entry = std::move(E);
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
  return 1 + half(SlownessSeen - 1, Now - SlownessAt, SlownessHalfLifeMs);
}

double Replica::failureRate(Instant Now) const {
  return half(FailureSeen, Now - FailureAt, FailureHalfLifeMs);
}

void Replica::noteFailure(double Outcome, Instant Now) {
  double Before = failureRate(Now);
  FailureSeen = Before + FailureWeight * (Outcome - Before);
  FailureAt = Now;
}

/// Behind a pause the answers come in a burst; only the first of them was held
/// up by more than its own work. Counted from the answer before it, the others
/// show that the replica is as quick as ever.
void Replica::noteAnswer(Instant Started, Duration Work, Instant Now) {
  Instant From = std::max(Started + roundTrip(), LastAnswer);
  double Ratio = toMillisF(Now - From) / std::max(1.0, toMillisF(Work));
  double Seen = slowness(Now);
  bool Late = Ratio > Seen * LargeStepRatio;
  LateInARow = Late ? LateInARow + 1 : 0;
  bool Far = Late || Ratio < Seen / LargeStepRatio;
  double Step = Far ? LargeStep : SmallStep;
  if (LateInARow > 1)
    Step = RepeatedStep;
  Seen *= Ratio > Seen ? Step : 1 / Step;
  SlownessSeen = std::clamp(Seen, LeastSlowness, MostSlowness);
  SlownessAt = Now;
  LastAnswer = Now;
}

void Replica::sendEnded(Instant Started, SendStatus How, Duration Work,
                        Instant Now) {
  auto At = std::ranges::find(Open, Started);
  if (At != Open.end())
    Open.erase(At);
  switch (How) {
  case SendStatus::Answered:
    noteAnswer(Started, Work, Now);
    LostInARow = 0;
    RestTime = Duration(0);
    noteFailure(0, Now);
    return;
  case SendStatus::Rejected:
    LastAnswer = Now;
    noteFailure(1, Now);
    return;
  case SendStatus::NotSent:
    noteFailure(1, Now);
    rest(Now);
    return;
  case SendStatus::Lost:
    noteFailure(1, Now);
    if (++LostInARow >= LostBeforeRest)
      rest(Now);
    return;
  case SendStatus::Abandoned:
    // Nobody learns how it would have ended. When it had taken longer than any
    // pause, it counts as lost: a replica that takes requests and never answers
    // would otherwise cost every request a hedge.
    if (toMillisF(Now - Started) < OverdueMs || LastAnswer > Started)
      return;
    noteFailure(1, Now);
    if (++LostInARow >= LostBeforeRest)
      rest(Now);
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

bool Replica::stalled(Duration Work, Instant Now) const {
  if (Open.empty())
    return false;
  Instant Oldest = *std::ranges::min_element(Open);
  double Ahead =
      static_cast<double>(Open.size() - 1) / std::max(1U, Entry.Slots);
  double Usual =
      toMillisF(roundTrip()) + toMillisF(Work) * slowness(Now) * (1 + Ahead);
  double Quiet = toMillisF(Now - std::max(Oldest, LastAnswer));
  return Quiet > StuckFactor * Usual + StuckSlackMs;
}

Duration Replica::expected(Duration Work, Instant Now) const {
  double Slots = std::max(1U, Entry.Slots);
  double Busy = static_cast<double>(Open.size());
  if (Load)
    Busy = std::max(Busy, half(Load->Running + Load->Waiting, Now - LoadAt,
                               LoadHalfLifeMs));
  double Queue = std::max(0.0, Busy + 1 - Slots) / Slots;
  double Cold = cold(Now) ? ColdFactor : 1;
  double Ms = toMillisF(Work) * Cold * slowness(Now) * (1 + Queue);
  return roundTrip() + fromMillisF(Ms);
}

Duration Replica::predicted(Duration Work, Instant Now) const {
  double Ms = toMillisF(expected(Work, Now)) + priceMs(Far);
  Ms += failureRate(Now) * FailureCostMs;
  if (stalled(Work, Now))
    Ms += StuckCostMs;
  return fromMillisF(Ms);
}

void Replica::rest(Instant Now) {
  RestTime = std::clamp(RestTime * 2, FirstRest, LongestRest);
  Resting = true;
  TrialRuns = false;
  TrialAt = Now + RestTime;
}

bool Replica::takeProbe(Instant Now) {
  if (!Resting || TrialRuns || Now < TrialAt)
    return false;
  TrialRuns = true;
  return true;
}

void Replica::probeEnded(bool Worked, Instant Now) {
  if (!Resting)
    return;
  if (!Worked) {
    rest(Now);
    return;
  }
  Resting = false;
  TrialRuns = false;
  // One more loss puts it back to rest: a process that takes connections and
  // answers nothing passes every trial.
  LostInARow = LostBeforeRest - 1;
}

} // namespace shallot
