//===- SubSender.h - Attempts of one search ---------------------*- C++ -*-===//
//
// Names, sends, closes and cancels attempts, and keeps the account of them in
// the replica table and the trace, so that no path through the state machine
// can forget either. Internal to package query.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_SUBSENDER_H
#define SHALLOTSHIFT_QUERY_SUBSENDER_H

#include "query/SubQuery.h"

namespace shallot {

/// A request is silent when it is older than this and than SilenceFactor times
/// the hedge quantile of its service.
inline constexpr Duration SilenceFloor = Millis(20);
inline constexpr int SilenceFactor = 2;

class SubSender {
public:
  SubSender(const QuerySpec &Spec, QueryContext &Tools, Instant Begin,
            Instant FinishBy);

  /// The upstream to ask next for \p Sub, or nothing.
  std::optional<Pick> pick(const SubQuery &Sub,
                           const std::optional<Snapshot> &Pin, Instant Now);
  /// Sends \p Sub to \p To. \p Kind is Sent, Hedged, Retried or Reasked.
  void send(std::size_t SubNumber, SubQuery &Sub, const Pick &To,
            const std::optional<Snapshot> &Pin, TraceKind Kind, Instant Now,
            QueryCommands &Out);
  /// Where the attempt \p Key was put, or nothing when it was never ours. After
  /// a restart another attempt may stand there: compare the key.
  struct Place {
    std::size_t Sub = 0;
    std::size_t Attempt = 0;
  };
  std::optional<Place> find(const AttemptKey &Key) const;
  /// A reply came: the attempt is closed and the table learns from it.
  void close(SubQuery &Sub, SubAttempt &A, const SubReply &Reply, Instant Now);
  /// Cancels what is open of \p Sub.
  void cancelOpen(SubQuery &Sub, Instant Now, QueryCommands &Out);
  /// Takes the silence of \p A as evidence, once.
  void noteSilence(const SubQuery &Sub, SubAttempt &A, Instant Now,
                   QueryCommands &Out);

  void trace(TraceEvent E, Instant Now);
  void trace(TraceKind Kind, const SubQuery &Sub, Instant Now,
             ResultCode Code = ResultCode::Ok);
  QueryCost &cost() { return Cost; }
  const QueryCost &cost() const { return Cost; }

private:
  AttemptKey mintKey();
  SubRequest requestFor(const SubQuery &Sub, const AttemptKey &Key,
                        const Pick &To, const std::optional<Snapshot> &Pin,
                        Instant Now) const;
  void count(TraceKind Kind);

  const QuerySpec &Spec;
  QueryContext &Tools;
  Instant Begin;
  Instant FinishBy;
  std::string Nonce;         ///< Tells this run's attempts from all others.
  std::vector<Place> Places; ///< By the number in the key.
  QueryCost Cost;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_SUBSENDER_H
