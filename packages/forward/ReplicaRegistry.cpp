//===- ReplicaRegistry.cpp ------------------------------------------------===//
#include "forward/ReplicaRegistry.h"

#include <algorithm>
#include <unordered_set>

namespace shallot {

namespace {

/// Part of a replica's connections that daemons of its own region share. Sends
/// go to near replicas unless these are slow or stuck, so the near ones need
/// more; the rest is enough to take over a neighbour's load.
constexpr double NearPart = 0.6;
/// Daemons of other regions are given this many times their part: they come
/// only while their own replica is in trouble, and not all at once.
constexpr double FarOvercommit = 1.6;
/// The most of a replica's connections that one daemon takes, however idle the
/// others are: one that has gone mad must leave some for them.
constexpr double MostPart = 0.6;
/// Round-trip times until the first connection has told: within a zone, a
/// region, and the country.
Duration rttGuess(Distance D) {
  switch (D) {
  case Distance::SameZone:
    return Micros(400);
  case Distance::SameRegion:
    return Millis(3);
  case Distance::OtherRegion:
    return Millis(20);
  }
  return Duration(0);
}

/// What a replica spends on a new connection, by the users' figures.
constexpr double HandshakeMs = 6;
/// The end of an evacuation and the word that the zone's replicas are cold come
/// on two watches; one of them may be this much later.
constexpr Duration PresumedCold = Seconds(2);

/// Predictions are spread by this part at most: enough that daemons that see
/// the same do not all take the same replica, too little to take a bad one.
constexpr double JitterPart = 0.15;

} // namespace

namespace {

/// A new connection takes a trip there and back before the request can leave.
double newConnectionMs(const Replica &R) {
  return toMillisF(R.roundTrip()) + HandshakeMs;
}

} // namespace

std::size_t connectionShare(unsigned MaxConnections, Distance Far,
                            const FleetShare &S) {
  double Part = S.OutsideRegion == 0 ? 1 : NearPart;
  std::size_t Sharers = S.InRegion;
  if (Far == Distance::OtherRegion) {
    Part = (1 - NearPart) * FarOvercommit;
    // Daemons of the replica's own region have the other part; how many there
    // are in all other regions is not more than there are in all.
    Sharers = std::max<std::size_t>(1, S.connected() - 1);
  }
  double Share = MaxConnections * Part / static_cast<double>(Sharers);
  return std::max<std::size_t>(1, static_cast<std::size_t>(Share));
}

Distance ReplicaRegistry::distance(const ReplicaEntry &E) const {
  if (E.Zone == Here.Zone)
    return Distance::SameZone;
  return E.Reg == Here.Reg ? Distance::SameRegion : Distance::OtherRegion;
}

void ReplicaRegistry::put(ReplicaEntry Entry, Instant Now) {
  IncarnationOrder Order = Incarnations.observe(Entry, Now);
  if (Order == IncarnationOrder::Outdated)
    return;
  place(std::move(Entry), Order == IncarnationOrder::Restarted, Now);
}

void ReplicaRegistry::place(ReplicaEntry Entry, bool Restarted, Instant Now) {
  UpstreamId Id = Entry.Id;
  auto [At, New] = ById.try_emplace(Id);
  Slot &S = At->second;
  if (!New && !Restarted && S.Ptr->entry().Service == Entry.Service &&
      S.Ptr->entry().At == Entry.At) {
    S.Registered = true;
    S.Ptr->update(std::move(Entry), Now);
    return;
  }
  if (!New)
    std::erase(ByService[S.Ptr->entry().Service], &S);
  Distance Far = distance(Entry);
  ByService[Entry.Service].push_back(&S);
  S.Registered = true;
  std::shared_ptr<RttEstimate> Rtt = rttTo(Entry);
  S.Ptr = std::make_shared<Replica>(std::move(Entry), Far, std::move(Rtt), Now,
                                    Restarted ? Now : Instant::min());
}

std::shared_ptr<RttEstimate> ReplicaRegistry::rttTo(const ReplicaEntry &E) {
  std::shared_ptr<RttEstimate> &Rtt = Rtts[E.Zone];
  if (!Rtt)
    Rtt = std::make_shared<RttEstimate>(rttGuess(distance(E)));
  return Rtt;
}

void ReplicaRegistry::vanish(Slot &S, Instant Now) {
  if (!S.Registered)
    return;
  S.Registered = false;
  S.VanishedAt = Now;
  Incarnations.removed(S.Ptr->entry().Id, Now);
}

void ReplicaRegistry::remove(const UpstreamId &Id, Instant Now) {
  auto At = ById.find(Id);
  if (At != ById.end())
    vanish(At->second, Now);
}

void ReplicaRegistry::replaceAll(std::vector<ReplicaEntry> Entries,
                                 Instant Now) {
  std::unordered_set<UpstreamId> Listed;
  for (ReplicaEntry &E : Entries) {
    Listed.insert(E.Id);
    put(std::move(E), Now);
  }
  for (auto &[Id, S] : ById)
    if (!Listed.contains(Id))
      vanish(S, Now);
}

void ReplicaRegistry::setEvacuated(std::set<AvailabilityZone> Zones,
                                   Instant Now) {
  for (const AvailabilityZone &Z : Evacuated)
    if (!Zones.contains(Z))
      EvacuationEnded[Z] = Now;
  Evacuated = std::move(Zones);
  ZonesKnown = true;
}

/// Until the daemon's own moment to use it fully has come.
bool ReplicaRegistry::limitedAsCold(const Replica &R, const ServiceInfo &Info,
                                    Instant Now) const {
  if (Info.WarmupRate <= 0)
    return false;
  Instant Warm = R.warmAt();
  auto Ended = EvacuationEnded.find(R.entry().Zone);
  if (Ended != EvacuationEnded.end())
    Warm = std::max(Warm, Ended->second + PresumedCold);
  if (Now >= Warm + WarmupReturnSpread)
    return false;
  return Now < Warm + warmupReturnDelay(Senders.Self, R.entry().Id);
}

bool ReplicaRegistry::ownsCold(const Replica &R) const {
  return ownsWarmup(Senders, R.entry().Id, R.entry().Reg);
}

bool ReplicaRegistry::warmupAdmits(Replica &R, const ServiceInfo &Info,
                                   Instant Now) const {
  return !limitedAsCold(R, Info, Now) ||
         (ownsCold(R) &&
          R.warmupAdmits(warmupRate(Info.WarmupRate, Options.Warmup), Now));
}

void ReplicaRegistry::storeLost() { StoreIsAway = true; }

void ReplicaRegistry::storeRecovered(Instant Now) {
  if (!StoreIsAway)
    return;
  StoreIsAway = false;
  StoreBackAt = Now;
}

Instant ReplicaRegistry::holdEnds(const Slot &S) const {
  Instant Usual = S.VanishedAt + Options.LapseHold;
  // An entry that is missing right after an outage may still come back.
  Instant Back = StoreBackAt + Options.ReturnGrace;
  return S.VanishedAt < Back ? std::max(Usual, Back) : Usual;
}

bool ReplicaRegistry::holds(const Slot &S, Instant Now) const {
  return !S.Registered && !S.Ptr->entry().Leaving && Now < holdEnds(S);
}

bool ReplicaRegistry::mayServe(const Slot &S, Instant Now) const {
  const ReplicaEntry &E = S.Ptr->entry();
  bool Stays = S.Registered ? !E.Leaving : holds(S, Now);
  return Stays && !S.Ptr->ejected() && ZonesKnown && !evacuated(E.Zone);
}

bool ReplicaRegistry::hasRoom(const Replica &R, const ReplicaCriteria &C,
                              Instant Now) const {
  unsigned Cap = C.Service->MaxConnections;
  std::size_t Share = connectionShare(Cap, R.distance(), Shared);
  if (R.openSends() < Share)
    return true;
  if (C.WithinShare)
    return false;
  std::size_t Extra = R.allowance().extra(Now);
  return R.openSends() < Share + Extra &&
         static_cast<double>(R.openSends()) < Cap * MostPart;
}

ReplicaPtr ReplicaRegistry::choose(const ReplicaCriteria &C, double Jitter,
                                   Instant Now) {
  auto At = ByService.find(C.Service->Name);
  if (At == ByService.end())
    return nullptr;
  std::vector<Slot *> &Slots = At->second;
  auto Allowed = [&](const Slot &S) {
    return C.Regions.allows(S.Ptr->entry().Reg) && mayServe(S, Now);
  };
  bool AnyRegistered = std::ranges::any_of(
      Slots, [&](const Slot *S) { return S->Registered && Allowed(*S); });
  ReplicaPtr Best;
  double BestMs = 0;
  ReplicaPtr Busy; ///< Better than the best, if it had room.
  double BusyMs = 0;
  double Draw = Jitter;
  for (Slot *S : Slots) {
    const Replica &R = *S->Ptr;
    if (!Allowed(*S) || (AnyRegistered && !S->Registered))
      continue;
    if (std::ranges::find(C.Exclude, S->Ptr) != C.Exclude.end() ||
        !warmupAdmits(*S->Ptr, *C.Service, Now))
      continue;
    Draw = Draw * 7.31 + 0.137;
    Draw -= static_cast<double>(static_cast<int>(Draw));
    double Ms = toMillisF(R.predicted(C.Work, Now)) * (1 + JitterPart * Draw);
    bool Room = hasRoom(R, C, Now);
    ReplicaPtr &Leader = Room ? Best : Busy;
    double &LeaderMs = Room ? BestMs : BusyMs;
    if (Leader && Ms >= LeaderMs)
      continue;
    Leader = S->Ptr;
    LeaderMs = Ms;
  }
  bool Wanted = Busy && !C.WithinShare &&
                (!Best || BusyMs + newConnectionMs(*Busy) < BestMs);
  if (Wanted && !Busy->reportedBusy(Now) && Busy->allowance().grow(Now) &&
      hasRoom(*Busy, C, Now))
    return Busy;
  return Best;
}

Duration ReplicaRegistry::quickestBesides(const ServiceName &Service,
                                          const AllowedRegions &Where,
                                          const ReplicaPtr &Other,
                                          Duration Work, Instant Now) const {
  Duration Best = Duration::max();
  auto At = ByService.find(Service);
  if (At == ByService.end())
    return Best;
  for (const Slot *S : At->second)
    if (S->Ptr != Other && Where.allows(S->Ptr->entry().Reg) &&
        mayServe(*S, Now) && !S->Ptr->stalled(Work, Now))
      Best = std::min(Best, S->Ptr->expected(Work, Now));
  return Best;
}

bool ReplicaRegistry::servable(const ServiceInfo &Service,
                               const AllowedRegions &Where, Instant Now) const {
  auto At = ByService.find(Service.Name);
  if (At == ByService.end())
    return false;
  return std::ranges::any_of(At->second, [&](const Slot *S) {
    const Replica &R = *S->Ptr;
    return Where.allows(R.entry().Reg) && mayServe(*S, Now) &&
           (!limitedAsCold(R, Service, Now) || ownsCold(R));
  });
}

void ReplicaRegistry::expire(Instant Now) {
  for (ReplicaEntry &E : Incarnations.takeStanding(Now))
    place(std::move(E), true, Now);
  Incarnations.forget(Now);
  std::erase_if(ById, [&](const auto &Item) {
    const Slot &S = Item.second;
    // While the store is away nothing is known to be gone.
    if (S.Registered || StoreIsAway || Now < holdEnds(S))
      return false;
    auto At = ByService.find(S.Ptr->entry().Service);
    std::erase(At->second, &S);
    if (At->second.empty())
      ByService.erase(At);
    return true;
  });
}

std::vector<ReplicaPtr> ReplicaRegistry::dueProbes(Instant Now) {
  std::vector<ReplicaPtr> Due;
  for (auto &[Id, S] : ById)
    if (S.Registered && !S.Ptr->entry().Leaving &&
        !evacuated(S.Ptr->entry().Zone) && S.Ptr->takeProbe(Now))
      Due.push_back(S.Ptr);
  return Due;
}

} // namespace shallot
