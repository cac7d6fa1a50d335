#include "limits/SlotAllocation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace shallot {

namespace {

constexpr std::uint32_t Nobody = UINT32_MAX;

/// Mixes the hashes of a key and a node into a rendezvous weight. The names are
/// hashed once an allocation; hashing them for each pair would cost five times
/// more.
std::uint64_t weight(std::uint64_t Key, std::uint64_t Node) {
  std::uint64_t X = Key ^ (Node * 0x9e3779b97f4a7c15ULL);
  X = (X ^ (X >> 30)) * 0xbf58476d1ce4e5b9ULL;
  X = (X ^ (X >> 27)) * 0x94d049bb133111ebULL;
  return X ^ (X >> 31);
}

/// \p Hash as a number in [0, 1).
double fraction(std::uint64_t Hash) {
  return static_cast<double>(Hash >> 11) / 9007199254740992.0;
}

/// Slots of one upstream that one daemon was allocated.
struct Part {
  std::uint32_t Daemon = 0; ///< Index into the members.
  unsigned Slots = 0;
};
using Parts = std::vector<Part>;

/// A service with what the order of the allocation goes by.
struct AllocatedService {
  const Group *InGroup = nullptr;
  const Service *Svc = nullptr;
};

/// The members that take new work, one for each host, sorted by Id.
std::vector<Member> dealtMembers(const FleetView &V) {
  std::vector<Member> Out;
  for (const Member &M : V.Members)
    if (takesNewWork(M))
      Out.push_back(M);
  std::sort(Out.begin(), Out.end(),
            [](const Member &A, const Member &B) { return A.Id < B.Id; });
  // A later incarnation replaces an earlier one that is not yet known to have
  // failed; with both allocated to, the host would hold a double part.
  std::vector<Member> Latest;
  for (Member &M : Out) {
    if (!Latest.empty() && Latest.back().Id.Host == M.Id.Host)
      Latest.pop_back();
    Latest.push_back(std::move(M));
  }
  return Latest;
}

/// All services in an order that every daemon computes alike.
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

/// Allocates the services one after the other and keeps the load of each
/// daemon.
class Allocator {
public:
  Allocator(const std::vector<Member> &Members,
            const std::vector<AllocatedService> &Services);

  /// The parts of each upstream of \p S, in the order of its upstreams.
  const std::vector<Parts> &allocate(const Service &S);

private:
  void allocateEqualParts(const Service &S);
  void allocateNear(const Service &S, std::size_t U);
  void allocateFar(const Service &S);
  void allocateRemainder(const Service &S);
  void give(std::size_t U, std::uint32_t Daemon);
  std::uint32_t heaviest(const std::vector<std::uint32_t> &Candidates,
                         std::uint64_t Key, bool BelowLimitOnly) const;
  std::uint32_t remainderOwner(const Upstream &U, std::uint64_t Key) const;
  std::size_t fullestUpstream(std::uint32_t Daemon) const;

  std::vector<std::uint64_t> Hash; ///< Of the host, by member.
  std::vector<std::uint32_t> Everyone;
  std::map<AvailabilityZone, std::vector<std::uint32_t>> ByZone;
  std::vector<unsigned> Load; ///< Slots so far, equal parts of all included.
  std::vector<unsigned> LoadLimit; ///< For the remainders.

