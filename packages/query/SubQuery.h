//===- SubQuery.h - One service's part of a search --------------*- C++ -*-===//
//
// The attempts at one service and their outcome. Internal to package query.
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
  Answered, ///< Body is from the pinned snapshot.
  Missing,  ///< Abandoned; see Reason and Text.
};

/// One request to one upstream.
struct SubAttempt {
  AttemptKey Key;
  UpstreamId Target;
  Instant SentAt;
  Instant SilentAt = Never; ///< From then on it is silent; Never once recorded.
  bool Pinned = false;
  bool Open = true;
};

struct SubQuery {
  const Service *Svc = nullptr;
  SubState State = SubState::Waiting;
  std::vector<SubAttempt> Attempts; ///< For the current pin.
  std::vector<UpstreamId> Tried;    ///< Upstreams excluded from selection.
  /// Attempts except those of kind Reasked (see QueryCost::Reasks).
  unsigned CountedAttempts = 0;
  unsigned Hedges = 0;
  Instant HedgeAt = Never;
  bool HedgeDeferred = false;            ///< Postponed once to save tokens.
  Duration HedgeDelay{0};                ///< At least MinHedgeDelay.
  std::optional<SubReply> UnpinnedReply; ///< Received before the pin.
  UpstreamId From;
  std::string Body;
  ResultCode Reason = ResultCode::Ok;
  std::string Text;
  bool MayHaveRun = false; ///< Some attempt may have run at an upstream.
  /// The kind of request to send once no other attempt of the search is open.
  std::optional<TraceKind> HeldBack;

  const ServiceName &name() const { return (*Svc)->Name; }
  bool waiting() const { return State == SubState::Waiting; }
  bool hasOpen() const {
    return std::ranges::any_of(Attempts, &SubAttempt::Open);
  }
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_SUBQUERY_H
