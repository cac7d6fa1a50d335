//===- FeedTree.cpp -------------------------------------------------------===//
#include "front/FeedTree.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

namespace shallot {

namespace {

/// Number of sources in this region that are tried before other regions.
constexpr std::size_t OwnRegionSources = 2;

/// Large hosts rank first: they have the bandwidth and CPU to serve others.
struct Ranked {
  std::pair<std::uint32_t, std::uint64_t> Rank;
  const Member *Who = nullptr;

  explicit Ranked(const Member &M)
      : Rank(M.Capacity, hash64(M.Id.Host.str(), hash64(M.Reg.str()))),
        Who(&M) {}
};

bool canServe(const Member &M) {
  return M.State == MemberState::Alive || M.State == MemberState::Starting;
}

/// What decides who watches the store for another region.
struct OtherRegion {
  std::optional<Ranked> Largest;
  std::optional<Ranked> LargestReader;
  bool HasRefused = false;

  void add(const Member &M) {
    Ranked R(M);
    if (!Largest || R.Rank > Largest->Rank)
      Largest = R;
    bool Reads = M.Store == StoreAccess::Reads;
    if (Reads && (!LargestReader || R.Rank > LargestReader->Rank))
      LargestReader = R;
    HasRefused = HasRefused || M.Store == StoreAccess::Refused;
  }
  const Member &watcher() const {
    return HasRefused && LargestReader ? *LargestReader->Who : *Largest->Who;
  }
};

/// The watchers of other regions, those that are refused last.
std::vector<const Member *>
watchersOf(const std::map<Region, OtherRegion> &Others) {
  std::vector<const Member *> All;
  All.reserve(Others.size());
  for (const auto &[Reg, Other] : Others)
    All.push_back(&Other.watcher());
  std::stable_partition(All.begin(), All.end(), [](const Member *M) {
    return M->Store != StoreAccess::Refused;
  });
  return All;
}

std::vector<DaemonId> informedFirst(const std::vector<Ranked> &Own,
                                    const std::vector<const Member *> &Others,
                                    const HostId &Self) {
  std::vector<DaemonId> Ids;
  for (const Ranked &R : Own) {
    if (Ids.size() >= FeedFanOut + 1)
      break;
    if (R.Who->Id.Host != Self)
      Ids.push_back(R.Who->Id);
  }
  for (const Member *M : Others)
    Ids.push_back(M->Id);
  return Ids;
}

/// Puts the largest host that reads first when the store refuses a daemon of
/// the region.
void putReaderFirst(std::vector<Ranked> &Own, const RegionAccess &A) {
  if (A.Refused == 0 || A.Readers == 0)
    return;
  auto Reader = std::ranges::find_if(
      Own, [](const Ranked &R) { return R.Who->Store == StoreAccess::Reads; });
  std::rotate(Own.begin(), Reader, Reader + 1);
}

/// Place of a daemon in a search. One that is starting has nothing to pass on
/// yet and comes after all that serve.
std::pair<bool, std::uint64_t> searchKey(const Member &M) {
  return {M.State != MemberState::Alive, hash64(M.Id.Host.str())};
}

std::size_t searchPlace(const std::vector<const Member *> &Untried,
                        const Member &Me) {
  auto Mine = searchKey(Me);
  return static_cast<std::size_t>(std::ranges::count_if(
      Untried, [&](const Member *M) { return searchKey(*M) < Mine; }));
}

/// Completes \p A for a region that searches.
void describeSearch(RegionAccess &A, const std::vector<Ranked> &Own,
                    const FleetView &View, const HostId &Self) {
  std::vector<const Member *> Untried;
  const Member *Me = nullptr;
  std::size_t Refused = 0;
  std::size_t Searchers = 0;
  auto Add = [&](const Member &M) {
    if (M.Id.Host == Self)
      Me = &M;
    if (!canServe(M) && M.Id.Host != Self)
      return;
    ++Searchers;
    Refused += M.Store == StoreAccess::Refused;
    if (M.Store == StoreAccess::Untried)
      Untried.push_back(&M);
  };
  if (A.OtherRegionReads)
    for (const Ranked &R : Own)
      Add(*R.Who);
  else
    for (const Member &M : View.Members)
      Add(M);
  bool IsLargest =
      A.OtherRegionReads && !Untried.empty() && Untried.front() == Me;
  if (Me && !IsLargest)
    A.SearchPlace = searchPlace(Untried, *Me);
  A.Sharing = std::max(Refused, std::min(Searchers, A.OtherRegionReads
                                                        ? RegionSearchSize
                                                        : FleetSearchSize));
}

/// \p Own lists the daemons of the region in order of rank.
RegionAccess regionAccess(const std::vector<Ranked> &Own, const HostId &Self) {
  RegionAccess A;
  for (const Ranked &R : Own) {
    if (R.Who->Id.Host == Self)
      A.OutranksReaders = A.Readers == 0;
    A.Readers += R.Who->Store == StoreAccess::Reads;
    A.Refused += R.Who->Store == StoreAccess::Refused;
  }
  A.Searching = A.Readers == 0 && !Own.empty() &&
                Own.front().Who->Store == StoreAccess::Refused;
  A.Sharing = A.Refused;
  return A;
}

/// \p Own lists the daemons of this region, the one that watches the store
/// first and the others in order of rank. The daemon at index I reads from the
/// one at (I - 1) / FeedFanOut, or else from the next best.
void findRegionSources(const std::vector<Ranked> &Own, const HostId &Self,
                       FeedTree &T) {
  auto Me = std::ranges::find_if(
      Own, [&](const Ranked &R) { return R.Who->Id.Host == Self; });
  auto Place = static_cast<std::size_t>(Me - Own.begin());
  T.IsWatcher = Place == 0 || Me == Own.end();
  T.Relays = Me != Own.end() && Place * FeedFanOut + 1 < Own.size();
  if (!T.IsWatcher)
    T.Peers.push_back(*Own[(Place - 1) / FeedFanOut].Who);
  for (const Ranked &R : Own) {
    if (T.Peers.size() >= OwnRegionSources)
      return;
    bool Default = !T.IsWatcher && R.Who->Id == T.Peers.front().Id;
    if (R.Who->Id.Host != Self && !Default)
      T.Peers.push_back(*R.Who);
  }
}

} // namespace

FeedTree FeedTree::of(const FleetView &View, const HostId &Self,
                      const Region &Here) {
  std::vector<Ranked> Own;
  std::map<Region, OtherRegion> Others;
  std::vector<DaemonId> Serving;
  Serving.reserve(View.Members.size());
  FeedTree T;
  for (const Member &M : View.Members) {
    if (canServe(M))
      Serving.push_back(M.Id);
    if (M.Id.Host == Self)
      T.Own = M.Store;
    if (M.Store == StoreAccess::Refused)
      T.Refused.push_back(M.Id);
    if (M.Reg == Here) {
      if (canServe(M) || M.Id.Host == Self)
        Own.emplace_back(M);
      continue;
    }
    if (!canServe(M))
      continue;
    Others[M.Reg].add(M);
  }
  std::ranges::sort(Own, std::greater<>(), &Ranked::Rank);
  T.InRegion = Own.size();
  T.Access = regionAccess(Own, Self);
  putReaderFirst(Own, T.Access);
  T.Serving = std::make_shared<const std::vector<DaemonId>>(std::move(Serving));
  findRegionSources(Own, Self, T);
  // A daemon that watches the store for its region and cannot reach it reads
  // from the watchers of other regions. The other daemons of its region only
  // have the data of this daemon: they would wait for each other until it is
  // stale.
  auto At = T.IsWatcher ? T.Peers.begin() : T.Peers.end();
  std::vector<const Member *> First = watchersOf(Others);
  for (const Member *M : First)
    At = T.Peers.insert(At, *M) + 1;
  T.Access.OtherRegionReads =
      !First.empty() && First.front()->Store != StoreAccess::Refused;
  if (T.Access.Searching)
    describeSearch(T.Access, Own, View, Self);
  T.Informed = informedFirst(Own, First, Self);
  return T;
}

} // namespace shallot