  // Of the service that is being allocated.
  std::vector<Parts> Allocated;
  std::vector<unsigned> Left;      ///< Slots not allocated yet, by upstream.
  std::vector<std::uint64_t> Keys; ///< Hash of the name, by upstream.
  std::vector<unsigned> Quota;     ///< Equal part not yet given, by member.
  std::vector<std::uint32_t>
      HasRemainder; ///< Number of the service, by member.
  std::uint32_t ServiceNumber = 0;
};

Allocator::Allocator(const std::vector<Member> &Members,
                     const std::vector<AllocatedService> &Services)
    : Quota(Members.size(), 0), HasRemainder(Members.size(), 0) {
  for (std::uint32_t I = 0; I < Members.size(); ++I) {
    Hash.push_back(hash64(Members[I].Id.Host.str()));
    Everyone.push_back(I);
    ByZone[Members[I].Zone].push_back(I);
  }
  unsigned Equal = 0;
  double Total = 0;
  for (const AllocatedService &S : Services) {
    unsigned Slots = slotsOf(*S.Svc);
    Equal += Slots / Members.size();
    Total += Slots;
  }
  Load.assign(Members.size(), Equal);
  // The limits of the daemons are rounded up at different points. If all were
  // rounded alike, one daemon more or less could change every limit at once
  // and move slots all over the fleet.
  double Target = LoadHeadroom * Total / static_cast<double>(Members.size());
  for (std::uint64_t H : Hash)
    LoadLimit.push_back(static_cast<unsigned>(Target + fraction(H)));
}

const std::vector<Parts> &Allocator::allocate(const Service &S) {
  ++ServiceNumber;
  Allocated.assign(S->Upstreams.size(), {});
  Left.clear();
  Keys.clear();
  for (const Upstream &U : S->Upstreams) {
    Left.push_back(U->Slots);
    Keys.push_back(hash64(U->Id.str()));
  }
  allocateEqualParts(S);
  allocateRemainder(S);
  return Allocated;
}

void Allocator::allocateEqualParts(const Service &S) {
  unsigned Part = slotsOf(S) / static_cast<unsigned>(Everyone.size());
  if (Part == 0)
    return;
  std::fill(Quota.begin(), Quota.end(), Part);
  for (std::size_t U = 0; U < Left.size(); ++U)
    allocateNear(S, U);
  allocateFar(S);
}

void Allocator::allocateNear(const Service &S, std::size_t U) {
  auto Zone = ByZone.find(S->Upstreams[U]->Zone);
  if (Zone == ByZone.end())
    return;
  std::vector<std::uint32_t> Near = Zone->second;
  std::sort(Near.begin(), Near.end(), [&](std::uint32_t A, std::uint32_t B) {
    return weight(Keys[U], Hash[A]) > weight(Keys[U], Hash[B]);
  });
  for (bool Gave = true; Gave && Left[U] > 0;) {
    Gave = false;
    for (std::uint32_t D : Near) {
      if (Quota[D] == 0 || Left[U] == 0)
        continue;
      --Quota[D];
      give(U, D);
      Gave = true;
    }
  }
}

void Allocator::allocateFar(const Service &S) {
  std::uint64_t Key = hash64(S->Name.str());
  std::vector<std::uint32_t> Needy;
  for (std::uint32_t D : Everyone)
    if (Quota[D] > 0)
      Needy.push_back(D);
  std::sort(Needy.begin(), Needy.end(), [&](std::uint32_t A, std::uint32_t B) {
    return weight(Key, Hash[A]) > weight(Key, Hash[B]);
  });
  for (std::uint32_t D : Needy)
    for (; Quota[D] > 0; --Quota[D])
      give(fullestUpstream(D), D);
}

std::size_t Allocator::fullestUpstream(std::uint32_t Daemon) const {
  std::size_t Best = 0;
  for (std::size_t U = 1; U < Left.size(); ++U) {
    bool Heavier =
        weight(Keys[U], Hash[Daemon]) > weight(Keys[Best], Hash[Daemon]);
    if (Left[U] > Left[Best] || (Left[U] == Left[Best] && Heavier))
      Best = U;
  }
  return Best;
}

void Allocator::allocateRemainder(const Service &S) {
  for (std::size_t U = 0; U < Left.size(); ++U)
    while (Left[U] > 0) {
      std::uint32_t D = remainderOwner(S->Upstreams[U], Keys[U]);
      HasRemainder[D] = ServiceNumber;
      ++Load[D];
      give(U, D);
    }
}

std::uint32_t Allocator::remainderOwner(const Upstream &U,
                                        std::uint64_t Key) const {
  std::uint32_t D = Nobody;
  if (auto Zone = ByZone.find(U->Zone); Zone != ByZone.end())
    D = heaviest(Zone->second, Key, /*BelowLimitOnly=*/true);
  if (D == Nobody)
    D = heaviest(Everyone, Key, /*BelowLimitOnly=*/true);
  // The remainder is smaller than the fleet, so somebody has none of it.
  if (D == Nobody)
    D = heaviest(Everyone, Key, /*BelowLimitOnly=*/false);
  return D;
}

std::uint32_t Allocator::heaviest(const std::vector<std::uint32_t> &Candidates,
                                  std::uint64_t Key,
                                  bool BelowLimitOnly) const {
  std::uint32_t Best = Nobody;
  std::uint64_t BestWeight = 0;
  for (std::uint32_t D : Candidates) {
    if (HasRemainder[D] == ServiceNumber)
      continue;
    if (BelowLimitOnly && Load[D] >= LoadLimit[D])
      continue;
    std::uint64_t W = weight(Key, Hash[D]);
    if (Best != Nobody && W <= BestWeight)
      continue;
    Best = D;
    BestWeight = W;
  }
  return Best;
}

void Allocator::give(std::size_t U, std::uint32_t Daemon) {
  --Left[U];
  for (Part &P : Allocated[U])
    if (P.Daemon == Daemon) {
      ++P.Slots;
      return;
    }
  Allocated[U].push_back({Daemon, 1});
}

/// Slots and one spare connection, so that one can be replaced without losing
/// a slot for the time of its handshake. The parts add up to no more than the
/// upstream's connections, because each is its proportional part rounded down.
unsigned connectionsFor(unsigned Slots, const UpstreamFields &U) {
  return std::min(Slots + 1, Slots * U.Connections / U.Slots);
}

} // namespace

SlotAllocation SlotAllocation::make(const Config &C, const FleetView &V,
                                    const DaemonId &Self) {
  SlotAllocation A;
  A.ViewNumber = V.Number;
  A.Generation = C.generation();
  auto Members = std::make_shared<const std::vector<Member>>(dealtMembers(V));
  A.Members = Members;
  if (Members->empty())
    return A;
  std::vector<AllocatedService> Services = servicesInOrder(C);
  Allocator D(*Members, Services);
  for (const AllocatedService &S : Services) {
    const std::vector<Parts> &Allocated = D.allocate(*S.Svc);
    for (std::size_t U = 0; U < Allocated.size(); ++U) {
      const UpstreamFields &Up = *(*S.Svc)->Upstreams[U];
      auto First = static_cast<std::uint32_t>(A.All.size());
      for (const Part &P : Allocated[U]) {
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
