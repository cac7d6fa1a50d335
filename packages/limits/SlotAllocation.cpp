#include "limits/SlotAllocation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace shallot {

namespace {

constexpr std::uint32_t NoDaemon = UINT32_MAX;

/// Mixes the hashes of a key and a node into a rendezvous weight. Names are
/// hashed once per allocation; hashing them for each pair would cost five times
/// as much.
std::uint64_t weight(std::uint64_t Key, std::uint64_t Node) {
  std::uint64_t X = Key ^ (Node * 0x9e3779b97f4a7c15ULL);
  X = (X ^ (X >> 30)) * 0xbf58476d1ce4e5b9ULL;
  X = (X ^ (X >> 27)) * 0x94d049bb133111ebULL;
  return X ^ (X >> 31);
}

/// Maps \p Hash to [0, 1).
double fraction(std::uint64_t Hash) {
  return static_cast<double>(Hash >> 11) / 9007199254740992.0;
}

/// The slots of one upstream that are allocated to one daemon.
struct Assignment {
  std::uint32_t Daemon = 0; ///< Index into the members.
  unsigned Slots = 0;
};
using Assignments = std::vector<Assignment>;

/// A service and its group, by which the services are ordered.
struct AllocatedService {
  const Group *InGroup = nullptr;
  const Service *Svc = nullptr;
};

/// The members that take new work, one per host, sorted by Id.
std::vector<Member> eligibleMembers(const FleetView &V) {
  std::vector<Member> Out;
  for (const Member &M : V.Members)
    if (takesNewWork(M))
      Out.push_back(M);
  std::sort(Out.begin(), Out.end(),
            [](const Member &A, const Member &B) { return A.Id < B.Id; });
  // A later incarnation replaces an earlier one that is not yet known to have
  // failed; counting both would give the host a double share.
  std::vector<Member> Latest;
  for (Member &M : Out) {
    if (!Latest.empty() && Latest.back().Id.Host == M.Id.Host)
      Latest.pop_back();
    Latest.push_back(std::move(M));
  }
  return Latest;
}

/// All services in an order that is the same on every daemon.
std::vector<AllocatedService> servicesInOrder(const Config &C) {
  std::vector<AllocatedService> Out;
  for (const Group &G : C.groups())
    for (const Service &S : G->Services)
      Out.push_back({&G, &S});
  auto Key = [](const AllocatedService &S) {
    return std::tie((*S.InGroup)->Owner, (*S.InGroup)->Name, (*S.Svc)->Name);
  };
  std::sort(Out.begin(), Out.end(),
            [&](const AllocatedService &A, const AllocatedService &B) {
              return Key(A) < Key(B);
            });
  return Out;
}

unsigned slotsOf(const Service &S) {
  unsigned Total = 0;
  for (const Upstream &U : S->Upstreams)
    Total += U->Slots;
  return Total;
}

/// Allocates services one by one and tracks the load of each daemon.
class Allocator {
public:
  Allocator(const std::vector<Member> &Members,
            const std::vector<AllocatedService> &Services);

  /// Returns the assignments for each upstream of \p S, in the order of its
  /// upstreams.
  const std::vector<Assignments> &allocate(const Service &S);

private:
  void allocateEqualParts(const Service &S);
  void allocateInZone(const Service &S, std::size_t U);
  void allocateOutsideZone(const Service &S);
  void allocateRemainder(const Service &S);
  void assignSlot(std::size_t U, std::uint32_t Daemon);
  std::uint32_t highestWeight(const std::vector<std::uint32_t> &Candidates,
                              std::uint64_t Key, bool BelowLimitOnly) const;
  std::uint32_t remainderOwner(const Upstream &U, std::uint64_t Key) const;
  std::size_t upstreamWithMostLeft(std::uint32_t Daemon) const;

  std::vector<std::uint64_t> Hash; ///< Of the host name, by member.
  std::vector<std::uint32_t> AllDaemons;
  std::map<AvailabilityZone, std::vector<std::uint32_t>> ByZone;
  /// Slots by member: the remainders so far and the equal shares of all
  /// services.
  std::vector<unsigned> Load;
  std::vector<unsigned> LoadLimit; ///< Applies to remainders.

