//===- FeedSources.cpp ----------------------------------------------------===//
#include "front/FeedSources.h"

#include <algorithm>
#include <set>

namespace shallot {

namespace {

/// How long a source that failed is avoided. The store's is longer: each call
/// costs money, also during an outage.
constexpr Duration FirstPeerRest = Millis(700);
constexpr Duration LongestPeerRest = Millis(2500);
constexpr Duration FirstStoreRest = Millis(900);
constexpr Duration LongestStoreRest = Millis(3500);

/// Sources of the own region that are tried before other regions.
constexpr std::size_t OwnRegionSources = 2;

/// Large hosts first: they have the links and the processor to serve others.
std::pair<std::uint32_t, std::uint64_t> rankOf(const Member &M) {
  return {M.Capacity, hash64(M.Id.Host.str(), hash64(M.Reg.str()))};
}

bool mayServe(const Member &M) {
  return M.State == MemberState::Alive || M.State == MemberState::Starting;
}

const HostId &nameOf(const FeedSource &S) {
  static const HostId Store;
  return S.Peer ? S.Peer->Id.Host : Store;
}

} // namespace

void FeedSources::update(const FleetView &View) {
  std::map<Region, std::vector<Member>> ByRegion;
  Serving.clear();
  for (const Member &M : View.Members) {
    if (mayServe(M))
      Serving.push_back(M.Id);
    if (mayServe(M) || M.Id.Host == Self)
      ByRegion[M.Reg].push_back(M);
  }
  for (auto &[Reg, List] : ByRegion)
    std::ranges::sort(List, std::greater<>(), rankOf);
  std::vector<Member> Others;
  for (const auto &[Reg, List] : ByRegion)
    if (Reg != Here && !List.empty())
      Others.push_back(List.front());
  Peers.clear();
  findOwnSources(ByRegion[Here]);
  // A daemon that watches the store for its region and cannot reach it reads
  // from the watchers of other regions. Its own region has only this daemon's
  // data: the two would wait for each other until it is stale.
  Peers.insert(First ? Peers.begin() : Peers.end(), Others.begin(),
               Others.end());
}

/// \p Own is this daemon's region in order of rank. The daemon at place I reads
/// from the one at (I - 1) / FeedFanOut, or else from the next best.
void FeedSources::findOwnSources(const std::vector<Member> &Own) {
  auto Me = std::ranges::find_if(
      Own, [&](const Member &M) { return M.Id.Host == Self; });
  auto Place = static_cast<std::size_t>(Me - Own.begin());
  First = Place == 0 || Me == Own.end();
  Relays = Me != Own.end() && Place * FeedFanOut + 1 < Own.size();
  if (!First)
    Peers.push_back(Own[(Place - 1) / FeedFanOut]);
  for (const Member &M : Own) {
    if (Peers.size() >= OwnRegionSources)
      return;
    bool Usual = !First && M.Id == Peers.front().Id;
    if (M.Id.Host != Self && !Usual)
      Peers.push_back(M);
  }
}

bool FeedSources::usable(const FeedSource &S, Instant Now) const {
  auto Found = Failures.find(nameOf(S));
  return Found == Failures.end() || Found->second.Until <= Now;
}

FeedSource FeedSources::next(bool Listed, Instant Now) {
  FeedSource Store;
  if (Preferred)
    return {std::exchange(Preferred, std::nullopt)};
  if (First && usable(Store, Now))
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
  // Everyone has failed lately.
  return Soonest;
}

/// Of a daemon that has read nothing yet. The usual source may have just
/// started as well; it answers when it has read something itself. No other
/// starting daemon is used: daemons that wait for each other in a circle would
/// answer nobody.
FeedSource FeedSources::firstSource(Instant Now) const {
  for (const Member &M : Peers) {
    bool Usual = !First && M.Id == Peers.front().Id;
    if ((Usual || M.State == MemberState::Alive) && usable({M}, Now))
      return {M};
  }
  return {};
}

void FeedSources::recordSuccess(const FeedSource &S) { Failures.erase(nameOf(S)); }

void FeedSources::recordFailure(const FeedSource &S, Random &Rng, Instant Now) {
  Bad &B = Failures[nameOf(S)];
  // One call may be lost on the way, or with a connection that fell silent. The
  // daemon that the others read from tries the store again first.
  if (S.direct() && ++B.Times == 1)
    return;
  Duration Least = S.direct() ? FirstStoreRest : FirstPeerRest;
  Duration Most = S.direct() ? LongestStoreRest : LongestPeerRest;
  B.For = std::clamp(B.For * 2, Least, Most);
  // Spread, so that a fleet that lost its sources at one moment does not call
  // the store at one moment.
  B.Until = Now + fromMillisF(toMillisF(B.For) * (0.75 + 0.5 * uniform01(Rng)));
}

/// Any member that serves may be the one that was preferred: it counts as lost
/// by its state, not by its place among the usual sources.
bool FeedSources::lost(const FeedSource &S) const {
  return !S.direct() && std::ranges::find(Serving, S.Peer->Id) == Serving.end();
}

} // namespace shallot
