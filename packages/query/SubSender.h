//===- SubSender.h - Attempts of one search ---------------------*- C++ -*-===//
//
// Creates, sends, closes and cancels attempts, and records each step in the
// replica table and the trace, so that no path through the state machine omits
// either. Internal to package query.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_SUBSENDER_H
#define SHALLOTSHIFT_QUERY_SUBSENDER_H

#include "query/SubQuery.h"

namespace shallot {

/// A request is silent if its age exceeds both this and SilenceFactor times the
/// hedge delay of its service.
inline constexpr Duration MinSilence = Millis(20);
inline constexpr int SilenceFactor = 2;

class SubSender {
public:
  SubSender(const QuerySpec &Spec, QueryContext &Context, Instant Begin,
            Instant FinishBy);

  /// Selects the upstream for the next attempt of \p Sub, or returns nothing.
  std::optional<Pick> pick(const SubQuery &Sub,
                           const std::optional<Snapshot> &Pin, Instant Now);
  /// Sends \p Sub to \p To. \p Kind is Sent, Hedged, Retried, Reasked or
  /// Restarted.
  void send(std::size_t SubNumber, SubQuery &Sub, const Pick &To,
            const std::optional<Snapshot> &Pin, TraceKind Kind, Instant Now,
            QueryCommands &Out);
  /// The position of the attempt \p Key, or nothing if this run did not create
  /// it. After a restart the position may hold another attempt, so callers
  /// compare the key.
  struct Place {
    std::size_t Sub = 0;
    std::size_t Attempt = 0;
  };
  std::optional<Place> find(const AttemptKey &Key) const;
  /// Closes \p A with \p Reply and updates the replica table and latency model.
  void close(SubQuery &Sub, SubAttempt &A, const SubReply &Reply, Instant Now);
  /// Cancels the open attempts of \p Sub.
  void cancelOpen(SubQuery &Sub, Instant Now, QueryCommands &Out);
  /// Reports the silence of \p A to the replica table; at most once.
  void recordSilence(const SubQuery &Sub, SubAttempt &A, Instant Now,
                     QueryCommands &Out);

  void trace(TraceEvent E, Instant Now);
  void trace(TraceKind Kind, const SubQuery &Sub, Instant Now,
             ResultCode Code = ResultCode::Ok);
  QueryCost &cost() { return Cost; }
  const QueryCost &cost() const { return Cost; }

private:
  AttemptKey makeKey();
  SubRequest requestFor(const SubQuery &Sub, const AttemptKey &Key,
                        const Pick &To, const std::optional<Snapshot> &Pin,
                        Instant Now) const;
  void count(TraceKind Kind);

  const QuerySpec &Spec;
  QueryContext &Context;
  Instant Begin;
  Instant FinishBy;
  std::string Nonce; ///< Distinguishes this run's attempts from all others.
  std::vector<Place> Places; ///< Indexed by the number in the key.
  QueryCost Cost;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_SUBSENDER_H
