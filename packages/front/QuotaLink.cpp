//===- QuotaLink.cpp ------------------------------------------------------===//
#include "front/QuotaLink.h"

#include "shallotshift/telemetry.h"

#include <fmt/format.h>

namespace shallot {

namespace {

std::string_view evidenceName(QuotaEvidence E) {
  switch (E) {
  case QuotaEvidence::Waited:
    return "waited";
  case QuotaEvidence::Released:
    return "released";
  case QuotaEvidence::Standby:
    return "standby_agrees";
  case QuotaEvidence::All:
    return "all_agree";
  case QuotaEvidence::Lapsed:
    return "owner_lapsed";
  }
  return "";
}

std::set<AvailabilityZone> zonesOf(const FrontSettings &Set) {
  std::set<AvailabilityZone> Zones;
  for (const auto &[Zone, Reg] : Set.Zones)
    Zones.insert(Zone);
  return Zones;
}

} // namespace

QuotaLink::QuotaLink(EventLoop &Loop, TimerQueue &Timers,
                     const FrontSettings &Set, FleetLink &Fleet)
    : Loop(Loop), Timers(Timers), Address(Set.Quotas), Fleet(Fleet),
      Agent(Fleet.self().Id, Set.QuotaLimits) {
  Agent.setZones(zonesOf(Set));
  refresh();
}

QuotaLink::~QuotaLink() { Timers.cancel(Timer); }

Result<void> QuotaLink::listen() {
  auto Read = [this](std::span<const std::byte> Plain, const Endpoint &) {
    auto M = attempt([&] { return decodeQuota(Plain); });
    if (M)
      receive(*M);
    return bool(M);
  };
  BOOST_LEAF_ASSIGN(Socket,
                    DatagramSocket::open(Loop, Address, "quotas", Read));
  return {};
}

/// Counts suspensions of the machine, in which tokens expire.
Instant QuotaLink::now() const { return Loop.now() + suspendedTime(); }

void QuotaLink::install(const Organisations &Callers) {
  std::unordered_map<Tenant, Quota> Quotas;
  for (const Organisation &O : Callers.all()) {
    if (O.Limit != Agent.quotaOf(O.Name))
      logEvent(LogLevel::Info, "quota_changed",
               {{"organisation", O.Name.str()},
                {"rate", fmt::format("{}", O.Limit.Rate)},
                {"burst", fmt::format("{}", O.Limit.Burst)}});
    if (O.Limit.limited())
      Quotas.emplace(O.Name, O.Limit);
  }
  Enforces = Enforces || !Quotas.empty();
  Agent.setQuotas(std::move(Quotas));
  if (Enforces && Timer == 0)
    tick();
}

void QuotaLink::fleetChanged() { ViewIsNew = true; }

bool QuotaLink::mayGrant() const {
  Instant Now = Loop.now();
  if (!Fleet.mayAct(Now) || Fleet.self().State == MemberState::Left)
    return false;
  if (Fleet.alone())
    return Fleet.settled(Now) && Fleet.confirmedAlone();
  return Now - std::max(Fleet.heardAt(), HeardAt) < MaxOwnerSilence;
}

/// A daemon that is alone has been so since before that was confirmed: what it
/// waits for as an owner began then.
void QuotaLink::setMayGrant(bool May) {
  bool SeemsAlone = Fleet.alone() && Fleet.settled(Loop.now());
  if (!SeemsAlone)
    AloneSince.reset();
  else if (!AloneSince)
    AloneSince = now();
  Agent.setMayGrant(May, May ? AloneSince.value_or(now()) : now());
}

/// A daemon that did not run for a time may have lost its accounts meanwhile,
/// whatever it finds in its sockets.
void QuotaLink::refresh() {
  bool Paused = Fleet.view().Members.size() > 1 &&
                Loop.now() - CheckedAt >= MaxOwnerSilence;
  CheckedAt = Loop.now();
  Agent.setSelf(Fleet.self().Id);
  setMayGrant(!Paused && mayGrant());
  Agent.setViewComplete(Fleet.viewComplete(Loop.now()));
  Agent.setHeardAt(now() - (Loop.now() - std::max(Fleet.heardAt(), HeardAt)));
  if (std::exchange(ViewIsNew, false))
    apply(Agent.update(Fleet.view(), now()));
}

/// Also without quotas: other daemons need the answers.
void QuotaLink::receive(const QuotaMessage &M) {
  refresh();
  HeardAt = Loop.now();
  apply(Agent.receive(M, now()));
  if (Agent.waiting())
    schedule();
}

void QuotaLink::tick() {
  Timer = 0;
  contain("quotas", {}, [this] {
    refresh();
    apply(Agent.tick(now()));
  });
  schedule();
}

void QuotaLink::schedule() {
  Instant Next = Loop.now() + (Agent.waiting() ? QuotaWaitTick : QuotaTick);
  if (Timer != 0 && TimerAt <= Next)
    return;
  Timers.cancel(Timer);
  TimerAt = Next;
  Timer = Timers.at(Next, [this] { tick(); });
}

void QuotaLink::apply(const QuotaOutput &Out) {
  for (const QuotaSend &S : Out.Sends)
    if (Socket)
      Socket->send({S.To.Gossip.Ip, Address.Port}, encodeQuota(S.Message));
  for (const QuotaOpening &O : Out.Opened)
    logEvent(LogLevel::Info, "quota_opened",
             {{"organisation", O.Name.str()},
              {"evidence", std::string(evidenceName(O.Evidence))},
              {"after_ms", std::to_string(toMillis(O.After))}});
  for (const AdmissionEvent &E : Out.Events)
    if (auto Found = Waiting.extract(E.Id))
      contain("quota decision", {}, [&] { Found.mapped()(E.Final); });
}

AdmissionDecision QuotaLink::acquire(const Tenant &Name, TicketId Id,
                                     Duration MaxWait, Callback Fn) {
  refresh();
  Instant Now = now();
  QuotaOutput Out;
  AdmissionDecision Decision = Agent.offer(Name, Id, Now + MaxWait, Out, Now);
  if (Decision.What == AdmissionAction::Wait)
    Waiting.emplace(Id, std::move(Fn));
  if (Agent.waiting())
    schedule();
  apply(Out);
  return Decision;
}

void QuotaLink::cancel(const Tenant &Name, TicketId Id) {
  Waiting.erase(Id);
  Agent.cancel(Name, Id);
}

void QuotaLink::putBack(const Tenant &Name) { Agent.putBack(Name); }

} // namespace shallot
