#include "performance/OverloadModel.h"

#include <cmath>

namespace shallot::bench {

using namespace fixture;

namespace {

const Shape Sizes; // Current site: 25 services of 3 replicas with 2 slots.
constexpr unsigned Daemons = 6;
constexpr Duration Hop = Micros(500); ///< Entry to holder, one way.
constexpr unsigned BaselineAttempts = 3;
constexpr unsigned MaxAttempts = 3;

const CallerClass Desk("reception-desk");
const CallerClass Lookup("lookup");
const CallerClass Pull("routine-pull");

/// Service times are 3 to 9 ms, or 10 to 30 times 6 ms for 1 in 100.
constexpr double MeanServiceMs = 0.99 * 6 + 0.01 * 20 * 6;

ClassPolicy policy(unsigned Priority, Duration Deadline, Duration QueueWait) {
  ClassPolicy P;
  P.Priority = Priority;
  P.Deadline = Deadline;
  P.QueueWait = QueueWait;
  P.Coverage = CoverageRule::Full;
  return P;
}

Preset threeClasses() {
  return preset({{Desk, policy(0, Millis(400), Millis(100))},
                 {Lookup, policy(4, Millis(600), Millis(100))},
                 {Pull, policy(9, Seconds(3), Seconds(1))}});
}

} // namespace

double capacity() {
  return Sizes.Replicas * Sizes.Slots / MeanServiceMs * 1000;
}

Figures run(const Scenario &S) { return Model(S).run(); }

Model::Model(const Scenario &S)
    : Scn(S), Rng(S.Seed), Pre(threeClasses()), Cfg(config(Sizes)),
      View(fleet(Daemons, Sizes.Zones)) {
  eachUpstream(*Cfg, [&](const Upstream &U) {
    UpstreamIndex[U->Id] = unsigned(Upstreams.size());
    Upstreams.push_back(U);
  });
  for (unsigned D = 0; D < Daemons; ++D) {
    DaemonIndex[View.Members[D].Id.Host] = D;
    Entry E(Pre);
    E.Outstanding.resize(Upstreams.size());
    E.Health.resize(Upstreams.size());
    for (const auto &[Class, P] : Pre->Classes)
      E.Retries.emplace(Class, Budget(P.RetryBudgetPercent));
    Entries.push_back(std::move(E));
  }
  allocateSlots(View);
  for (Entry &E : Entries)
    E.Guard.setGuardTime(guardTime(Pre));
}

void Model::at(Instant When, std::function<void()> Fn) {
  Events.push({When, EventOrder++, std::move(Fn)});
}

Figures Model::run() {
  arrive();
  if (Scn.ZoneLostAt)
    at(Instant() + *Scn.ZoneLostAt, [this] { loseZone(); });
  while (!Events.empty()) {
    Event E = Events.top();
    Events.pop();
    Now = E.At;
    E.Fn();
  }
  for (const Query &Q : Queries)
    Out.EndedTwiceOrNever += Q.Counted && Q.Ends != 1 ? 1 : 0;
  unsigned Good = 0;
  for (const auto &[Class, F] : Out.Classes)
    Good += F.Good;
  Out.Goodput = Good / toMillisF(Scn.Length - Scn.WarmUp) * 1000;
  return Out;
}

const CallerClass &Model::drawClass() {
  double X = uniform01(Rng);
  return X < 0.25 ? Desk : (X < 0.75 ? Lookup : Pull);
}

Duration Model::drawService() {
  double Ms = 3 + 6 * uniform01(Rng);
  if (below(Rng, 100) == 0)
    Ms = 6 * (10 + 20 * uniform01(Rng));
  return fromMillisF(Ms);
}

void Model::arrive() {
  double Gap = -std::log(1 - uniform01(Rng)) / (Scn.Load * capacity()) * 1000;
  Instant Next = Now + fromMillisF(Gap);
  if (Next < Instant() + Scn.Length)
    at(Next, [this] { arrive(); });
  std::size_t Id = Queries.size();
  Query &Q = Queries.emplace_back();
  Q.Class = drawClass();
  do
    Q.Entry = unsigned(below(Rng, Daemons));
  while (lost(View.Members[Q.Entry].Zone));
  Q.Arrived = Now;
  Q.Deadline = Now + Pre.find(Q.Class)->Deadline;
  Q.Counted = Now >= Instant() + Scn.WarmUp;
  if (Q.Counted)
    ++Out.Classes[Q.Class].Offered;
  if (Scn.Baseline)
    return start(Id);
  AdmissionDecision V =
      Entries[Q.Entry].Gate.offer({Id, Q.Class, Q.Deadline}, Now);
  if (V.What == AdmissionAction::Start)
    start(Id);
  else if (V.What == AdmissionAction::Refuse)
    refuse(Id);
  pumpEntry(Q.Entry);
}

void Model::pumpEntry(unsigned E) {
  Entry &En = Entries[E];
  for (const AdmissionEvent &T : En.Gate.poll(Now))
    T.Final.What == AdmissionAction::Start ? start(T.Id) : refuse(T.Id);
  std::optional<Instant> Next = En.Gate.nextExpiry();
  if (!Next || (En.PollAt > Now && En.PollAt <= *Next))
    return;
  En.PollAt = *Next;
  at(*Next, [this, E] { pumpEntry(E); });
}

void Model::start(std::size_t Q) {
  Query &Qu = Queries[Q];
  Qu.Started = Now;
  Qu.Left = Sizes.Services;
  Entries[Qu.Entry].Retries.at(Qu.Class).earn(Sizes.Services);
  at(Qu.Deadline, [this, Q] {
    Queries[Q].Overloaded = true;
    end(Q, false);
  });
  for (unsigned S = 0; S < Sizes.Services; ++S)
    send(Q, S, 0, UINT32_MAX);
}

void Model::refuse(std::size_t Q) {
  Query &Qu = Queries[Q];
  ++Qu.Ends;
  if (!Qu.Counted)
    return;
  ++Out.Classes[Qu.Class].Refused;
  Out.RefusalMs.push_back(toMillisF(Now - Qu.Arrived));
  Out.RefusedWithSubRequests += Qu.Sent > 0 ? 1 : 0;
}

void Model::end(std::size_t Q, bool Good) {
  Query &Qu = Queries[Q];
  if (Qu.Ends > 0)
    return;
  ++Qu.Ends;
  if (Qu.Counted)
    ++(Good ? Out.Classes[Qu.Class].Good : Out.Classes[Qu.Class].Failed);
  if (Scn.Baseline || lost(View.Members[Qu.Entry].Zone))
    return;
  LoadSample S{Now - Qu.Started, Qu.Queued / Sizes.Services, Qu.Overloaded};
  Entries[Qu.Entry].Gate.done(Q, S, Now);
  pumpEntry(Qu.Entry);
}

unsigned Model::chooseUpstream(unsigned E, unsigned Service, unsigned Not) {
  const Entry &En = Entries[E];
  unsigned Best = UINT32_MAX;
  double BestScore = 0;
  for (unsigned U = Service * Replicas; U < (Service + 1) * Replicas; ++U) {
    if (U == Not)
      continue;
    bool Spared = !Scn.Baseline && !En.Health[U].admits(Now, Rng);
    double Score = En.Outstanding[U] + uniform01(Rng) + (Spared ? 1e6 : 0);
    if (Best != UINT32_MAX && Score >= BestScore)
      continue;
    Best = U;
    BestScore = Score;
  }
  return Best;
}

unsigned Model::chooseHolder(unsigned E, unsigned Upstream) {
  std::span<const Holder> All = Allocation.holders(Upstreams[Upstream]->Id);
  for (const Holder &H : All)
    if (DaemonIndex[H.Daemon->Id.Host] == E && below(Rng, 2) == 0)
      return E;
  return DaemonIndex[All[below(Rng, All.size())].Daemon->Id.Host];
}

void Model::send(std::size_t Q, unsigned Service, unsigned Attempt,
                 unsigned Not) {
  Query &Qu = Queries[Q];
  ++Qu.Sent;
  if (Qu.Counted)
    ++(Attempt == 0 ? Out.FirstSubRequests : Out.ExtraSubRequests);
  unsigned U = chooseUpstream(Qu.Entry, Service, Not);
  ++Entries[Qu.Entry].Outstanding[U];
  TicketId T = Subs.size();
  Subs.push_back({Q, U, chooseHolder(Qu.Entry, U), Attempt, Now + Hop, {}});
  at(Now + Hop, [this, T] { offer(T); });
}

void Model::offer(TicketId T) {
  Sub &S = Subs[T];
  const Query &Q = Queries[S.Of];
  if (lost(Upstreams[S.Upstream]->Zone) || lost(View.Members[S.Holder].Zone))
    return reply(T, ResultCode::UpstreamUnreachable);
  HolderQueue &H = holder(S.Holder, S.Upstream);
  if (Scn.Baseline) {
    H.Fifo.push_back(T);
    return pumpHolder(S.Holder, S.Upstream);
  }
  if (Q.Ends > 0)
    return reply(T, ResultCode::Cancelled);
  unsigned Priority = Pre.find(Q.Class)->Priority;
  AdmissionDecision V = H.Queue.offer({T, Priority, Q.Deadline}, Now);
  if (V.What == AdmissionAction::Start)
    work(T);
  else if (V.What == AdmissionAction::Refuse)
    reply(T, V.Code);
  pumpHolder(S.Holder, S.Upstream);
}

void Model::pumpHolder(unsigned D, unsigned U) {
  HolderQueue &H = holder(D, U);
  if (Scn.Baseline) {
    for (; H.InWork < H.Slots && !H.Fifo.empty(); H.Fifo.pop_front()) {
      ++H.InWork;
      work(H.Fifo.front());
    }
    return;
  }
  for (const AdmissionEvent &E : H.Queue.poll(Now))
    E.Final.What == AdmissionAction::Start ? work(E.Id)
                                           : reply(E.Id, E.Final.Code);
  std::optional<Instant> Next = H.Queue.nextExpiry();
  if (!Next || (H.PollAt > Now && H.PollAt <= *Next))
    return;
  H.PollAt = *Next;
  at(*Next, [this, D, U] { pumpHolder(D, U); });
}

void Model::work(TicketId T) {
  Subs[T].Queued = Now - Subs[T].Offered;
  Duration Took = drawService();
  at(Now + Took, [this, T, Took] { worked(T, Took); });
}

void Model::worked(TicketId T, Duration Took) {
  const Sub &S = Subs[T];
  HolderQueue &H = holder(S.Holder, S.Upstream);
  if (Scn.Baseline)
    --H.InWork;
  else
    H.Queue.done(T, Took);
  bool Reached = !lost(Upstreams[S.Upstream]->Zone);
  reply(T, Reached ? ResultCode::Ok : ResultCode::UpstreamUnreachable);
  pumpHolder(S.Holder, S.Upstream);
}

void Model::reply(TicketId T, ResultCode Code) {
  at(Now + Hop, [this, T, Code] {
    const Sub &S = Subs[T];
    Query &Q = Queries[S.Of];
    --Entries[Q.Entry].Outstanding[S.Upstream];
    if (Q.Ends > 0)
      return;
    if (Code != ResultCode::Ok)
      return retryOrFail(T, Code);
    Q.Queued += S.Queued;
    if (--Q.Left == 0)
      end(S.Of, true);
  });
}

void Model::retryOrFail(TicketId T, ResultCode Code) {
  const Sub &S = Subs[T];
  Query &Q = Queries[S.Of];
  Entry &E = Entries[Q.Entry];
  bool Unreachable = Code == ResultCode::UpstreamUnreachable;
  Q.Overloaded |= !Unreachable;
  if (Unreachable)
    E.Health[S.Upstream].shed(Now, Duration{0}, Rng);
  bool Retry = Scn.Baseline ? S.Attempt + 1 < BaselineAttempts
                            : S.Attempt + 1 < MaxAttempts &&
                                  E.Retries.at(Q.Class).trySpend();
  if (!Retry)
    return end(S.Of, false);
  send(S.Of, S.Upstream / Replicas, S.Attempt + 1, S.Upstream);
}

void Model::loseZone() {
  LostZone = zone(0);
  // Queries at entry daemons in the lost zone are lost too and not counted.
  for (Query &Q : Queries)
    if (Q.Ends == 0 && lost(View.Members[Q.Entry].Zone)) {
      Q.Ends = 1;
      Q.Counted = false;
    }
  at(Now + ViewPropagationTime, [this] {
    FleetView Left = View;
    std::erase_if(Left.Members, [&](const Member &M) { return lost(M.Zone); });
    allocateSlots(Left);
  });
}

void Model::allocateSlots(const FleetView &V) {
  Allocation = SlotAllocation::make(*Cfg, V, DaemonId());
  for (const Member &M : V.Members) {
    unsigned D = DaemonIndex[M.Id.Host];
    SlotAllocation Own = SlotAllocation::make(*Cfg, V, M.Id);
    auto Use = [this, D](const std::vector<ShareChange> &Changes) {
      for (const ShareChange &C : Changes) {
        HolderQueue &H = holder(D, UpstreamIndex[C.Id]);
        H.Queue.setShare(C.Now);
        H.Slots = C.Now.Slots;
        pumpHolder(D, UpstreamIndex[C.Id]);
      }
    };
    HandoverGuard &Guard = Entries[D].Guard;
    Use(Guard.update(Own, Now));
    if (Guard.nextDue())
      at(*Guard.nextDue(), [this, D, Use] { Use(Entries[D].Guard.due(Now)); });
  }
}

} // namespace shallot::bench
