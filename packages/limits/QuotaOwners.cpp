//===- QuotaOwners.cpp ----------------------------------------------------===//
#include "limits/QuotaOwners.h"

#include <algorithm>
#include <set>

namespace shallot {

namespace {

/// More than the time in which any quota fills up again; an owner of longer
/// standing is treated alike.
constexpr Duration PeriodsKept = Seconds(60);
constexpr std::size_t MaxPeriods = 64;

bool sameHosts(const std::vector<Member> &A, const std::vector<Member> &B) {
  return std::ranges::equal(A, B, {}, &Member::Id, &Member::Id);
}

} // namespace

/// The largest hosts, since they are the least busy. Among hosts of one size
/// the hash decides, so that a loss brings in one other host and moves no more.
QuotaOwners::Hosts QuotaOwners::candidates(const FleetView &View) {
  std::vector<const Member *> Found;
  for (const Member &M : View.Members)
    if (takesNewWork(M))
      Found.push_back(&M);
  auto Rank = [](const Member *M) {
    return std::pair(~std::uint64_t(M->Capacity), hash64(M->Id.Host.str()));
  };
  std::size_t Count = std::min(Found.size(), MaxQuotaHosts);
  std::ranges::partial_sort(
      Found, Found.begin() + static_cast<std::ptrdiff_t>(Count), {}, Rank);
  Hosts Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(*Found[I]);
  std::ranges::sort(Out, {}, &Member::Id);
  return Out;
}

double QuotaOwners::liveZones(const FleetView &View) const {
  std::set<AvailabilityZone> Known = Zones;
  std::set<AvailabilityZone> Live;
  for (const Member &M : View.Members) {
    Known.insert(M.Zone);
    if (isUp(M))
      Live.insert(M.Zone);
  }
  return Known.empty() ? 1 : double(Live.size()) / double(Known.size());
}

bool QuotaOwners::update(const FleetView &View, Instant Now) {
  ZonesInView = liveZones(View);
  ZonesInReach.grant(ZonesInView, Now);
  Hosts Next = candidates(View);
  if (!Periods.empty() && sameHosts(Periods.back().Candidates, Next)) {
    Periods.back().Candidates = std::move(Next);
    return false;
  }
  std::map<HostId, Instant> Since;
  for (const Member &M : Next) {
    auto At = CandidateSince.find(M.Id.Host);
    Since[M.Id.Host] = At == CandidateSince.end() ? Now : At->second;
  }
  CandidateSince = std::move(Since);
  Periods.push_back({Now, std::move(Next)});
  while (Periods.size() > MaxPeriods ||
         (Periods.size() > 1 && Periods[1].From < Now - PeriodsKept))
    Periods.pop_front();
  return true;
}

const Member *QuotaOwners::best(const Hosts &From, const Tenant &Name,
                                const Member *Except) {
  const Member *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const Member &M : From) {
    std::uint64_t Weight = rendezvousWeight(Name.str(), M.Id.Host.str());
    if (&M == Except || (Best && Weight <= BestWeight))
      continue;
    Best = &M;
    BestWeight = Weight;
  }
  return Best;
}

const Member *QuotaOwners::owner(const Tenant &Name) const {
  return Periods.empty() ? nullptr : best(Periods.back().Candidates, Name);
}

bool QuotaOwners::isOwner(const Tenant &Name, const HostId &Host) const {
  const Member *Owner = owner(Name);
  return Owner && Owner->Id.Host == Host;
}

const Member *QuotaOwners::standby(const Tenant &Name) const {
  if (Periods.empty())
    return nullptr;
  const Hosts &Now = Periods.back().Candidates;
  return best(Now, Name, best(Now, Name));
}

std::vector<const Member *> QuotaOwners::witnesses(const Tenant &Name,
                                                   const HostId &Of,
                                                   Instant Now) const {
  std::vector<std::pair<std::uint64_t, const Member *>> Settled;
  std::vector<std::pair<std::uint64_t, const Member *>> Others;
  if (!Periods.empty())
    for (const Member &M : Periods.back().Candidates)
      if (M.Id.Host != Of) {
        auto Weight = rendezvousWeight(Name.str(), M.Id.Host.str());
        Others.emplace_back(Weight, &M);
        if (Now - CandidateSince.at(M.Id.Host) >= ViewPropagationTime)
          Settled.emplace_back(Weight, &M);
      }
  auto &From = Settled.empty() ? Others : Settled;
  std::ranges::sort(From, std::greater());
  std::vector<const Member *> Found;
  for (std::size_t I = 0; I < std::min(From.size(), WitnessesOfOwner); ++I)
    Found.push_back(From[I].second);
  return Found;
}

bool QuotaOwners::outranks(const Tenant &Name, const HostId &A,
                           const HostId &B) {
  return rendezvousWeight(Name.str(), A.str()) >
         rendezvousWeight(Name.str(), B.str());
}

bool QuotaOwners::isOwner(const Hosts &From, const Tenant &Name) const {
  const Member *Owner = best(From, Name);
  return Owner && Owner->Id.Host == Self;
}

std::vector<DaemonId> QuotaOwners::formerOwners(const Tenant &Name,
                                                Duration Span,
                                                Instant Now) const {
  std::vector<DaemonId> Found;
  for (auto P = Periods.rbegin(); P != Periods.rend(); ++P) {
    const Member *Owner = best(P->Candidates, Name);
    if (Owner && Owner->Id.Host != Self)
      Found.push_back(Owner->Id);
    if (P->From <= Now - Span)
      break;
  }
  return Found;
}

std::optional<Instant> QuotaOwners::ownedSince(const Tenant &Name) const {
  std::optional<Instant> Since;
  for (auto P = Periods.rbegin();
       P != Periods.rend() && isOwner(P->Candidates, Name); ++P)
    Since = P->From;
  return Since;
}

} // namespace shallot
