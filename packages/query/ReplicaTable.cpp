#include "query/ReplicaTable.h"

#include "query/Replica.h"

#include <algorithm>

namespace shallot {

ReplicaTable::ReplicaTable(Random &Rng) : Rng(Rng) {}
ReplicaTable::~ReplicaTable() = default;

ReplicaTable::Replica &ReplicaTable::at(const UpstreamId &Id) {
  auto It = Replicas.find(Id);
  if (It != Replicas.end())
    return It->second;
  // Only configured upstreams are used, so the bound is reached only if a
  // configuration beyond the design size is installed without retain().
  if (Replicas.size() >= MaxReplicas)
    std::erase_if(Replicas,
                  [](const auto &E) { return E.second.Outstanding == 0; });
  return Replicas[Id];
}

const ReplicaTable::Replica *ReplicaTable::find(const UpstreamId &Id) const {
  auto It = Replicas.find(Id);
  return It == Replicas.end() ? nullptr : &It->second;
}

void ReplicaTable::onSent(const UpstreamId &Id, Instant Now) {
  Replica &R = at(Id);
  ++R.Sent;
  if (R.Outstanding++ == 0)
    R.UnansweredSince = Now;
}

void ReplicaTable::sample(Replica &R, Duration Took, Instant Now) {
  if (R.Latency == Duration{0})
    R.Latency = Took;
  // Samples are capped at SampleCap times the average, so that one straggler
  // does not make a healthy upstream look slow. The average of an upstream that
  // is slow still converges within a few replies.
  Duration Capped = std::min(Took, R.Latency * SampleCap);
  R.Latency += Duration(static_cast<Duration::rep>(
      LatencyGain * static_cast<double>((Capped - R.Latency).count())));
  R.LatencyAt = Now;
}

void ReplicaTable::learnSnapshots(Replica &R, const SubReply &Reply,
                                  Instant Now) {
  bool Answered = Reply.Code == ResultCode::Ok;
  if (!Answered && Reply.Servable.empty())
    return;
  R.Servable = Reply.Servable;
  if (Answered &&
      std::ranges::find(R.Servable, Reply.Served) == R.Servable.end())
    R.Servable.push_back(Reply.Served);
  std::ranges::sort(R.Servable, std::greater<>());
  if (R.Servable.size() > MaxServableKept)
    R.Servable.resize(MaxServableKept);
  R.ServableAt = Now;
}

void ReplicaTable::eject(Replica &R, Instant Now) {
  unsigned Doublings = std::min(R.EjectionsInRow, MaxEjectDoublings);
  // Jitter prevents daemons that observed the same failure from returning to
  // the upstream at the same time.
  Duration Base = EjectTime * (1 << Doublings);
  Duration Jitter(static_cast<Duration::rep>(
      uniform01(Rng) * static_cast<double>(Base.count()) / 2));
  R.EjectedUntil = Now + Base + Jitter;
  R.FailuresInRow = 0;
  R.SilentInRow = 0;
  R.GoodReplies = 0;
  ++R.EjectionsInRow;
  ++R.Ejections;
  R.Warmup.cold(R.EjectedUntil, Rng);
}

void ReplicaTable::onFailure(Replica &R, Instant Now) {
  ++R.Failures;
  if (++R.FailuresInRow >= FailuresBeforeEject && R.EjectedUntil <= Now)
    eject(R, Now);
}

void ReplicaTable::onReply(const UpstreamId &Id, Instant SentAt,
                           const SubReply &Reply, Instant Now) {
  Replica &R = at(Id);
  if (R.Outstanding > 0)
    --R.Outstanding;
  R.UnansweredSince = Now;
  learnSnapshots(R, Reply, Now);
  switch (faultClassOf(Reply.Code)) {
  case FaultClass::None:
    R.recordContact(Now);
    if (Reply.Code == ResultCode::Ok)
      sample(R, Now - SentAt, Now);
    if (Reply.Draining)
      R.markDraining(Now);
    else if (SentAt > R.DrainingAt)
      R.Draining = false;
    if (Reply.Cold)
      R.Warmup.cold(Now, Rng);
    R.ReportedLoad = Reply.Load;
    break;
  case FaultClass::Shed:
    R.recordContact(Now);
    R.Shed.shed(Now, Reply.RetryAfter, Rng);
    break;
  case FaultClass::Draining:
    R.recordContact(Now);
    R.markDraining(Now);
    break;
  case FaultClass::Replica:
    onFailure(R, Now);
    break;
  case FaultClass::NotReplica:
    break;
  }
}

void ReplicaTable::onCancelled(const UpstreamId &Id, Instant SentAt,
                               Instant Now) {
  Replica &R = at(Id);
  if (R.Outstanding > 0)
    --R.Outstanding;
  // A cancelled attempt would have taken at least this long. Without this
  // sample an upstream that always loses to hedges would keep an outdated low
  // latency.
  if (R.Latency > Duration{0} && Now - SentAt > R.Latency)
    sample(R, Now - SentAt, Now);
}

SilenceAction ReplicaTable::onSilent(const UpstreamId &Id, Instant SentAt,
                                     Instant Now) {
  Replica &R = at(Id);
  // The upstream has replied since, so this request is only a straggler.
  if (R.LastContact > SentAt || R.EjectedUntil > Now)
    return SilenceAction::Wait;
  // Sent on a connection that has since been closed: no new evidence.
  if (R.ReplacedAt && SentAt < *R.ReplacedAt)
    return SilenceAction::Wait;
  ++R.SilentInRow;
  if (R.SilentInRow < SilentBeforeAction)
    return SilenceAction::Wait;
  if (!R.ReplacedAt) {
    // An intermediary may have lost the state of the connections, so that
    // requests vanish while new connections work. The replica is tried on new
    // connections before it is ejected.
    R.ReplacedAt = Now;
    R.SilentInRow = 0;
    R.Latency = Duration{0};
    return SilenceAction::ReplaceConnection;
  }
  eject(R, Now);
  return SilenceAction::EjectReplica;
}

void ReplicaTable::onReport(const UpstreamId &Id, double Load, bool Draining,
                            Instant Now) {
  Replica &R = at(Id);
  R.ReportedLoad = Load;
  if (Draining)
    R.markDraining(Now);
  else
    R.Draining = false;
}

void ReplicaTable::onLeaving(const UpstreamId &Id, bool Leaving) {
  at(Id).Leaving = Leaving;
}

std::optional<bool> ReplicaTable::holds(const UpstreamId &Id, const Snapshot &S,
                                        Instant Now) const {
  const Replica *R = find(Id);
  return R ? R->holds(S, Now) : std::nullopt;
}

std::span<const Snapshot> ReplicaTable::servable(const UpstreamId &Id) const {
  const Replica *R = find(Id);
  return R ? std::span<const Snapshot>(R->Servable)
           : std::span<const Snapshot>();
}

bool ReplicaTable::acceptsWork(const Upstream &U, Instant Now) const {
  if (U->Leaving)
    return false;
  const Replica *R = find(U->Id);
  return !R || !R->isLeaving(Now);
}

bool ReplicaTable::pinGone(const Service &Svc, const Snapshot &Pin,
                           Instant Now) const {
  bool AnyOpen = false;
  for (const Upstream &U : Svc->Upstreams) {
    if (!acceptsWork(U, Now))
      continue;
    AnyOpen = true;
    if (holds(U->Id, Pin, Now) != false)
      return false;
  }
  return AnyOpen;
}

void ReplicaTable::retain(const Config &C) {
  std::erase_if(Replicas, [&](const auto &E) {
    return E.second.Outstanding == 0 && C.findUpstream(E.first) == nullptr;
  });
}

ReplicaStatus ReplicaTable::statusOf(const UpstreamId &Id, const Replica &R,
                                     Instant Now) const {
  ReplicaStatus S;
  S.Id = Id;
  S.Outstanding = R.Outstanding;
  S.Latency = R.Latency;
  S.Weight = R.Shed.weight(Now) * R.Warmup.weight(Now);
  S.Ejected = R.EjectedUntil > Now;
  S.Shedding = R.Shed.weight(Now) < LastResortWeight;
  S.Draining = R.isLeaving(Now);
  S.ReportedLoad = R.ReportedLoad;
  S.Servable = R.Servable;
  S.Sent = R.Sent;
  S.Failures = R.Failures;
  S.Ejections = R.Ejections;
  return S;
}

std::optional<ReplicaStatus> ReplicaTable::status(const UpstreamId &Id,
                                                  Instant Now) const {
  const Replica *R = find(Id);
  return R ? std::optional(statusOf(Id, *R, Now)) : std::nullopt;
}

std::vector<ReplicaStatus> ReplicaTable::all(Instant Now) const {
  std::vector<ReplicaStatus> Out;
  Out.reserve(Replicas.size());
  for (const auto &[Id, R] : Replicas)
    Out.push_back(statusOf(Id, R, Now));
  std::ranges::sort(Out, {}, &ReplicaStatus::Id);
  return Out;
}

} // namespace shallot
