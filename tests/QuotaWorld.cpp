//===- QuotaWorld.cpp -----------------------------------------------------===//
#include "QuotaWorld.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace shallot::test {

namespace {

constexpr Duration Step = Millis(250);
/// Of a message; each step has RoundsInStep of them.
constexpr Duration Latency = Millis(10);
constexpr unsigned RoundsInStep = 4;
/// Silence after which a daemon stops to grant, and after which the others take
/// it for failed.
constexpr Duration MaxSilence = MaxOwnerSilence;
constexpr Duration FailureDetection = Millis(2250);
/// The most by which the views of two daemons that reach each other differ.
constexpr Duration ViewLag = Millis(2250);
/// After this a daemon that started knows the others and may grant.
constexpr Duration JoinTime = Millis(500);
constexpr std::size_t BurstSize = 16;
/// Requests of a flood that wait at each daemon at any time.
constexpr std::size_t FloodWaiting = 6;
constexpr Duration Forever = Seconds(100'000);

const Tenant &name() {
  static const Tenant Name("acme");
  return Name;
}

std::size_t numberOf(const DaemonId &Id) {
  return std::size_t(Id.Host.str().back() - '0');
}

} // namespace

QuotaWorld::QuotaWorld(const QuotaWorldOptions &O)
    : O(O), Now(Seconds(1000)), Daemons(O.Daemons) {
  for (Daemon &D : Daemons)
    D.Known.resize(O.Daemons);
  for (std::size_t N = 0; N < O.Daemons; ++N) {
    start(N, 0);
    step(); // Their periods of cleanup differ.
  }
  calm();
}

/// Long enough for views to agree, owners to settle and the bucket to fill up.
void QuotaWorld::calm() {
  for (int I = 0; I < 12; ++I) {
    Quiet = I < 10;
    run();
  }
}

DaemonId QuotaWorld::idOf(std::size_t N) const {
  return {HostId(fmt::format("d{}", N)), Daemons[N].Incarnation};
}

Member QuotaWorld::member(std::size_t N, bool Reached) const {
  Member M;
  M.Id = idOf(N);
  M.Zone = AvailabilityZone(fmt::format("z{}", N % O.Zones));
  M.Reg = Region("r");
  M.State = Reached ? MemberState::Alive : MemberState::Failed;
  M.Capacity = 500;
  return M;
}

bool QuotaWorld::reaches(std::size_t A, std::size_t B) const {
  return Daemons[A].Agent && Daemons[B].Agent &&
         Daemons[A].Side == Daemons[B].Side;
}

void QuotaWorld::tell(std::size_t Observer, std::size_t About, bool Reached,
                      Duration After, unsigned Late) {
  if (!Daemons[Observer].Agent)
    return;
  Duration More = (Late >> Observer & 1) != 0 ? ViewLag : Duration(0);
  Daemons[Observer].Pending.push_back(
      {Now + After + More, About, ++LastNews, member(About, Reached)});
}

void QuotaWorld::start(std::size_t N, unsigned Late) {
  Daemon &D = Daemons[N];
  ++D.Incarnation;
  D.Agent.emplace(idOf(N), O.Tolerated, O.Safeguards.Policy);
  D.Agent->setQuotas({{name(), O.Limit}});
  std::set<AvailabilityZone> Zones;
  for (std::size_t Z = 0; Z < O.Zones; ++Z)
    Zones.insert(AvailabilityZone(fmt::format("z{}", Z)));
  D.Agent->setZones(std::move(Zones));
  D.StartedAt = D.HeardAt = Now;
  D.View = {};
  D.Pending.clear();
  D.Waiting = 0;
  std::ranges::fill(D.Known, 0);
  for (std::size_t Other = 0; Other < Daemons.size(); ++Other) {
    if (Other == N) {
      tell(N, N, true, Duration(0), 0);
    } else if (reaches(N, Other)) {
      tell(Other, N, true, Duration(0), Late);
      tell(N, Other, true, JoinTime, 0);
    }
  }
}

void QuotaWorld::kill(std::size_t N, unsigned Late) {
  for (std::size_t Other = 0; Other < Daemons.size(); ++Other)
    if (Other != N && reaches(N, Other))
      tell(Other, N, false, FailureDetection, Late);
  Daemons[N].Agent.reset();
}

/// Tells of what changed in who reaches whom since the sides were \p Before.
void QuotaWorld::tellReach(const std::vector<unsigned> &Before, unsigned Late) {
  for (std::size_t A = 0; A < Daemons.size(); ++A)
    for (std::size_t B = 0; B < Daemons.size(); ++B) {
      bool Was = Before[A] == Before[B];
      bool Is = Daemons[A].Side == Daemons[B].Side;
      if (Was == Is || !Daemons[B].Agent)
        continue;
      tell(A, B, Is, Is ? Duration(0) : FailureDetection, Late);
    }
}

bool QuotaWorld::possible(const QuotaEvent &E) const {
  bool Up = Daemons[E.Who].Agent.has_value();
  bool Whole =
      std::ranges::all_of(Daemons, [](const Daemon &D) { return D.Side == 0; });
  switch (E.Kind) {
  case QuotaEventKind::Start:
    return !Up;
  case QuotaEventKind::CutOff:
  case QuotaEventKind::Split:
    return Up && Whole;
  case QuotaEventKind::Heal:
    return !Whole;
  case QuotaEventKind::None:
  case QuotaEventKind::RestartAll:
    return true;
  case QuotaEventKind::Flood:
    return !Flooded;
  case QuotaEventKind::Burst:
    return Up && !Flooded;
  default:
    return Up;
  }
}

void QuotaWorld::perform(const QuotaEvent &E) {
  std::vector<unsigned> Before;
  for (const Daemon &D : Daemons)
    Before.push_back(D.Side);
  switch (E.Kind) {
  case QuotaEventKind::None:
    break;
  case QuotaEventKind::Kill:
    kill(E.Who, E.Late);
    break;
  case QuotaEventKind::Start:
  case QuotaEventKind::Restart:
    start(E.Who, E.Late);
    break;
  case QuotaEventKind::RestartAll:
    for (Daemon &D : Daemons)
      D.Agent.reset();
    for (std::size_t N = 0; N < Daemons.size(); ++N)
      start(N, E.Late);
    break;
  case QuotaEventKind::CutOff:
    Daemons[E.Who].Side = 1;
    tellReach(Before, E.Late);
    break;
  case QuotaEventKind::Split:
    Daemons[E.Who].Side = Daemons[(E.Who + 2) % Daemons.size()].Side = 1;
    tellReach(Before, E.Late);
    break;
  case QuotaEventKind::Doubt:
    for (std::size_t Other = 0; Other < Daemons.size(); ++Other)
      if (Other != E.Who && reaches(E.Who, Other)) {
        tell(Other, E.Who, false, Duration(0), E.Late);
        tell(Other, E.Who, true, ViewLag, 0);
        ++Daemons[Other].Pending.back().Is.Id.Incarnation;
      }
    tell(E.Who, E.Who, true, ViewLag, 0);
    ++Daemons[E.Who].Pending.back().Is.Id.Incarnation;
    break;
  case QuotaEventKind::Heal:
    for (Daemon &D : Daemons)
      D.Side = 0;
    tellReach(Before, E.Late);
    break;
  case QuotaEventKind::Lose:
  case QuotaEventKind::Delay:
    Disturbance = E.Kind;
    DisturbedAt = E.Who;
    Touched = false;
    break;
  case QuotaEventKind::Burst:
    for (std::size_t I = 0; I < BurstSize; ++I)
      offer(E.Who, Step);
    break;
  case QuotaEventKind::Flood:
    Flooded = true;
    break;
  }
}

bool QuotaWorld::run() {
  for (Duration Passed{}; Passed < EventPeriod; Passed += Step)
    step();
  Disturbance = QuotaEventKind::None;
  return std::exchange(Touched, true);
}

void QuotaWorld::learn(std::size_t N) {
  Daemon &D = Daemons[N];
  bool Changed = false;
  for (const News &I : D.Pending) {
    if (I.At > Now || I.Number <= D.Known[I.About])
      continue;
    D.Known[I.About] = I.Number;
    if (I.About == N && I.Is.Id != idOf(N)) {
      D.Incarnation = I.Is.Id.Incarnation;
      D.Agent->setSelf(I.Is.Id);
    }
    std::erase_if(D.View.Members, [&](const Member &Old) {
      return Old.Id.Host == I.Is.Id.Host;
    });
    D.View.Members.push_back(I.Is);
    Changed = true;
  }
  std::erase_if(D.Pending, [&](const News &I) { return I.At <= Now; });
  if (!Changed)
    return;
  std::ranges::sort(D.View.Members, {}, &Member::Id);
  ++D.View.Number;
  send(N, D.Agent->update(D.View, Now));
}

bool QuotaWorld::mayGrant(std::size_t N) const {
  const Daemon &D = Daemons[N];
  if (Now - D.StartedAt < JoinTime)
    return false;
  return !O.Safeguards.StopsWhenCutOff || Now - D.HeardAt < MaxSilence;
}

void QuotaWorld::step() {
  Instant Begin = Now;
  Starts.push_back(0);
  for (std::size_t N = 0; N < Daemons.size(); ++N)
    for (std::size_t Other = 0; Other < Daemons.size(); ++Other)
      if (Other != N && reaches(N, Other))
        Daemons[N].HeardAt = Now;
  for (std::size_t N = 0; N < Daemons.size(); ++N)
    if (Daemons[N].Agent) {
      Daemons[N].Agent->setHeardAt(Daemons[N].HeardAt);
      Daemons[N].Agent->setViewComplete(true);
      Daemons[N].Agent->setMayGrant(mayGrant(N), Now);
      learn(N);
    }
  arrive();
  for (unsigned Round = 0; Round < RoundsInStep; ++Round) {
    deliver();
    for (std::size_t N = 0; N < Daemons.size(); ++N)
      if (Daemon &D = Daemons[N]; D.Agent && (Round == 0 || D.Agent->waiting()))
        send(N, D.Agent->tick(Now));
    Now += Latency;
  }
  Now = Begin + Step;
  countWindow();
}

void QuotaWorld::deliver() {
  std::vector<Flight> Due;
  std::erase_if(Flights, [&](Flight &F) {
    if (F.At > Now)
      return false;
    Due.push_back(std::move(F));
    return true;
  });
  for (const Flight &F : Due)
    if (reaches(F.From, F.To) ||
        (Daemons[F.To].Agent && !Daemons[F.From].Agent))
      send(F.To, Daemons[F.To].Agent->receive(F.Message, Now));
}

void QuotaWorld::arrive() {
  bool Second = Now.time_since_epoch() % Seconds(1) == Duration(0);
  for (std::size_t N = 0; N < Daemons.size(); ++N) {
    Daemon &D = Daemons[N];
    if (!D.Agent)
      continue;
    if (Flooded)
      while (D.Waiting < FloodWaiting && Starts.back() < 1000)
        offer(N, Forever);
    else if (O.Trickle && Second && !Quiet)
      offer(N, Step);
  }
}

void QuotaWorld::offer(std::size_t At, Duration MaxWait) {
  Daemon &D = Daemons[At];
  QuotaOutput Out;
  AdmissionDecision Decision =
      D.Agent->offer(name(), ++LastTicket, Now + MaxWait, Out, Now);
  D.Waiting += Decision.What == AdmissionAction::Wait;
  Starts.back() += Decision.What == AdmissionAction::Start;
  send(At, Out);
}

void QuotaWorld::send(std::size_t From, const QuotaOutput &Out) {
  for (const QuotaSend &S : Out.Sends) {
    bool Disturbed = Disturbance != QuotaEventKind::None && DisturbedAt == From;
    Touched |= Disturbed;
    if (Disturbed && Disturbance == QuotaEventKind::Lose)
      continue;
    Flight F{Now + Latency, From, numberOf(S.To.Id), S.Message};
    if (Disturbed)
      F.At += EventPeriod;
    for (QuotaRelease &R : F.Message.Releases) {
      if (!O.Safeguards.ReservesReleased)
        R.Outstanding = 0;
      if (!O.Safeguards.ReleasesEmpty && R.Level == 0)
        R.Level = O.Limit.Burst;
    }
    Flights.push_back(std::move(F));
  }
  for (const AdmissionEvent &E : Out.Events) {
    --Daemons[From].Waiting;
    Starts.back() += E.Final.What == AdmissionAction::Start;
  }
}

void QuotaWorld::countWindow() {
  // The starts of so many steps lie within less than a window.
  auto Steps = std::size_t(O.Tolerated.Window / Step);
  std::size_t First = Starts.size() > Steps ? Starts.size() - Steps : 0;
  std::size_t Sum = 0;
  for (std::size_t I = First; I < Starts.size(); ++I)
    Sum += Starts[I];
  Most = std::max(Most, Sum);
}

double QuotaWorld::bound() const {
  return O.Limit.Rate * toMillisF(O.Tolerated.Window) / 1000 + O.Limit.Burst +
         O.Tolerated.excess(O.Limit);
}

std::string QuotaWorld::describe(const QuotaEvent &E) const {
  static constexpr const char *Names[] = {"none",
                                          "kill",
                                          "start",
                                          "restart",
                                          "restart all",
                                          "cut off",
                                          "split",
                                          "wrongly failed",
                                          "heal",
                                          "lose messages of",
                                          "delay messages of",
                                          "burst at",
                                          "flood"};
  std::string Text = fmt::format("{} d{}", Names[std::size_t(E.Kind)], E.Who);
  for (std::size_t N = 0; N < Daemons.size(); ++N)
    if ((E.Late >> N & 1) != 0)
      Text += fmt::format(", d{} learns late", N);
  return Text;
}

} // namespace shallot::test
