//===- ReplicaRegistry.cpp - Replica selection ----------------------------===//
#include "forward/ReplicaRegistry.h"

#include <algorithm>
#include <unordered_set>

namespace shallot {

namespace {

/// The fraction of a replica's connections that daemons of its own region
/// share. Sends go to near replicas unless these are slow or stalled, so the
/// near daemons need more; the rest is enough to take over a neighbour's load.
constexpr double SameRegionFraction = 0.6;
/// Daemons of other regions get this multiple of their equal share: they use it
/// only while their own replica has failed, and not all at once.
constexpr double CrossRegionOvercommit = 1.6;
/// A daemon exceeds its share of a replica's connections only up to this
/// fraction of all of them, however idle the others are, so that a faulty
/// daemon leaves some for them.
constexpr double MaxDaemonFraction = 0.6;
/// How long after it was chosen a replica may get a request: the time to open
/// a connection and the way there.
constexpr Duration SendMargin = Millis(500);
/// Round-trip times until the first connection is measured: within a zone, a
/// region, and the country.
Duration initialRtt(Distance D) {
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

/// What a new connection costs a replica, according to its operators.
constexpr double HandshakeMs = 6;
/// The end of an evacuation and the cold state of the zone's replicas arrive on
/// two watches; one of them may be this much later.
constexpr Duration PresumedColdTime = Seconds(2);

/// Predictions are increased at random by at most this fraction: enough that
/// daemons with the same view do not all select the same replica, too little to
/// select a bad one.
constexpr double JitterFraction = 0.15;

} // namespace

namespace {

/// A new connection takes one round trip before the request can be sent.
double newConnectionMs(const Replica &R) {
  return toMillisF(R.roundTrip()) + HandshakeMs;
}

} // namespace

std::size_t connectionShare(unsigned MaxConnections, Distance Dist,
                            const FleetShare &S) {
  double Part = S.OutsideRegion == 0 ? 1 : SameRegionFraction;
  std::size_t Sharers = S.InRegion;
  if (Dist == Distance::OtherRegion) {
    Part = (1 - SameRegionFraction) * CrossRegionOvercommit;
    // Daemons of the replica's own region have the other part. The number of
    // daemons in all other regions is at most the total less one.
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
  install(std::move(Entry), Order == IncarnationOrder::Restarted, Now);
}

void ReplicaRegistry::install(ReplicaEntry Entry, bool Restarted, Instant Now) {
  UpstreamId Id = Entry.Id;
  Vanished.erase(Id);
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
  Distance Dist = distance(Entry);
  ByService[Entry.Service].push_back(&S);
  S.Registered = true;
  std::shared_ptr<RttEstimate> Rtt = rttTo(Entry);
  S.Ptr = std::make_shared<Replica>(std::move(Entry), Dist, std::move(Rtt), Now,
                                    Restarted ? Now : Instant::min(), Ejected);
}

std::shared_ptr<RttEstimate> ReplicaRegistry::rttTo(const ReplicaEntry &E) {
  std::shared_ptr<RttEstimate> &Rtt = Rtts[E.Zone];
  if (!Rtt)
    Rtt = std::make_shared<RttEstimate>(initialRtt(distance(E)));
  return Rtt;
}

void ReplicaRegistry::markVanished(Slot &S, Instant Now, Instant Since) {
  if (!S.Registered)
    return;
  S.Registered = false;
  S.VanishedInOutage = StoreIsLost;
  S.HeldUntil = std::max(
      std::min(Now + Options.LapseHold, Since + Options.ServesOn - SendMargin),
      StoreRecoveredAt + Options.RecoveryGrace);
  Vanished.insert(S.Ptr->entry().Id);
  Incarnations.removed(S.Ptr->entry().Id, Now);
}

void ReplicaRegistry::remove(const UpstreamId &Id, Instant Now, Instant Since) {
  auto At = ById.find(Id);
  if (At != ById.end())
    markVanished(At->second, Now, Since);
}

void ReplicaRegistry::replaceAll(std::vector<ReplicaEntry> Entries, Instant Now,
                                 Instant Since) {
  std::unordered_set<UpstreamId> Listed;
  for (ReplicaEntry &E : Entries) {
    Listed.insert(E.Id);
    put(std::move(E), Now);
  }
  for (auto &[Id, S] : ById)
    if (!Listed.contains(Id))
      markVanished(S, Now, Since);
}

void ReplicaRegistry::setEvacuated(std::set<AvailabilityZone> Zones,
                                   Instant Now) {
  for (const AvailabilityZone &Z : Evacuated)
    if (!Zones.contains(Z))
      EvacuationEnded[Z] = Now;
  Evacuated = std::move(Zones);
  ZonesKnown = true;
}

/// Whether sends to \p R are limited (ServiceInfo::WarmupRate): it is cold, or
/// became warm less than this daemon's warmupReturnDelay() ago.
bool ReplicaRegistry::inWarmup(const Replica &R, const ServiceInfo &Info,
                               Instant Now) const {
  if (Info.WarmupRate <= 0)
    return false;
  Instant Warm = R.warmAt();
  auto Ended = EvacuationEnded.find(R.entry().Zone);
  if (Ended != EvacuationEnded.end())
    Warm = std::max(Warm, Ended->second + PresumedColdTime);
  if (Now >= Warm + WarmupReturnSpread)
    return false;
  return Now < Warm + warmupReturnDelay(Senders.Self, R.entry().Id);
}

bool ReplicaRegistry::ownsWarmupOf(const Replica &R) const {
  return ownsWarmup(Senders, R.entry().Id, R.entry().Reg);
}

bool ReplicaRegistry::warmupAdmits(Replica &R, const ServiceInfo &Info,
                                   Instant Now) const {
  return !inWarmup(R, Info, Now) ||
         (ownsWarmupOf(R) &&
          R.warmupAdmits(warmupRate(Info.WarmupRate, Options.Warmup), Now));
}

void ReplicaRegistry::storeLost() { StoreIsLost = true; }

void ReplicaRegistry::storeRecovered(Instant Now, bool WasDown) {
  if (!std::exchange(StoreIsLost, false))
    return;
  if (WasDown)
    StoreRecoveredAt = Now;
  for (const UpstreamId &Id : Vanished) {
    Slot &S = ById.at(Id);
    if (std::exchange(S.VanishedInOutage, false) && WasDown)
      S.HeldUntil = std::max(S.HeldUntil, Now + Options.RecoveryGrace);
  }
}

bool ReplicaRegistry::heldAfterLapse(const Slot &S, Instant Now) const {
  return !S.Registered && !S.Ptr->entry().Leaving && Now < S.HeldUntil;
}

bool ReplicaRegistry::mayServe(const Slot &S, Instant Now) const {
  const ReplicaEntry &E = S.Ptr->entry();
  bool Stays = S.Registered ? !E.Leaving : heldAfterLapse(S, Now);
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
         static_cast<double>(R.openSends()) < Cap * MaxDaemonFraction;
}

/// The replicas from which a send is kept away because of reports: at most half
/// of those that may serve it, the slowest ones, so that reports at most double
/// the load of the others.
std::vector<ReplicaRegistry::Held>
ReplicaRegistry::heldByReports(const std::vector<Slot *> &Slots,
                               const ReplicaCriteria &C, double Jitter,
                               Instant Now) const {
  std::vector<Held> Found;
  if (!Sharing.anyTold())
    return Found;
  std::size_t Usable = 0;
  for (const Slot *S : Slots) {
    const Replica &R = *S->Ptr;
    if (!C.Regions.allows(R.entry().Reg) || !mayServe(*S, Now))
      continue;
    ++Usable;
    ToldSlowness T = Sharing.told(R, Now);
    if (T.slow())
      Found.push_back({&R, T});
  }
  std::ranges::stable_sort(Found, [](const Held &A, const Held &B) {
    return A.Told.Slowness > B.Told.Slowness;
  });
  Found.resize(std::min(Found.size(), Usable / 2));
  // One draw for each replica, independent of those of choose().
  double Draw = Jitter;
  std::erase_if(Found, [&](const Held &H) {
    Draw = Draw * 7919.17 + 0.618;
    Draw -= static_cast<double>(static_cast<int>(Draw));
    return Draw >= H.Told.holdProbability();
  });
  return Found;
}

/// What reports add to the predicted duration of a send to \p R.
double ReplicaRegistry::toldExtraMs(const std::vector<Held> &Kept,
                                    const Replica &R, Duration ServiceTime,
                                    Instant Now) {
  auto At = std::ranges::find(Kept, &R, &Held::Which);
  if (At == Kept.end())
    return 0;
  return std::max(0.0, At->Told.Slowness - R.slowness(Now)) *
         toMillisF(ServiceTime);
}

ReplicaPtr ReplicaRegistry::choose(const ReplicaCriteria &C, double Jitter,
                                   Instant Now) {
  auto At = ByService.find(C.Service->Name);
  if (At == ByService.end())
    return nullptr;
  std::vector<Slot *> &Slots = At->second;
  std::vector<Held> Kept = heldByReports(Slots, C, Jitter, Now);
  ReplicaPtr OwnBest; ///< The best one if there were no reports.
  double OwnBestMs = 0;
  auto Allowed = [&](const Slot &S) {
    return C.Regions.allows(S.Ptr->entry().Reg) && mayServe(S, Now);
  };
  bool AnyRegistered = std::ranges::any_of(
      Slots, [&](const Slot *S) { return S->Registered && Allowed(*S); });
  ReplicaPtr Best;
  double BestMs = 0;
  ReplicaPtr Full; ///< The best one without room.
  double FullMs = 0;
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
    double Ms = toMillisF(R.predicted(C.ServiceTime, Now)) *
                (1 + JitterFraction * Draw);
    bool Room = hasRoom(R, C, Now);
    if (!Kept.empty()) {
      if (Room && (!OwnBest || Ms < OwnBestMs)) {
        OwnBest = S->Ptr;
        OwnBestMs = Ms;
      }
      Ms += toldExtraMs(Kept, R, C.ServiceTime, Now);
    }
    ReplicaPtr &Leader = Room ? Best : Full;
    double &LeaderMs = Room ? BestMs : FullMs;
    if (Leader && Ms >= LeaderMs)
      continue;
    Leader = S->Ptr;
    LeaderMs = Ms;
  }
  bool Wanted = Full && !C.WithinShare &&
                (!Best || FullMs + newConnectionMs(*Full) < BestMs);
  if (Wanted && !Full->reportedBusy(Now) && Full->allowance().grow(Now) &&
      hasRoom(*Full, C, Now))
    return Full;
  if (OwnBest && OwnBest != Best)
    for (const Held &H : Kept)
      if (H.Which == OwnBest.get())
        Sharing.kept(*OwnBest, H.Told, Now);
  return Best;
}

Duration ReplicaRegistry::fastestOther(const ServiceName &Service,
                                       const AllowedRegions &Regions,
                                       const ReplicaPtr &Other,
                                       Duration ServiceTime,
                                       Instant Now) const {
  Duration Best = Duration::max();
  auto At = ByService.find(Service);
  if (At == ByService.end())
    return Best;
  for (const Slot *S : At->second)
    if (S->Ptr != Other && Regions.allows(S->Ptr->entry().Reg) &&
        mayServe(*S, Now) && !S->Ptr->stalled(ServiceTime, Now))
      Best = std::min(Best, S->Ptr->expected(ServiceTime, Now));
  return Best;
}

bool ReplicaRegistry::servable(const ServiceInfo &Service,
                               const AllowedRegions &Regions,
                               Instant Now) const {
  auto At = ByService.find(Service.Name);
  if (At == ByService.end())
    return false;
  return std::ranges::any_of(At->second, [&](const Slot *S) {
    const Replica &R = *S->Ptr;
    return Regions.allows(R.entry().Reg) && mayServe(*S, Now) &&
           (!inWarmup(R, Service, Now) || ownsWarmupOf(R));
  });
}

void ReplicaRegistry::expire(Instant Now) {
  for (ReplicaEntry &E : Incarnations.takeConfirmed(Now))
    install(std::move(E), true, Now);
  Incarnations.forget(Now);
  std::erase_if(Vanished, [&](const UpstreamId &Id) {
    auto Found = ById.find(Id);
    const Slot &S = Found->second;
    // It may register again once the store is reachable.
    if (S.VanishedInOutage || Now < S.HeldUntil)
      return false;
    auto At = ByService.find(S.Ptr->entry().Service);
    std::erase(At->second, &S);
    if (At->second.empty())
      ByService.erase(At);
    ById.erase(Found);
    return true;
  });
}

std::vector<ReplicaPtr> ReplicaRegistry::dueProbes(Instant Now) {
  std::vector<ReplicaPtr> Due;
  std::erase_if(*Ejected, [&](const UpstreamId &Id) {
    auto At = ById.find(Id);
    if (At == ById.end() || !At->second.Ptr->ejected())
      return true;
    const Slot &S = At->second;
    if (S.Registered && !S.Ptr->entry().Leaving &&
        !evacuated(S.Ptr->entry().Zone) && S.Ptr->takeProbe(Now))
      Due.push_back(S.Ptr);
    return false;
  });
  return Due;
}

} // namespace shallot
