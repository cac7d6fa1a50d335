//===- RouteAdmission.cpp - Groups of routes and their limits -------------===//
#include "forward/RouteAdmission.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <set>
#include <utility>

namespace shallot {

namespace {

/// How long a request may wait for admission, as a fraction of its latency
/// objective. A caller refused by then can still retry in time; a request that
/// starts later has too little time left for a hedge.
constexpr double QueueWaitFraction = 0.2;
/// Queue limit: at a hundred starts per second, more requests than this cannot
/// start within any route's wait.
constexpr unsigned MaxWaiting = 64;
/// The target mean queueing delay at replicas, as a fraction of the latency
/// objective: 18 ms for an objective of 150 ms, slightly more than the service
/// time of two requests. With more, answers are late (mean credit under bursts
/// 0.379 with 0.15, 0.400 with 0.12); with less, slots are idle (0.364 with
/// 0.08).
constexpr double QueuedFraction = 0.12;

ConcurrencyLimitOptions limitOptions() {
  ConcurrencyLimitOptions O;
  // While replies are late the limit grows to what they need. When an overload
  // follows, steps of a tenth would take four seconds to come down from there.
  O.Decrease = 0.8;
  // Overload is one query in ten that fails because of full replicas; fewer are
  // chance.
  O.TargetOverloaded = 0.1;
  return O;
}

Duration scaled(Duration Whole, double Factor) {
  return fromMillisF(toMillisF(Whole) * Factor);
}

/// Requests of the same priorities and objective share a queue, so that a
/// thousand routes need a handful of classes. \p Priority is that of the
/// organisation, if it has one.
CallerClass classOf(unsigned Priority, const Route &R) {
  return CallerClass(
      fmt::format("p{}-{}-{}", Priority, R.Priority, toMillis(R.Objective)));
}

/// Its class was removed by a new configuration; the code of this stands for
/// "not found", while the caller's path may still have a route.
bool isUnknownClass(const AdmissionDecision &D) {
  return D.What == AdmissionAction::Refuse &&
         D.Code == ResultCode::UnknownClass;
}

AdmissionDecision routeChanged() {
  return AdmissionDecision::refuse(ResultCode::RouteChanged, MinRetryAfter);
}

std::set<unsigned> prioritiesOf(const Organisations &Callers) {
  std::set<unsigned> Found;
  for (const Organisation &O : Callers.all())
    if (O.Priority)
      Found.insert(*O.Priority);
  return Found;
}

/// Computes the group of each route: routes that have a service in common are
/// in the same group.
class Components {
public:
  explicit Components(const std::vector<Route> &Routes)
      : Parent(Routes.size()) {
    std::iota(Parent.begin(), Parent.end(), 0);
    std::unordered_map<ServiceName, std::size_t> First;
    for (std::size_t I = 0; I < Routes.size(); ++I)
      for (const ServiceName &S : servicesOf(Routes[I].Target))
        join(First.try_emplace(S, I).first->second, I);
  }
  std::size_t of(std::size_t Route) {
    while (Parent[Route] != Route)
      Route = Parent[Route] = Parent[Parent[Route]];
    return Route;
  }

private:
  static std::vector<ServiceName> servicesOf(const RouteTarget &T) {
    if (const auto *Fan = std::get_if<ShardFanOut>(&T))
      return Fan->Shards;
    if (const auto *One = std::get_if<ServiceName>(&T))
      return {*One};
    std::vector<ServiceName> Names;
    for (const WeightedService &W : std::get<WeightedSplit>(T))
      Names.push_back(W.Service);
    return Names;
  }
  void join(std::size_t A, std::size_t B) { Parent[of(B)] = of(A); }

