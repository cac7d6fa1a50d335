//===- FeedTree.cpp -------------------------------------------------------===//
#include "front/FeedTree.h"

#include <algorithm>
#include <functional>
#include <map>

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

/// \p Own lists the daemons of this region in order of rank. The daemon at
/// index I reads from the one at (I - 1) / FeedFanOut, or else from the next
/// best.
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
  std::map<Region, Ranked> OtherWatchers;
  std::vector<DaemonId> Serving;
  Serving.reserve(View.Members.size());
  for (const Member &M : View.Members) {
    if (canServe(M))
      Serving.push_back(M.Id);
    if (M.Reg == Here) {
      if (canServe(M) || M.Id.Host == Self)
        Own.emplace_back(M);
      continue;
    }
    if (!canServe(M))
      continue;
    Ranked R(M);
    auto [At, IsFirst] = OtherWatchers.try_emplace(M.Reg, R);
    if (!IsFirst && R.Rank > At->second.Rank)
      At->second = R;
  }
  std::ranges::sort(Own, std::greater<>(), &Ranked::Rank);
  FeedTree T;
  T.Serving = std::make_shared<const std::vector<DaemonId>>(std::move(Serving));
  findRegionSources(Own, Self, T);
  // A daemon that watches the store for its region and cannot reach it reads
  // from the watchers of other regions. The other daemons of its region only
  // have the data of this daemon: they would wait for each other until it is
  // stale.
  auto At = T.IsWatcher ? T.Peers.begin() : T.Peers.end();
  for (const auto &[Reg, R] : OtherWatchers)
    At = T.Peers.insert(At, *R.Who) + 1;
  return T;
}

} // namespace shallot