  // State of the service that is being allocated.
  std::vector<Assignments> Allocated;
  std::vector<unsigned> Unallocated; ///< Slots, by upstream.
  std::vector<std::uint64_t> Keys;   ///< Hash of the name, by upstream.
  std::vector<unsigned> Quota;       ///< Unassigned equal share, by member.
  std::vector<std::uint32_t>
      HasRemainder; ///< Last ServiceNumber with a remainder, by member.
  std::uint32_t ServiceNumber = 0;
};

Allocator::Allocator(const std::vector<Member> &Members,
                     const std::vector<AllocatedService> &Services)
    : Quota(Members.size(), 0), HasRemainder(Members.size(), 0) {
  for (std::uint32_t I = 0; I < Members.size(); ++I) {
    Hash.push_back(hash64(Members[I].Id.Host.str()));
    AllDaemons.push_back(I);
    ByZone[Members[I].Zone].push_back(I);
  }
  unsigned EqualTotal = 0;
  double Total = 0;
  for (const AllocatedService &S : Services) {
    unsigned Slots = slotsOf(*S.Svc);
    EqualTotal += Slots / Members.size();
    Total += Slots;
  }
  Load.assign(Members.size(), EqualTotal);
  // Each daemon's limit is rounded at a different threshold. With a common
  // threshold, one daemon joining or leaving could change every limit at once
  // and move slots throughout the fleet.
  double Target = LoadHeadroom * Total / static_cast<double>(Members.size());
  for (std::uint64_t H : Hash)
    LoadLimit.push_back(static_cast<unsigned>(Target + fraction(H)));
}

const std::vector<Assignments> &Allocator::allocate(const Service &S) {
  ++ServiceNumber;
  Allocated.assign(S->Upstreams.size(), {});
  Unallocated.clear();
  Keys.clear();
  for (const Upstream &U : S->Upstreams) {
    Unallocated.push_back(U->Slots);
    Keys.push_back(hash64(U->Id.str()));
  }
  allocateEqualParts(S);
  allocateRemainder(S);
  return Allocated;
}

void Allocator::allocateEqualParts(const Service &S) {
  unsigned PerDaemon = slotsOf(S) / static_cast<unsigned>(AllDaemons.size());
  if (PerDaemon == 0)
    return;
  std::fill(Quota.begin(), Quota.end(), PerDaemon);
  for (std::size_t U = 0; U < Unallocated.size(); ++U)
    allocateInZone(S, U);
  allocateOutsideZone(S);
}

void Allocator::allocateInZone(const Service &S, std::size_t U) {
  auto Zone = ByZone.find(S->Upstreams[U]->Zone);
  if (Zone == ByZone.end())
    return;
  std::vector<std::uint32_t> InZone = Zone->second;
  std::sort(InZone.begin(), InZone.end(),
            [&](std::uint32_t A, std::uint32_t B) {
              return weight(Keys[U], Hash[A]) > weight(Keys[U], Hash[B]);
            });
  for (bool Assigned = true; Assigned && Unallocated[U] > 0;) {
    Assigned = false;
    for (std::uint32_t D : InZone) {
      if (Quota[D] == 0 || Unallocated[U] == 0)
        continue;
      --Quota[D];
      assignSlot(U, D);
      Assigned = true;
    }
  }
}

void Allocator::allocateOutsideZone(const Service &S) {
  std::uint64_t Key = hash64(S->Name.str());
  std::vector<std::uint32_t> BelowQuota;
  for (std::uint32_t D : AllDaemons)
    if (Quota[D] > 0)
      BelowQuota.push_back(D);
  std::sort(BelowQuota.begin(), BelowQuota.end(),
            [&](std::uint32_t A, std::uint32_t B) {
              return weight(Key, Hash[A]) > weight(Key, Hash[B]);
            });
  for (std::uint32_t D : BelowQuota)
    for (; Quota[D] > 0; --Quota[D])
      assignSlot(upstreamWithMostLeft(D), D);
}

std::size_t Allocator::upstreamWithMostLeft(std::uint32_t Daemon) const {
  std::size_t Best = 0;
  for (std::size_t U = 1; U < Unallocated.size(); ++U) {
    bool Heavier =
        weight(Keys[U], Hash[Daemon]) > weight(Keys[Best], Hash[Daemon]);
    if (Unallocated[U] > Unallocated[Best] ||
        (Unallocated[U] == Unallocated[Best] && Heavier))
      Best = U;
  }
  return Best;
}

void Allocator::allocateRemainder(const Service &S) {
  for (std::size_t U = 0; U < Unallocated.size(); ++U)
    while (Unallocated[U] > 0) {
      std::uint32_t D = remainderOwner(S->Upstreams[U], Keys[U]);
      HasRemainder[D] = ServiceNumber;
      ++Load[D];
      assignSlot(U, D);
    }
}

std::uint32_t Allocator::remainderOwner(const Upstream &U,
                                        std::uint64_t Key) const {
  std::uint32_t D = NoDaemon;
  if (auto Zone = ByZone.find(U->Zone); Zone != ByZone.end())
    D = highestWeight(Zone->second, Key, /*BelowLimitOnly=*/true);
  if (D == NoDaemon)
    D = highestWeight(AllDaemons, Key, /*BelowLimitOnly=*/true);
  // The remainder is smaller than the fleet, so some daemon has none of it.
  if (D == NoDaemon)
    D = highestWeight(AllDaemons, Key, /*BelowLimitOnly=*/false);
  return D;
}

std::uint32_t
Allocator::highestWeight(const std::vector<std::uint32_t> &Candidates,
                         std::uint64_t Key, bool BelowLimitOnly) const {
  std::uint32_t Best = NoDaemon;
  std::uint64_t BestWeight = 0;
  for (std::uint32_t D : Candidates) {
    if (HasRemainder[D] == ServiceNumber)
      continue;
    if (BelowLimitOnly && Load[D] >= LoadLimit[D])
      continue;
    std::uint64_t W = weight(Key, Hash[D]);
    if (Best != NoDaemon && W <= BestWeight)
      continue;
    Best = D;
    BestWeight = W;
  }
  return Best;
}

void Allocator::assignSlot(std::size_t U, std::uint32_t Daemon) {
  --Unallocated[U];
  for (Assignment &P : Allocated[U])
    if (P.Daemon == Daemon) {
      ++P.Slots;
      return;
    }
  Allocated[U].push_back({Daemon, 1});
}

/// One connection per slot and a spare, so that a connection can be replaced
/// without losing a slot during the handshake. The shares never exceed the
/// upstream's connections in total, because each is at most its proportion
/// rounded down.
unsigned connectionsFor(unsigned Slots, const UpstreamFields &U) {
  return std::min(Slots + 1, Slots * U.Connections / U.Slots);
}

} // namespace

