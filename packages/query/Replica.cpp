#include "query/Replica.h"

#include <algorithm>
#include <cmath>

namespace shallot {

FaultClass faultClassOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::Ok:
  case ResultCode::UpstreamVersionGone:
    return FaultClass::None;
  case ResultCode::UpstreamShed:
    return FaultClass::Shed;
  case ResultCode::UpstreamDraining:
    return FaultClass::Draining;
  case ResultCode::UpstreamUnreachable:
  case ResultCode::UpstreamBadReply:
  case ResultCode::UpstreamMismatch:
  case ResultCode::ConnectionClosed:
  case ResultCode::ConnectFailed:
  case ResultCode::TransferTimeout:
    return FaultClass::Replica;
  default:
    return FaultClass::NotReplica;
  }
}

bool refusedBeforeUpstream(ResultCode Code) {
  return provesNotRun(Code) && faultClassOf(Code) == FaultClass::NotReplica;
}

void ReplicaTable::Replica::recordContact(Instant Now) {
  LastContact = Now;
  FailuresInRow = 0;
  SilentInRow = 0;
  ReplacedAt.reset();
  if (EjectionsInRow > 0 && ++GoodReplies >= RepliesToResetEjections) {
    EjectionsInRow = 0;
    GoodReplies = 0;
  }
}

void ReplicaTable::Replica::markDraining(Instant Now) {
  Draining = true;
  DrainingAt = Now;
}

bool ReplicaTable::Replica::isLeaving(Instant Now) const {
  return Leaving || (Draining && Now - DrainingAt < DrainingValidity);
}

std::optional<bool> ReplicaTable::Replica::holds(const Snapshot &S,
                                                 Instant Now) const {
  if (Servable.empty())
    return std::nullopt;
  if (std::ranges::find(Servable, S) != Servable.end())
    return true;
  return Now - ServableAt < NotHeldValidity ? std::optional(false)
                                            : std::nullopt;
}

Duration ReplicaTable::Replica::latencyAt(Instant Now, Duration Best) const {
  double HalfLives = static_cast<double>((Now - LatencyAt).count()) /
                     static_cast<double>(LatencyHalfLife.count());
  double Excess = static_cast<double>((Latency - Best).count());
  return Best +
         Duration(static_cast<Duration::rep>(Excess * std::exp2(-HalfLives)));
}

Duration ReplicaTable::Replica::unansweredFor(Instant Now) const {
  return Outstanding == 0 ? Duration{0} : Now - UnansweredSince;
}

} // namespace shallot
