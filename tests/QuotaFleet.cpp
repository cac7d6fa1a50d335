//===- QuotaFleet.cpp -----------------------------------------------------===//
#include "QuotaFleet.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot::test {

namespace {

constexpr Duration Step = Millis(5);
constexpr Duration InRegion = Millis(1);
constexpr Duration BetweenRegions = Millis(8);
/// Silence after which the others take a daemon for failed, and it itself stops
/// to grant tokens.
constexpr Duration FailureDetection = Millis(2400);
constexpr Duration MaxSilence = Seconds(2);
/// After this a daemon that started knows the others.
constexpr Duration JoinTime = Millis(600);

} // namespace

const Tenant &QuotaFleet::name() {
  static const Tenant Name("acme");
  return Name;
}

QuotaFleet::QuotaFleet(QuotaFleetOptions O)
    : O(O), Rng(O.Seed), Now(Seconds(1000)), Daemons(O.Daemons) {
  for (std::size_t N = 0; N < O.Daemons; ++N)
    start(N);
  run(Seconds(10), 0, {});
}

DaemonId QuotaFleet::idOf(std::size_t N) const {
  return {HostId(fmt::format("d{:03}", N)), Daemons[N].Incarnation};
}

Member QuotaFleet::seen(std::size_t Observer, std::size_t N) const {
  const Daemon &D = Daemons[N];
  Member M;
  M.Id = idOf(N);
  M.Zone = AvailabilityZone(fmt::format("z{}", N % O.Regions));
  M.Reg = Region(fmt::format("r{}", N % O.Regions));
  M.Gossip = {fmt::format("10.0.0.{}", N), 7740};
  bool Reached = D.Agent && D.Side == Daemons[Observer].Side;
  M.State = Reached ? MemberState::Alive : MemberState::Failed;
  M.Capacity = 500;
  return M;
}

/// Every daemon learns of a change of \p Changed after \p Least and up to
/// ViewDelay more.
void QuotaFleet::announce(std::size_t Changed, Duration Least) {
  for (std::size_t N = 0; N < Daemons.size(); ++N) {
    Duration More = fromMillisF(toMillisF(O.ViewDelay) * uniform01(Rng));
    Daemons[N].Pending.emplace(
        Now + Least + (N == Changed ? Duration(0) : More), Changed);
  }
}

void QuotaFleet::updateViews() {
  for (std::size_t N = 0; N < Daemons.size(); ++N) {
    Daemon &D = Daemons[N];
    bool Changed = false;
    while (!D.Pending.empty() && D.Pending.begin()->first <= Now) {
      std::size_t Who = D.Pending.begin()->second;
      D.Pending.erase(D.Pending.begin());
      Member M = seen(N, Who);
      std::erase_if(D.View.Members, [&](const Member &Old) {
        return Old.Id.Host == M.Id.Host;
      });
      D.View.Members.push_back(M);
      Changed = true;
    }
    if (!Changed || !D.Agent)
      continue;
    std::ranges::sort(D.View.Members, {}, &Member::Id);
    ++D.View.Number;
    perform(N, D.Agent->update(D.View, Now));
  }
}

void QuotaFleet::start(std::size_t N) {
  Daemon &D = Daemons[N];
  ++D.Incarnation;
  D.Agent.emplace(idOf(N), O.Tolerated);
  D.Agent->setQuotas({{name(), O.Limit}});
  D.StartedAt = Now;
  D.View = {};
  D.Pending.clear();
  announce(N, Duration(0));
  for (std::size_t Other = 0; Other < Daemons.size(); ++Other)
    D.Pending.emplace(Now + fromMillisF(toMillisF(JoinTime) * uniform01(Rng)),
                      Other);
}

void QuotaFleet::rejoin(std::size_t N) {
  ++Daemons[N].Incarnation;
  Daemons[N].Agent->setSelf(idOf(N));
  announce(N, Duration(0));
}

void QuotaFleet::kill(std::size_t N) {
  Daemons[N].Agent.reset();
  announce(N, FailureDetection);
}

void QuotaFleet::cutOff(const std::vector<std::size_t> &Cut) {
  static int LastSide = 0;
  int Side = ++LastSide;
  for (std::size_t N : Cut) {
    Daemons[N].Side = Side;
    Daemons[N].SideSince = Now;
  }
  for (std::size_t N = 0; N < Daemons.size(); ++N)
    announce(N, FailureDetection);
}