SlotAllocation SlotAllocation::make(const Config &C, const FleetView &V,
                                    const DaemonId &Self) {
  SlotAllocation A;
  A.ViewNumber = V.Number;
  A.Generation = C.generation();
  auto Members =
      std::make_shared<const std::vector<Member>>(eligibleMembers(V));
  A.Members = Members;
  if (Members->empty())
    return A;
  std::vector<AllocatedService> Services = servicesInOrder(C);
  Allocator D(*Members, Services);
  for (const AllocatedService &S : Services) {
    const std::vector<Assignments> &Allocated = D.allocate(*S.Svc);
    for (std::size_t U = 0; U < Allocated.size(); ++U) {
      const UpstreamFields &Up = *(*S.Svc)->Upstreams[U];
      auto First = static_cast<std::uint32_t>(A.All.size());
      for (const Assignment &P : Allocated[U]) {
        Holder H{&(*Members)[P.Daemon], P.Slots, connectionsFor(P.Slots, Up)};
        A.All.push_back(H);
        if (H.Daemon->Id == Self)
          A.Own[Up.Id] = {H.Slots, H.Connections};
      }
      auto Count = static_cast<std::uint32_t>(A.All.size()) - First;
      A.ByUpstream[Up.Id] = {First, Count};
    }
  }
  A.All.shrink_to_fit();
  return A;
}

std::span<const Holder> SlotAllocation::holders(const UpstreamId &Id) const {
  auto It = ByUpstream.find(Id);
  if (It == ByUpstream.end())
    return {};
  return std::span(All).subspan(It->second.First, It->second.Count);
}

Share SlotAllocation::heldBySelf(const UpstreamId &Id) const {
  auto It = Own.find(Id);
  return It == Own.end() ? Share{} : It->second;
}

std::size_t SlotAllocation::memoryBytes() const {
  // A node of an unordered_map: the value, the hash and the next pointer, and
  // one bucket pointer.
  constexpr std::size_t NodeExtra = 3 * sizeof(void *);
  auto NameHeap = [](const std::string &S) {
    return S.size() > std::string().capacity() ? S.capacity() + 1 : 0;
  };
  std::size_t Bytes = All.capacity() * sizeof(Holder);
  for (const auto &[Id, Range] : ByUpstream)
    Bytes += sizeof(Id) + sizeof(Range) + NodeExtra + NameHeap(Id.str());
  for (const auto &[Id, S] : Own)
    Bytes += sizeof(Id) + sizeof(S) + NodeExtra + NameHeap(Id.str());
  if (!Members)
    return Bytes;
  Bytes += Members->capacity() * sizeof(Member);
  for (const Member &M : *Members)
    for (const std::string *S : {&M.Id.Host.str(), &M.Zone.str(), &M.Reg.str(),
                                 &M.Http.Ip, &M.Gossip.Ip, &M.Rpc.Ip})
      Bytes += NameHeap(*S);
  return Bytes;
}

} // namespace shallot
