//===- QuotaFleet.cpp -----------------------------------------------------===//
#include "QuotaFleet.h"

#include <algorithm>
#include <fmt/format.h>

namespace shallot::test {

namespace {

constexpr Duration Step = Millis(5);
constexpr Duration InRegion = Millis(1);
constexpr Duration BetweenRegions = Millis(8);
/// Silence after which the others take a daemon for failed.
constexpr Duration FailureDetection = Millis(2400);
/// After this a daemon that started knows the others.
constexpr Duration JoinTime = Millis(600);
/// Hosts that regain power are up within this time.
constexpr Duration PowerUpTime = Millis(400);
/// Time from the start of a daemon of such a host to its configuration.
constexpr Duration MinConfiguration = Millis(800);
constexpr Duration MaxConfiguration = Millis(1300);

AvailabilityZone zoneOf(std::size_t Region) {
  return AvailabilityZone(fmt::format("z{}", Region));
}

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
  M.Zone = zoneOf(N % O.Regions);
  M.Reg = Region(fmt::format("r{}", N % O.Regions));
  M.Gossip = {fmt::format("10.0.0.{}", N), 7740};
  bool Reached = D.Agent && D.Side == Daemons[Observer].Side;
  M.State = !Reached       ? MemberState::Failed
            : D.Configured ? MemberState::Alive
                           : MemberState::Starting;
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
      // A daemon that started does not learn of those that failed before.
      bool Known = std::ranges::any_of(D.View.Members, [&](const Member &Old) {
        return Old.Id.Host == M.Id.Host;
      });
      if (!Known && M.State == MemberState::Failed)
        continue;
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

void QuotaFleet::start(std::size_t N, Duration Configuration) {
  Daemon &D = Daemons[N];
  ++D.Incarnation;
  D.Agent.emplace(idOf(N), O.Tolerated);
  std::set<AvailabilityZone> Zones;
  for (std::size_t R = 0; R < O.Regions; ++R)
    Zones.insert(zoneOf(R));
  D.Agent->setZones(std::move(Zones));
  D.StartsAt = Instant::max();
  D.Configured = false;
  D.StartedAt = D.HeardAt = Now;
  D.ConfiguredAt = Now + Configuration;
  D.View = {};
  D.Pending.clear();
  updateRuns(N);
  announce(N, Duration(0));
  for (std::size_t Other = 0; Other < Daemons.size(); ++Other)
    D.Pending.emplace(Now + fromMillisF(toMillisF(JoinTime) * uniform01(Rng)),
                      Other);
}

/// Starts the daemon and gives it its configuration when these are due.
void QuotaFleet::updateRuns(std::size_t N) {
  Daemon &D = Daemons[N];
  if (D.StartsAt <= Now)
    start(N, D.ConfiguredAt - D.StartsAt);
  if (!D.Agent || D.Configured || D.ConfiguredAt > Now)
    return;
  D.Configured = true;
  D.Agent->setQuotas({{name(), O.Limit}});
  if (D.StartedAt != Now)
    announce(N, Duration(0));
}

void QuotaFleet::killAllBut(const std::vector<std::size_t> &Left) {
  for (std::size_t N = 0; N < Daemons.size(); ++N)
    if (std::ranges::find(Left, N) == Left.end())
      kill(N);
}

void QuotaFleet::startAll() {
  ConfiguredAt = Instant::max();
  for (Daemon &D : Daemons) {
    if (D.Agent)
      continue;
    D.StartsAt = Now + fromMillisF(toMillisF(PowerUpTime) * uniform01(Rng));
    D.ConfiguredAt =
        D.StartsAt + MinConfiguration +
        fromMillisF(toMillisF(MaxConfiguration - MinConfiguration) *
                    uniform01(Rng));
    ConfiguredAt = std::min(ConfiguredAt, D.ConfiguredAt);
  }
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
  for (std::size_t N : Cut)
    Daemons[N].Side = Side;
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

void QuotaFleet::hearOthers() {
  std::map<int, std::size_t> Running;
  for (const Daemon &D : Daemons)
    Running[D.Side] += D.Agent.has_value();
  for (Daemon &D : Daemons)
    if (Running[D.Side] > 1 || Daemons.size() == 1)
      D.HeardAt = Now;
}

bool QuotaFleet::mayGrant(const Daemon &D) const {
  return Now - D.StartedAt >= JoinTime && Now - D.HeardAt < MaxOwnerSilence;
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
  if (!D.Agent || !D.Configured)
    return;
  Offers.push_back(Now);
  QuotaOutput Out;
  decided(D.Agent->offer(name(), ++LastTicket, Now + O.MaxWait, Out, Now));
  perform(At, Out);
}

void QuotaFleet::run(Duration For, double Rate,
                     const std::vector<std::size_t> &At) {
  Instant End = Now + For;
  while (Now < End) {
    Now += Step;
    for (std::size_t N = 0; N < Daemons.size(); ++N)
      updateRuns(N);
    hearOthers();
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

namespace {

std::size_t countIn(const std::vector<Instant> &Times, Instant From,
                    Duration For) {
  return std::size_t(std::ranges::lower_bound(Times, From + For) -
                     std::ranges::lower_bound(Times, From));
}

} // namespace

std::size_t QuotaFleet::offeredIn(Instant From, Duration For) const {
  return countIn(Offers, From, For);
}

std::size_t QuotaFleet::startedIn(Instant From, Duration For) const {
  return countIn(Starts, From, For);
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
  Offers.clear();
  Refused = Unknown = Sent = SentBytes = 0;
}

} // namespace shallot::test