void QuotaFleet::heal() {
  for (std::size_t N = 0; N < Daemons.size(); ++N) {
    Daemons[N].Side = 0;
    announce(N, Duration(0));
  }
}

std::size_t QuotaFleet::ownerSeenBy(std::size_t Daemon) const {
  const Member *M = Daemons[Daemon].Agent->owners().owner(name());
  return std::stoul(M->Id.Host.str().substr(1));
}

bool QuotaFleet::mayGrant(const Daemon &D) const {
  if (Now - D.StartedAt < JoinTime)
    return false;
  bool Alone = std::ranges::count_if(Daemons, [&](const Daemon &Other) {
                 return Other.Agent && Other.Side == D.Side;
               }) == 1;
  return D.Side == 0 || !Alone || Now - D.SideSince < MaxSilence;
}

void QuotaFleet::perform(std::size_t From, const QuotaOutput &Out) {
  for (const QuotaSend &S : Out.Sends) {
    ++Sent;
    SentBytes += encodeQuota(S.Message).size();
    std::size_t To = std::stoul(S.To.Id.Host.str().substr(1));
    Duration Delay =
        From % O.Regions == To % O.Regions ? InRegion : BetweenRegions;
    Delay += fromMillisF(2 * uniform01(Rng));
    unsigned Copies =
        1 + (uniform01(Rng) < O.DuplicateRate) - (uniform01(Rng) < O.LossRate);
    for (unsigned I = 0; I < Copies; ++I)
      Flights.emplace(Now + Delay * (1 + I),
                      Flight{From, To, S.To.Id.Incarnation, S.Message});
  }
  for (const AdmissionEvent &E : Out.Events)
    decided(E.Final);
}

void QuotaFleet::decided(const AdmissionDecision &Decision) {
  if (Decision.What == AdmissionAction::Start)
    Starts.push_back(Now);
  if (Decision.What == AdmissionAction::Refuse) {
    ++Refused;
    Unknown += Decision.Code == ResultCode::QuotaUnknown;
  }
}

void QuotaFleet::request(std::size_t At) {
  Daemon &D = Daemons[At];
  if (!D.Agent)
    return;
  ++Offered;
  QuotaOutput Out;
  decided(D.Agent->offer(name(), ++LastTicket, Now + O.MaxWait, Out, Now));
  perform(At, Out);
}

void QuotaFleet::run(Duration For, double Rate,
                     const std::vector<std::size_t> &At) {
  Instant End = Now + For;
  while (Now < End) {
    Now += Step;
    updateViews();
    while (!Flights.empty() && Flights.begin()->first <= Now) {
      Flight F = std::move(Flights.begin()->second);
      Flights.erase(Flights.begin());
      Daemon &To = Daemons[F.To];
      if (To.Agent && To.Incarnation == F.ToIncarnation &&
          To.Side == Daemons[F.From].Side)
        perform(F.To, To.Agent->receive(F.Message, Now));
    }
    for (std::size_t N = 0; N < Daemons.size(); ++N)
      if (Daemon &D = Daemons[N]; D.Agent) {
        D.Agent->setMayGrant(mayGrant(D), Now);
        bool Due = (Now - D.StartedAt) % QuotaTick == Duration(0);
        if (Due || D.Agent->waiting())
          perform(N, D.Agent->tick(Now));
      }
    Owed += At.empty() ? 0 : Rate * toMillisF(Step) / 1000 * 2 * uniform01(Rng);
    for (; Owed >= 1; Owed -= 1)
      request(At[below(Rng, At.size())]);
  }
}

std::size_t QuotaFleet::mostInWindow() const {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t I = 0; I < Starts.size(); ++I) {
    while (Starts[I] - Starts[First] >= O.Tolerated.Window)
      ++First;
    Most = std::max(Most, I - First + 1);
  }
  return Most;
}

double QuotaFleet::bound() const {
  return O.Limit.Rate * toMillisF(O.Tolerated.Window) / 1000 + O.Limit.Burst +
         O.Tolerated.excess(O.Limit);
}

void QuotaFleet::resetCounts() {
  Starts.clear();
  Offered = Refused = Unknown = Sent = SentBytes = 0;
}

} // namespace shallot::test
