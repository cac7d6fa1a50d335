//===- QueryMachine.h - The states of one search ----------------*- C++ -*-===//
//
// What QueryRun does behind its public face. One search goes through
//
//   start: choose a pin -> send to every service
//   (no pin known: settle on one when the first replies have come)
//   replies, hedges, retries, at most one restart on another pin
//   finish: once, as soon as nothing better can come
//
// Internal to package query.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_QUERY_QUERYMACHINE_H
#define SHALLOTSHIFT_QUERY_QUERYMACHINE_H

#include "query/SubSender.h"

namespace shallot {

/// An answer leaves this much before the deadline, or a twentieth of it if that
/// is less: it has to be written and read.
inline constexpr Duration MaxAnswerMargin = Millis(5);
inline constexpr int AnswerMarginPart = 20;
/// With less time than this nothing is sent any more.
inline constexpr Duration MinUsefulTime = Millis(1);
/// Hedge delay of a service that has not been measured yet, at most a quarter
/// of the time there is.
inline constexpr Duration UnmeasuredHedgeDelay = Millis(50);
inline constexpr Duration MinHedgeDelay = Millis(1);
inline constexpr unsigned MaxHedgesPerService = 2;
/// Below this many tokens a hedge waits a quarter of the delay longer.
inline constexpr double HedgeReserve = 8;
/// How long replies without a pin wait for each other, at most.
inline constexpr Duration SettleWait = Millis(20);
/// A restart needs this much time at least, and twice the usual latency.
inline constexpr Duration MinRestartTime = Millis(10);
/// What a refused caller is told when no upstream said when to come back.
inline constexpr Duration DefaultRetryAfter = Seconds(1);

class QueryMachine {
public:
  QueryMachine(QuerySpec Spec, QueryContext Tools,
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
  void watchSilence(std::size_t I, Instant Now);

  // What a reply leads to.
  SubAttempt *openAttempt(const AttemptKey &Key, std::size_t &I);
  void take(std::size_t I, const SubAttempt &A, const SubReply &Reply,
            Instant Now);
  void accept(SubQuery &Sub, const UpstreamId &From, const SubReply &Reply,
              Instant Now);
  void noteFailure(SubQuery &Sub, const UpstreamId &From,
                   const SubReply &Reply);
  bool reroute(std::size_t I, Instant Now);
  void retry(std::size_t I, Instant Now);
  std::optional<Pick> pickForRetry(const SubQuery &Sub, Instant Now);
  void reask(std::size_t I, Instant Now);
  void giveUp(SubQuery &Sub, ResultCode Reason, std::string Text, Instant Now);

  // Caution: it may be what crashes upstreams (QueryCaution.cpp).
  bool anyOpen() const;
  bool careful() const;
  bool crashesEnough() const;
  bool mustWait() const;
  void holdBack(std::size_t I, TraceKind Kind, Instant Now);
  void sendHeld(Instant Now);
  void sendAgain(std::size_t I, TraceKind Kind, Instant Now);
  void finishSuspect(Instant Now);

  // The pin.
  bool settling() const { return !Pin; }
  bool allSpoke() const;
  void settle(Instant Now);
  Snapshot pinFromHeld(Instant Now) const;
  void pinVanished(std::size_t I, Instant Now);
  bool mayRestart(const SubQuery &Sub, Instant Now) const;
  void restart(const Snapshot &On, Instant Now);

  // The end.
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
  QueryContext Tools;
  std::vector<const Service *> Targets;
  std::vector<SubQuery> Subs;
  std::optional<SubSender> Sender; ///< From start() on.
  std::optional<Snapshot> Pin;
  Instant Begin;
  Instant FinishBy;
  Instant PartialAt = Never;
  Instant SettleBy = Never;
  Instant Scheduled = Never;
  Instant LastNow;
  std::size_t Waiting = 0;
  std::size_t Answered = 0;
  Duration ToldRetryAfter{0};
  bool AnyRunEndedWell = false;
  bool AnyHeldBack = false;
  bool Restarted = false;
  bool Finished = false;
  QueryCommands Out;
};

} // namespace shallot

#endif // SHALLOTSHIFT_QUERY_QUERYMACHINE_H
