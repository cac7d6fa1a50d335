//===- QueryMachine.h - The states of one search ----------------*- C++ -*-===//
//
// The implementation of QueryRun. One search goes through these states:
//
//   start: choose a pin -> send to every service
//   (no snapshot known: choose the pin from the first replies)
//   replies, hedges, retries, at most one restart on another pin
//   finish: once, as soon as the answer cannot improve
//
// Internal to package query.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_QUERYMACHINE_H
#define SHALLOTSHIFT_QUERY_QUERYMACHINE_H

#include "query/SubSender.h"

namespace shallot {

/// An answer is sent this long before the deadline, or a twentieth of the time
/// to the deadline if that is less, because it has to be written and read.
inline constexpr Duration MaxAnswerMargin = Millis(5);
inline constexpr int AnswerMarginPart = 20;
/// No request is sent with less time left than this.
inline constexpr Duration MinUsefulTime = Millis(1);
/// Hedge delay of a service without measured latency, capped at a quarter of
/// the remaining time.
inline constexpr Duration DefaultHedgeDelay = Millis(50);
inline constexpr Duration MinHedgeDelay = Millis(1);
inline constexpr unsigned MaxHedgesPerService = 2;
/// Below this many budget tokens a hedge is postponed by a quarter of its
/// delay.
inline constexpr double HedgeReserve = 8;
/// Maximum wait for further unpinned replies before the pin is chosen.
inline constexpr Duration MaxPinWait = Millis(20);
/// A restart requires this much time, and twice the hedge quantile of latency.
inline constexpr Duration MinRestartTime = Millis(10);
/// Retry-After for refused callers if no upstream suggested one.
inline constexpr Duration DefaultRetryAfter = Seconds(1);

class QueryMachine {
public:
  QueryMachine(QuerySpec Spec, QueryContext Context,
               std::vector<const Service *> Targets);
  ~QueryMachine();
  QueryMachine(const QueryMachine &) = delete;
  QueryMachine &operator=(const QueryMachine &) = delete;

  QueryCommands start(Instant Now);
  QueryCommands onReply(const AttemptKey &Key, const SubReply &Reply,
                        Instant Now);
  QueryCommands onWake(Instant Now);
  QueryCommands onCallerGone(Instant Now);

  bool finished() const { return Finished; }
  const QuerySpec &spec() const { return Spec; }

private:
  // Sending.
  void choosePin(Instant Now);
  void sendAll(TraceKind Kind, Instant Now);
  void sendTo(std::size_t I, const Pick &To, TraceKind Kind, Instant Now);
  void armHedge(SubQuery &Sub, Instant Now);
  void hedge(std::size_t I, Instant Now);
  void checkSilence(std::size_t I, Instant Now);

  // Reply handling.
  SubAttempt *openAttempt(const AttemptKey &Key, std::size_t &I);
  void handleReply(std::size_t I, const SubAttempt &A, const SubReply &Reply,
                   Instant Now);
  void acceptReply(SubQuery &Sub, const UpstreamId &From, const SubReply &Reply,
                   Instant Now);
  void recordFailure(SubQuery &Sub, const UpstreamId &From,
                     const SubReply &Reply);
  bool reroute(std::size_t I, Instant Now);
  void retry(std::size_t I, Instant Now);
  std::optional<Pick> pickForRetry(const SubQuery &Sub, Instant Now);
  void reask(std::size_t I, Instant Now);
  void giveUp(SubQuery &Sub, ResultCode Reason, std::string Text, Instant Now);

  // Limits for a search that may crash upstreams (QuerySendRestriction.cpp).
  bool anyOpen() const;
  bool isSuspect() const;
  bool crashLimitReached() const;
  bool mustDefer() const;
  void holdBack(std::size_t I, TraceKind Kind, Instant Now);
  void sendHeldBack(Instant Now);
  void sendAgain(std::size_t I, TraceKind Kind, Instant Now);
  void finishSuspect(Instant Now);

  // The pin.
  bool awaitingPin() const { return !Pin; }
  bool allReplied() const;
  void choosePinFromReplies(Instant Now);
  Snapshot pinFromUnpinnedReplies(Instant Now) const;
  void pinVanished(std::size_t I, Instant Now);
  bool mayRestart(const SubQuery &Sub, Instant Now) const;
  void restart(const Snapshot &On, Instant Now);

  // Completion.
  void progress(Instant Now);
  void finish(ResultCode Code, Instant Now);
  ResultCode codeAtEnd(bool ByTime) const;
  bool provenNotRun() const;
  bool anyMissing() const;
  bool anyMissingFor(ResultCode Reason) const;
  bool needsFull() const { return Spec.Policy.Coverage == CoverageRule::Full; }
  Duration retryAfter();
  void schedule(Instant Now);
  Instant nextWake() const;
  QueryCommands takeCommands();
  ExtraBudgets &budgets();

  QuerySpec Spec;
  QueryContext Context;
  std::vector<const Service *> Targets;
  std::vector<SubQuery> Subs;
  std::optional<SubSender> Sender; ///< Set by start().
  std::optional<Snapshot> Pin;
  Instant Begin;
  Instant FinishBy;
  Instant PartialAt = Never;
  Instant PinDeadline = Never;
  Instant Scheduled = Never;
  Instant LastNow;
  std::size_t Waiting = 0;
  std::size_t Answered = 0;
  Duration UpstreamRetryAfter{0};
  bool AnyAttemptSucceeded = false;
  bool AnyHeldBack = false;
  bool Restarted = false;
  bool Finished = false;
  QueryCommands Out;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_QUERYMACHINE_H
