//===- SharedObservations.cpp ---------------------------------------------===//
#include "forward/SharedObservations.h"

#include "forward/HalfLife.h"

#include <algorithm>
#include <cmath>

namespace shallot {

using internal::decayed;

namespace {

/// Half-life of what was told. Shorter than that of own evidence: many daemons
/// renew it as long as the replica is slow.
constexpr double ToldHalfLifeMs = 1000;
/// An observation counts until it has faded to a sixteenth.
constexpr Duration Memory = Seconds(4);
/// A report's sequence number is remembered for longer than any datagram that
/// is still under way.
constexpr Duration ReporterMemory = Seconds(60);
/// Bounds the memory that reports of unknown replicas can take.
constexpr std::size_t MaxReplicas = 4096;
constexpr std::size_t MaxReporters = 4096;
constexpr std::size_t MaxSources = 4;
constexpr unsigned MinSources = 2;
/// Late answers within this time may be due to one pause (250 ms at most) and
/// the queue after it.
constexpr Duration LongestPause = Millis(320);
/// A deviation below this costs less than a send to another zone or region.
constexpr double MinSlowness = 1.25;
constexpr double MaxSlowness = 20;

} // namespace

/// A replica that is S times slower keeps the part 1 / S^2 of its requests,
/// less than its part 1 / S of the capacity, since the others are faster while
/// they have room. One with a queue has perhaps only a little too much to do:
/// it keeps 1 / S, so that the load does not swing to and fro.
double ToldSlowness::holdProbability() const {
  return 1 - 1 / (Queued ? Slowness : Slowness * Slowness);
}

bool SharedObservations::receive(const ReplicaObservationReport &R,
                                 Instant Now) {
  std::uint64_t Host = hash64(R.From.Host.str());
  auto Found = Reporters.find(Host);
  if (Found == Reporters.end()) {
    if (Reporters.size() >= MaxReporters)
      return false;
    Found = Reporters.try_emplace(Host).first;
  }
  Reporter &From = Found->second;
  bool Newer = R.From.Incarnation != From.Incarnation
                   ? R.From.Incarnation > From.Incarnation
                   : R.Sequence > From.Sequence;
  if (!Newer)
    return false;
  From = {R.From.Incarnation, R.Sequence, Now};
  std::size_t Count = std::min(R.Replicas.size(), MaxReportedReplicas);
  for (std::size_t I = 0; I < Count; ++I) {
    const ReplicaObservation &O = R.Replicas[I];
    if (O.Late == 0 || O.Age < Duration(0) || O.Age >= Memory ||
        O.FirstAge < O.Age || !(O.Slowness > 1))
      continue;
    put(O.Key,
        {Host, std::min(O.Slowness, MaxSlowness), O.Waiting > 0, Now - O.Age,
         Now - O.FirstAge},
        Now);
  }
  return true;
}

/// Replaces what the same daemon told before, else the oldest if there are
/// enough.
void SharedObservations::put(ReplicaKey Key, const Source &New, Instant Now) {
  auto At = ByReplica.find(Key);
  if (At == ByReplica.end()) {
    if (ByReplica.size() >= MaxReplicas)
      expire(Now);
    if (ByReplica.size() >= MaxReplicas)
      return;
    At = ByReplica.try_emplace(Key).first;
  }
  std::vector<Source> &Sources = At->second;
  auto Same = std::ranges::find(Sources, New.Host, &Source::Host);
  if (Same != Sources.end()) {
    *Same = New;
    return;
  }
  if (Sources.size() < MaxSources) {
    Sources.push_back(New);
    return;
  }
  auto Oldest = std::ranges::min_element(Sources, {}, &Source::LateAt);
  if (Oldest->LateAt < New.LateAt)
    *Oldest = New;
}

ToldSlowness SharedObservations::told(ReplicaKey Key, const AnswerEvidence &Own,
                                      Instant Now) const {
  auto At = ByReplica.find(Key);
  if (At == ByReplica.end() || Own.answers(Now) >= EnoughOwnAnswers)
    return {};
  Instant First = Instant::max();
  Instant Last = Instant::min();
  std::vector<double> Slowness;
  unsigned Queued = 0;
  ToldSlowness T;
  auto Add = [&](const Source &S) {
    // An own timely answer came later.
    if (S.LateAt <= Own.goodAt() || Now - S.LateAt >= Memory)
      return;
    ++T.Sources;
    Slowness.push_back(S.Slowness);
    Queued += S.Queued;
    First = std::min(First, S.FirstLateAt);
    Last = std::max(Last, S.LateAt);
  };
  std::ranges::for_each(At->second, Add);
  if (T.Sources == 0)
    return {};
  if (Own.late(Now)) {
    ReplicaObservation O = Own.observation(Now);
    Add({0, O.Slowness, false, Own.lateAt(), Now - O.FirstAge});
  }
  if (T.Sources < MinSources || Last - First < LongestPause)
    return {};
  T.Age = Now - Last;
  T.Queued = 2 * Queued > T.Sources;
  // The lower median: one daemon that overstates changes nothing.
  std::ranges::sort(Slowness);
  double Median = Slowness[(T.Sources - 1) / 2];
  T.Slowness = 1 + decayed(Median - 1, T.Age, ToldHalfLifeMs);
  return T.Slowness < MinSlowness ? ToldSlowness() : T;
}

void SharedObservations::expire(Instant Now) {
  std::erase_if(ByReplica, [&](const auto &Item) {
    return std::ranges::all_of(
        Item.second, [&](const Source &S) { return Now - S.LateAt >= Memory; });
  });
  std::erase_if(Reporters, [&](const auto &Item) {
    return Now - Item.second.At >= ReporterMemory;
  });
}

} // namespace shallot
