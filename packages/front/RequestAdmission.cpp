//===- RequestAdmission.cpp -----------------------------------------------===//
//
// Handling of requests before their first send: quotas, quarantine checks and
// admission.
//
//===----------------------------------------------------------------------===//
#include "front/AnswerWriting.h"
#include "front/RequestHandlerImpl.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>

namespace shallot {

namespace {

LocalAnswer admissionAnswer(const AdmissionDecision &V) {
  if (V.Code == ResultCode::RouteChanged)
    return routeChangedRefusal();
  return {V.Code, V.RetryAfter,
          "request rate exceeds the capacity of the replicas"};
}

/// How long a request may wait for a token, as a fraction of its latency
/// objective. A round trip to the owner is a few milliseconds; a request that
/// starts after this time has too little left.
constexpr int MaxQuotaWaitDivisor = 2;

/// How often the organisations with the most work are logged and counted, and
/// how many. The others are summed up.
constexpr Duration OrganisationsPeriod = Seconds(10);
constexpr std::size_t OrganisationsShown = 10;

LocalAnswer quotaAnswer(const AdmissionDecision &V, const Tenant &Caller) {
  std::string Why =
      V.Code == ResultCode::QuotaExceeded
          ? "more requests than the quota of organisation " + Caller.str()
          : "no daemon granted a request of organisation " + Caller.str();
  return {V.Code, V.RetryAfter, std::move(Why)};
}

} // namespace

/// A request of an organisation with a quota needs a token of it.
void RequestHandler::Impl::acquireToken(const JobPtr &J) {
  const ForwardRequest &Request = J->Run.request();
  if (!Quotas || !Request.Caller || !Request.Caller->Limit.limited())
    return checkQuarantine(J);
  J->QuotaTicket = ++LastTicket;
  AdmissionDecision V = Quotas->acquire(
      Request.Caller->Name, J->QuotaTicket,
      Request.Matched->Objective / MaxQuotaWaitDivisor,
      [this, Weak = std::weak_ptr(J)](const AdmissionDecision &Final) {
        if (JobPtr J = Weak.lock())
          step(J, [&] { tokenDecided(J, Final); });
      });
  if (V.What != AdmissionAction::Wait)
    tokenDecided(J, V);
}

void RequestHandler::Impl::tokenDecided(const JobPtr &J,
                                        const AdmissionDecision &V) {
  J->QuotaTicket = 0;
  if (V.What == AdmissionAction::Start) {
    J->HasToken = true;
    return checkQuarantine(J);
  }
  const Tenant &Caller = J->Run.request().Caller->Name;
  Meter.count("shallot_quota_refused_total", {{"tenant", Caller.str()}});
  if (V.Code == ResultCode::QuotaUnknown)
    Meter.count("shallot_quota_unknown_total", {{"tenant", Caller.str()}});
  reject(J, quotaAnswer(V, Caller));
}

/// A quarantined request is rejected; one on trial waits until a trial is
/// granted and holds no place in the admission queue meanwhile. A request that
/// is only suspected of crashing replicas is admitted.
void RequestHandler::Impl::checkQuarantine(const JobPtr &J) {
  switch (Gate.quarantineState(J->Name)) {
  case QuarantineState::Clear:
  case QuarantineState::Suspect:
    admit(J);
    return;
  case QuarantineState::OnTrial:
    awaitTrial(J);
    return;
  case QuarantineState::Quarantined:
    reject(J, quarantinedAnswer());
    return;
  }
}

void RequestHandler::Impl::awaitTrial(const JobPtr &J) {
  auto OnDecision = [this, Weak = std::weak_ptr(J),
                     Name = J->Name](bool Granted) {
    JobPtr J = Weak.lock();
    if (J && !J->Run.answered())
      return step(J, [&] { trialDecided(J, Granted); });
    // The caller has disconnected or was told to retry later.
    if (Granted)
      Gate.trialUnused(Name);
  };
  J->Timer = Timers.after(MaxTrialWait, [OnDecision] { OnDecision(false); });
  Gate.requestTrial(J->Name, OnDecision);
}

void RequestHandler::Impl::trialDecided(const JobPtr &J, bool Granted) {
  Timers.cancel(J->Timer);
  J->Timer = 0;
  J->Trial = Granted;
  if (Granted)
    return admit(J);
  // Another attempt, here or on another daemon, may have cleared or
  // quarantined the request meanwhile.
  if (Gate.quarantineState(J->Name) != QuarantineState::OnTrial)
    return checkQuarantine(J);
  reject(J, trialUnavailableAnswer());
}

/// Starts the request, queues it or rejects it.
void RequestHandler::Impl::admit(const JobPtr &J) {
  const ForwardRequest &Request = J->Run.request();
  const Route &R = *Request.Matched;
  FairClaim Claim =
      Request.claim(ServiceTimes.of(R.Name, R.Objective).median());
  // Another try has another id, but the same fingerprint.
  if (!Claim.Organisation.empty())
    Claim.Key = hash64(J->Name.Fingerprint.str());
  J->Ticket = ++LastTicket;
  AdmissionDecision V = Admission.offer(R, Request.priority(), J->Ticket,
                                        Request.Arrived + Request.CallerWaits,
                                        Timers.now(), Claim);
  switch (V.What) {
  case AdmissionAction::Start:
    start(J);
    return;
  case AdmissionAction::Wait:
    Waiting.emplace(J->Ticket, J);
    pollAdmission();
    return;
  case AdmissionAction::Refuse:
    J->Ticket = 0; // Refused, so no place is held.
    reject(J, admissionAnswer(V));
    return;
  }
}

/// Checks the quarantine again, as other attempts may have crashed replicas
/// while this one was queued.
void RequestHandler::Impl::start(const JobPtr &J) {
  QuarantineState Now = Gate.quarantineState(J->Name);
  if (Now == QuarantineState::Quarantined && !J->Trial)
    return reject(J, quarantinedAnswer());
  if (Now == QuarantineState::OnTrial && !J->Trial)
    return reject(J, trialUnavailableAnswer());
  J->Run.setRestriction(Gate.restrictionFor(J->Name, J->Trial),
                        Gate.crashesOf(J->Name));
  apply(J, J->Run.begin(Shared, Timers.now()));
}

/// Nothing was sent yet: ends the run as if the caller had disconnected, and
/// returns the error, with the time to retry after if there is one.
void RequestHandler::Impl::reject(const JobPtr &J, LocalAnswer A) {
  if (TicketId Ticket = std::exchange(J->Ticket, 0)) {
    if (Waiting.erase(Ticket) > 0)
      Admission.cancel(Ticket);
    else
      Admission.done(Ticket, {}, Timers.now());
  }
  if (std::exchange(J->HasToken, false))
    Quotas->putBack(J->Run.request().Caller->Name);
  J->Run.callerGone(Timers.now());
  answer(J, std::move(A));
  Jobs.erase(J);
}

/// Releases the place of the request in the queue or among the running ones.
void RequestHandler::Impl::releaseTicket(const JobPtr &J) {
  TicketId Ticket = std::exchange(J->Ticket, 0);
  if (Ticket == 0)
    return;
  if (Waiting.erase(Ticket) > 0)
    Admission.cancel(Ticket);
  else
    Admission.done(Ticket, J->Run.load(Timers.now()), Timers.now());
  pollAdmission();
}

void RequestHandler::Impl::cancelQuotaWait(const JobPtr &J) {
  if (TicketId Id = std::exchange(J->QuotaTicket, 0))
    Quotas->cancel(J->Run.request().Caller->Name, Id);
}

void RequestHandler::Impl::admissionDecided(const JobPtr &J,
                                            const AdmissionDecision &V) {
  if (V.What == AdmissionAction::Start)
    return start(J);
  J->Ticket = 0;
  reject(J, admissionAnswer(V));
}

/// Starts or rejects queued requests that are due.
void RequestHandler::Impl::pollAdmission() {
  for (const AdmissionEvent &E : Admission.poll(Timers.now())) {
    auto At = Waiting.find(E.Id);
    if (At == Waiting.end())
      continue;
    JobPtr J = At->second;
    Waiting.erase(At);
    step(J, [&] { admissionDecided(J, E.Final); });
  }
  Shared.RequestsQueued = !Waiting.empty();
  Timers.cancel(AdmissionTimer);
  AdmissionTimer = 0;
  if (auto Next = Admission.nextExpiry())
    AdmissionTimer = Timers.at(*Next, [this] {
      AdmissionTimer = 0;
      pollAdmission();
    });
}

/// Says who uses the capacity and who is refused, while requests are refused
/// for lack of it.
void RequestHandler::Impl::reportOrganisations() {
  Instant Now = Timers.now();
  if (Now - OrganisationsReported < OrganisationsPeriod)
    return;
  OrganisationsReported = Now;
  bool Log = Admission.tally().anyRefused();
  auto Counts = Admission.tally().take(OrganisationsShown);
  double Work = 0;
  for (const OrganisationCount &C : Counts)
    Work += C.Cost;
  for (const OrganisationCount &C : Counts) {
    if (C.Started + C.Refused == 0)
      continue;
    std::string Name =
        C.Organisation.empty() ? "all others" : C.Organisation.str();
    Meter.count("shallot_capacity_work_ms_total", {{"tenant", Name}}, C.Cost);
    Meter.count("shallot_capacity_refused_total", {{"tenant", Name}},
                C.Refused);
    if (Log)
      logEvent(LogLevel::Info, "capacity_shared",
               {{"tenant", Name},
                {"work", fmt::format("{:.3f}", Work > 0 ? C.Cost / Work : 0)},
                {"started", std::to_string(C.Started)},
                {"refused", std::to_string(C.Refused)}});
  }
}

void RequestHandler::Impl::writeGauges() {
  std::map<Tenant, std::size_t> Counts = Admission.waiting();
  std::vector<std::pair<std::size_t, Tenant>> Most;
  for (const auto &[Name, Count] : Counts)
    if (!Name.empty())
      Most.emplace_back(Count, Name);
  std::ranges::sort(Most, std::greater<>());
  Most.resize(std::min(Most.size(), OrganisationsShown));
  for (const Tenant &Shown : std::exchange(WaitingShown, {}))
    Meter.gauge("shallot_capacity_waiting", {{"tenant", Shown.str()}}, 0);
  for (const auto &[Count, Name] : Most) {
    Meter.gauge("shallot_capacity_waiting", {{"tenant", Name.str()}},
                double(Count));
    WaitingShown.insert(Name);
  }
}

} // namespace shallot