  std::vector<std::size_t> Parent;
};

/// The classes of \p Routes, for the priority of each route and for those of
/// the organisations. Among requests of one organisation the priorities of the
/// routes decide.
ClassPolicies policiesOf(const std::vector<const Route *> &Routes,
                         const std::set<unsigned> &OfCallers) {
  std::set<std::pair<unsigned, const Route *>> Members;
  std::set<std::pair<unsigned, unsigned>> Ranks;
  for (const Route *R : Routes) {
    std::set<unsigned> Priorities = OfCallers;
    Priorities.insert(R->Priority);
    for (unsigned Priority : Priorities) {
      Members.insert({Priority, R});
      Ranks.insert({Priority, R->Priority});
    }
  }
  ClassPolicies Policies;
  for (const auto &[Priority, R] : Members) {
    ClassPolicy &C = Policies[classOf(Priority, *R)];
    C.Priority = static_cast<unsigned>(
        std::distance(Ranks.begin(), Ranks.find({Priority, R->Priority})));
    C.QueueWait = scaled(R->Objective, QueueWaitFraction);
    C.QueueLimit = MaxWaiting;
  }
  return Policies;
}

Duration targetQueued(const std::vector<const Route *> &Routes) {
  Duration Shortest = Duration::max();
  for (const Route *R : Routes)
    Shortest = std::min(Shortest, R->Objective);
  return scaled(Shortest, QueuedFraction);
}

} // namespace

void RouteAdmission::install(const ServingConfig &C) {
  Components Of(C.routes());
  std::map<std::size_t, std::vector<const Route *>> Members;
  for (std::size_t I = 0; I < C.routes().size(); ++I)
    Members[Of.of(I)].push_back(&C.routes()[I]);
  std::set<unsigned> OfCallers = prioritiesOf(C.callers());
  HasOrganisations = !C.callers().empty();
  auto Before = std::exchange(ByRoute, {});
  auto GroupsBefore = std::exchange(Groups, {});
  for (const auto &[Number, Routes] : Members) {
    GroupPtr G = existingGroup(Before, Routes);
    if (G)
      G->setClasses(policiesOf(Routes, OfCallers), targetQueued(Routes));
    else
      G = std::make_shared<Admission>(policiesOf(Routes, OfCallers),
                                      targetQueued(Routes), limitOptions());
    Groups.push_back(G);
    for (const Route *R : Routes)
      ByRoute[R->Name] = G;
  }
  for (const GroupPtr &G : GroupsBefore)
    if (std::ranges::find(Groups, G) == Groups.end() && G->report().Waiting > 0)
      Groups.push_back(G);
}

/// The previous group of one of \p Routes, unless it is in use for others.
RouteAdmission::GroupPtr
RouteAdmission::existingGroup(const GroupMap &Before,
                              const std::vector<const Route *> &Routes) const {
  for (const Route *R : Routes) {
    auto At = Before.find(R->Name);
    if (At != Before.end() &&
        std::ranges::find(Groups, At->second) == Groups.end())
      return At->second;
  }
  return nullptr;
}

AdmissionDecision RouteAdmission::offer(const Route &R, unsigned Priority,
                                        TicketId Id, Instant Deadline,
                                        Instant Now, const FairClaim &Claim) {
  auto At = ByRoute.find(R.Name);
  if (At == ByRoute.end())
    return routeChanged();
  const GroupPtr &G = At->second;
  AdmissionDecision Decision =
      G->offer({Id, classOf(Priority, R), Deadline, Claim}, Now);
  if (isUnknownClass(Decision))
    return routeChanged();
  if (Decision.What != AdmissionAction::Refuse)
    Tickets.emplace(Id, Ticket{G, Claim.Organisation, Claim.Cost});
  count(Decision.What, Claim.Organisation, Claim.Cost);
  return Decision;
}

void RouteAdmission::count(AdmissionAction What, const Tenant &Organisation,
                           double Cost) {
  if (!HasOrganisations)
    return;
  if (What == AdmissionAction::Start)
    Tally.started(Organisation, Cost);
  else if (What == AdmissionAction::Refuse)
    Tally.refused(Organisation);
}

std::map<Tenant, std::size_t> RouteAdmission::waiting() const {
  std::map<Tenant, std::size_t> Counts;
  for (const GroupPtr &G : Groups)
    G->addWaiting(Counts);
  return Counts;
}

void RouteAdmission::done(TicketId Id, const LoadSample &S, Instant Now) {
  auto At = Tickets.find(Id);
  if (At == Tickets.end())
    return;
  At->second.Group->done(Id, S, Now);
  Tickets.erase(At);
}

void RouteAdmission::cancel(TicketId Id) {
  auto At = Tickets.find(Id);
  if (At == Tickets.end())
    return;
  At->second.Group->cancel(Id);
  Tickets.erase(At);
}

AdmissionEvents RouteAdmission::poll(Instant Now) {
  AdmissionEvents All;
  for (const GroupPtr &G : Groups) {
    AdmissionEvents Some = G->poll(Now);
    All.insert(All.end(), Some.begin(), Some.end());
  }
  for (AdmissionEvent &E : All) {
    if (auto At = Tickets.find(E.Id); At != Tickets.end())
      count(E.Final.What, At->second.Organisation, At->second.Cost);
    if (E.Final.What != AdmissionAction::Refuse)
      continue;
    Tickets.erase(E.Id);
    if (isUnknownClass(E.Final))
      E.Final = routeChanged();
  }
  return All;
}

std::optional<Instant> RouteAdmission::nextExpiry() const {
  std::optional<Instant> Next;
  for (const GroupPtr &G : Groups)
    if (auto At = G->nextExpiry(); At && (!Next || *At < *Next))
      Next = At;
  return Next;
}

AdmissionReport RouteAdmission::report(const Route &R) const {
  auto At = ByRoute.find(R.Name);
  return At == ByRoute.end() ? AdmissionReport() : At->second->report();
}

} // namespace shallot
