//===- RequestHandlerImpl.h - The state of a RequestHandler -----*- C++ -*-===//
//
// Internal to package front. RequestAdmission.cpp handles a request before its
// first send: quota, quarantine and admission. RequestHandler.cpp handles the
// rest.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_REQUESTHANDLERIMPL_H
#define SHALLOTSHIFT_FRONT_REQUESTHANDLERIMPL_H

#include "front/RequestHandler.h"

#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace shallot {

struct RequestHandler::Impl {
  /// A request in progress.
  struct Job {
    Job(ExchangePtr E, ForwardRequest Request, RequestAttempt Name)
        : E(std::move(E)), Run(std::move(Request)), Name(std::move(Name)) {}

    ExchangePtr E;
    ForwardRun Run;
    RequestAttempt Name;
    bool Trial = false;           ///< A trial was granted.
    bool SuccessReported = false; ///< Success was reported to Gate.
    bool CrashesReported = false; ///< Crashes were reported to Gate.
    std::string Head; ///< Method, target and headers for every send.
    std::vector<UpstreamPool::CallId> Calls; ///< By send; 0: ended.
    TimerQueue::Key Timer = 0;
    Instant TimerAt = Instant::max();
    TicketId Ticket = 0; ///< In Admission; 0: holds no place there.
    /// Waits for a token of its organisation's quota under this id; 0: no.
    TicketId QuotaTicket = 0;
    bool HasToken = false;  ///< Of its organisation's quota.
    bool Unanswered = true; ///< It is counted as such.
  };
  using JobPtr = std::shared_ptr<Job>;

  Impl(EventLoop &Loop, TimerQueue &Timers, HeaderNames Names,
       ReplicaRegistry &Replicas, ForwardRules Rules, Random &Rng,
       Metrics &Meter, UpstreamPoolOptions Connections)
      : Timers(Timers), Names(std::move(Names)),
        Pool(Loop, Timers, Connections), Shared{Replicas, Budgets, ServiceTimes,
                                                Rng, Rules},
        Meter(Meter), Crashes(Pool, Timers), Gate(Loop, Meter) {}
  ~Impl() { Timers.cancel(AdmissionTimer); }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void handle(const ExchangePtr &E);
  /// Carries out one step of \p J; a fault in it costs this request only.
  template <typename F> void step(const JobPtr &J, F &&Fn) {
    if (!contain("request", J->Name.Id, std::forward<F>(Fn)))
      abandon(J);
  }
  void abandon(const JobPtr &J);
  void countAnswered(const JobPtr &J);
  void callerGone(const JobPtr &J);
  void refuse(const ExchangePtr &E, const LocalAnswer &A);
  void refuseUnknownKey(const ExchangePtr &E, const Error &Why);
  void acquireToken(const JobPtr &J);
  void tokenDecided(const JobPtr &J, const AdmissionDecision &V);
  void checkQuarantine(const JobPtr &J);
  void awaitTrial(const JobPtr &J);
  void trialDecided(const JobPtr &J, bool Granted);
  void admit(const JobPtr &J);
  void start(const JobPtr &J);
  void reject(const JobPtr &J, LocalAnswer A);
  void releaseTicket(const JobPtr &J);
  void cancelQuotaWait(const JobPtr &J);
  void stop(const StopPlan &Plan);
  void rejectWaiting(const JobPtr &J, LocalAnswer A);
  void rejectAllWaiting();
  void rejectChanged();
  void pollAdmission();
  void admissionDecided(const JobPtr &J, const AdmissionDecision &V);
  void reportOrganisations();
  void writeGauges();
  void apply(const JobPtr &J, RunOutput Out);
  void send(const JobPtr &J, const StartSend &S);
  void sendEnded(const JobPtr &J, unsigned Send, const ReplicaEntry &To,
                 UpstreamReply Reply);
  void replied(const JobPtr &J, unsigned Send, SendResult Result);
  void reportCrashes(const JobPtr &J);
  void returnUnusedTrial(const JobPtr &J);
  void answer(const JobPtr &J, ForwardAnswer A);
  void schedule(const JobPtr &J);
  void probeUnavailableReplicas();
  void restrictActiveRequests();

  TimerQueue &Timers;
  HeaderNames Names;
  UpstreamPool Pool;
  BudgetMap Budgets;
  ServiceTimeEstimates ServiceTimes;
  ForwardShared Shared;
  Metrics &Meter;
  QuotaLink *Quotas = nullptr; ///< Null: quotas are not enforced.
  CrashCheck Crashes;
  QuarantineGate Gate;
  std::shared_ptr<const ServingConfig> Config;
  RouteAdmission Admission;
  TicketId LastTicket = 0;
  std::unordered_map<TicketId, JobPtr> Waiting; ///< For admission.
  TimerQueue::Key AdmissionTimer = 0;
  Instant OrganisationsReported; ///< Last time.
  std::set<Tenant> WaitingShown; ///< Organisations that have a gauge.
  std::unordered_set<JobPtr> Jobs;
  std::size_t Unanswered = 0;
  std::uint64_t Handled = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_REQUESTHANDLERIMPL_H
