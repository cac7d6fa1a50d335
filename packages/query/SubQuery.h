//===- SubQuery.h - One service's part of a search --------------*- C++ -*-===//
//
// The attempts at one service and what came of them. Internal to package query.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_SUBQUERY_H
#define SHALLOTSHIFT_QUERY_SUBQUERY_H

#include "query/QueryRun.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace shallot {

inline constexpr Instant Never = Instant::max();

enum class SubState : std::uint8_t {
  Waiting,
  Answered, ///< Body is of the pinned snapshot.
  Missing,  ///< Given up; Reason and Text say why.
};

/// One request to one upstream.
struct SubAttempt {
  AttemptKey Key;
  UpstreamId Target;
  Instant SentAt;
  Instant SilentAt = Never; ///< When its silence becomes evidence.
  bool Pinned = false;
  bool Open = true;
};

struct SubQuery {
  const Service *Svc = nullptr;
  SubState State = SubState::Waiting;
  std::vector<SubAttempt> Attempts; ///< Of this pin.
  std::vector<UpstreamId> Tried;    ///< Targets of Attempts.
  unsigned Paid = 0;                ///< Attempts but those after a 409.
  unsigned Hedges = 0;
  Instant HedgeAt = Never;
  bool HedgeDeferred = false;   ///< Waited once because tokens were few.
  Duration UsualLongest{0};     ///< Hedge quantile of the service's latency.
  std::optional<SubReply> Held; ///< Came before there was a pin.
  UpstreamId From;
  std::string Body;
  ResultCode Reason = ResultCode::Ok;
  std::string Text;
  bool EverRan = false; ///< Some attempt was not proven "not run".
  /// What is to be sent when nothing else of the search is open any more.
  std::optional<TraceKind> HeldBack;

  const ServiceName &name() const { return (*Svc)->Name; }
  bool waiting() const { return State == SubState::Waiting; }
  bool hasOpen() const {
    return std::ranges::any_of(Attempts, &SubAttempt::Open);
  }
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_SUBQUERY_H
