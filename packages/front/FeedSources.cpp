//===- FeedSources.cpp ----------------------------------------------------===//
#include "front/FeedSources.h"

#include <algorithm>
#include <set>

namespace shallot {

namespace {

/// Backoff after a failure of a source. It is longer for the store: each call
/// costs money, also during an outage. If a fleet of 60 called the store every
/// 0.5 s during an outage of 9 s, it would make about 1,000 calls.
constexpr Duration MinPeerBackoff = Millis(700);
constexpr Duration MaxPeerBackoff = Millis(2500);
constexpr Duration MinStoreBackoff = Millis(900);
constexpr Duration MaxStoreBackoff = Millis(3500);

/// Number of sources in this region that are tried before other regions.
constexpr std::size_t OwnRegionSources = 2;

/// Large hosts rank first: they have the bandwidth and CPU to serve others.
std::pair<std::uint32_t, std::uint64_t> rankOf(const Member &M) {
  return {M.Capacity, hash64(M.Id.Host.str(), hash64(M.Reg.str()))};
}

bool canServe(const Member &M) {
  return M.State == MemberState::Alive || M.State == MemberState::Starting;
}

const HostId &sourceHost(const FeedSource &S) {
  static const HostId Store;
  return S.Peer ? S.Peer->Id.Host : Store;
}

} // namespace

void FeedSources::update(const FleetView &View) {
  std::map<Region, std::vector<Member>> ByRegion;
  Serving.clear();
  for (const Member &M : View.Members) {
    if (canServe(M))
      Serving.push_back(M.Id);
    if (canServe(M) || M.Id.Host == Self)
      ByRegion[M.Reg].push_back(M);
  }
  for (auto &[Reg, List] : ByRegion)
    std::ranges::sort(List, std::greater<>(), rankOf);
  std::vector<Member> OtherWatchers;
  for (const auto &[Reg, List] : ByRegion)
    if (Reg != Here && !List.empty())
      OtherWatchers.push_back(List.front());
  Peers.clear();
  findRegionSources(ByRegion[Here]);
  // A daemon that watches the store for its region and cannot reach it reads
  // from the watchers of other regions. The other daemons of its region only
  // have the data of this daemon: they would wait for each other until it is
  // stale.
  Peers.insert(IsWatcher ? Peers.begin() : Peers.end(), OtherWatchers.begin(),
               OtherWatchers.end());
}

/// \p Own lists the daemons of this region in order of rank. The daemon at
/// index I reads from the one at (I - 1) / FeedFanOut, or else from the next
/// best.
void FeedSources::findRegionSources(const std::vector<Member> &Own) {
  auto Me = std::ranges::find_if(
      Own, [&](const Member &M) { return M.Id.Host == Self; });
  auto Place = static_cast<std::size_t>(Me - Own.begin());
  IsWatcher = Place == 0 || Me == Own.end();
  Relays = Me != Own.end() && Place * FeedFanOut + 1 < Own.size();
  if (!IsWatcher)
    Peers.push_back(Own[(Place - 1) / FeedFanOut]);
  for (const Member &M : Own) {
    if (Peers.size() >= OwnRegionSources)
      return;
    bool Default = !IsWatcher && M.Id == Peers.front().Id;
    if (M.Id.Host != Self && !Default)
      Peers.push_back(M);
  }
}

bool FeedSources::usable(const FeedSource &S, Instant Now) const {
  auto Found = Failures.find(sourceHost(S));
  return Found == Failures.end() || Found->second.Until <= Now;
}

FeedSource FeedSources::next(bool Listed, Instant Now) {
  FeedSource Store;
  if (Preferred)
    return {std::exchange(Preferred, std::nullopt)};
  if (IsWatcher && usable(Store, Now))
    return Store;
  if (!Listed)
    return firstSource(Now);
  FeedSource Soonest = Store;
  Instant SoonestAt = Instant::max();
  for (const Member &M : Peers) {
    FeedSource S{M};
    if (usable(S, Now))
      return S;
    Instant Until = Failures.at(M.Id.Host).Until;
    if (Until < SoonestAt) {
      SoonestAt = Until;
      Soonest = S;
    }
  }
  if (usable(Store, Now))
    return Store;
  // All sources are in backoff.
  return Soonest;
}

/// Source for a daemon that has read nothing yet. The default source may have
/// just started as well; it replies once it has read something itself. No other
/// starting daemon is used: daemons waiting for each other in a cycle would
/// answer nobody.
FeedSource FeedSources::firstSource(Instant Now) const {
  for (const Member &M : Peers) {
    bool Default = !IsWatcher && M.Id == Peers.front().Id;
    if ((Default || M.State == MemberState::Alive) && usable({M}, Now))
      return {M};
  }
  return {};
}

void FeedSources::recordSuccess(const FeedSource &S) {
  Failures.erase(sourceHost(S));
}

void FeedSources::recordFailure(const FeedSource &S, Random &Rng, Instant Now) {
  FailureRecord &B = Failures[sourceHost(S)];
  // A single call may be lost in transit or with a connection that went silent,
  // so the daemon that others read from retries the store first.
  if (S.direct() && ++B.Count == 1)
    return;
  Duration Min = S.direct() ? MinStoreBackoff : MinPeerBackoff;
  Duration Max = S.direct() ? MaxStoreBackoff : MaxPeerBackoff;
  B.Backoff = std::clamp(B.Backoff * 2, Min, Max);
  // Jitter, so that a fleet that lost its sources at the same moment does not
  // call the store at the same moment.
  B.Until =
      Now + fromMillisF(toMillisF(B.Backoff) * (0.75 + 0.5 * uniform01(Rng)));
}

/// A preferred source can be any serving member, so availability is decided by
/// state, not by presence among the default sources.
bool FeedSources::lost(const FeedSource &S) const {
  return !S.direct() && std::ranges::find(Serving, S.Peer->Id) == Serving.end();
}

} // namespace shallot
