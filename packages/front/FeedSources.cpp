//===- FeedSources.cpp ----------------------------------------------------===//
#include "front/FeedSources.h"

#include <algorithm>

namespace shallot {

namespace {

/// Backoff after a failure of a source. It is longer for the store: each call
/// costs money, also during an outage. If a fleet of 60 called the store every
/// 0.5 s during an outage of 9 s, it would make about 1,000 calls.
constexpr Duration MinPeerBackoff = Millis(700);
constexpr Duration MaxPeerBackoff = Millis(2500);
constexpr Duration MinStoreBackoff = Millis(900);
constexpr Duration MaxStoreBackoff = Millis(3500);

const HostId &sourceHost(const FeedSource &S) {
  static const HostId Store;
  return S.Peer ? S.Peer->Id.Host : Store;
}

} // namespace

void FeedSources::update(const FleetView &View) {
  update(FeedTree::of(View, Self, Here));
}

void FeedSources::update(FeedTree T) {
  if (T.Own == StoreAccess::Reads && Tree.Own != StoreAccess::Reads)
    Failures.erase(HostId());
  // A peer that failed because the store refused it is worth a call at once
  // when it reads.
  for (const Member &M : T.Peers)
    if (M.Store == StoreAccess::Reads && refused(M))
      Failures.erase(M.Id.Host);
  Tree = std::move(T);
}

bool FeedSources::watchesItself() const {
  return Tree.IsWatcher && Tree.Own != StoreAccess::Refused;
}

/// While nobody in the region reads, only trials look for one that can.
bool FeedSources::mayFallBackOnStore() const {
  return Tree.Own != StoreAccess::Refused && !Tree.Access.Searching;
}

bool FeedSources::usable(const FeedSource &S, Instant Now) const {
  auto Found = Failures.find(sourceHost(S));
  return Found == Failures.end() || Found->second.Until <= Now;
}

FeedSource FeedSources::next(Instant Now) {
  FeedSource Store;
  if (Preferred)
    return {std::exchange(Preferred, std::nullopt)};
  if (watchesItself() && usable(Store, Now))
    return Store;
  FeedSource Soonest = Store;
  Instant SoonestAt = Instant::max();
  for (const Member &M : Tree.Peers) {
    FeedSource S{M};
    if (usable(S, Now))
      return S;
    Instant Until = Failures.at(M.Id.Host).Until;
    if (Until < SoonestAt) {
      SoonestAt = Until;
      Soonest = S;
    }
  }
  if (mayFallBackOnStore() && usable(Store, Now))
    return Store;
  // All sources are in backoff.
  return Soonest;
}

/// The default source may have just started as well; it replies once it has
/// read something itself. No other starting daemon is used: daemons waiting for
/// each other in a cycle would answer nobody.
std::optional<FeedSource> FeedSources::first(Instant Now) {
  FeedSource Store;
  if (!FirstAskedAt)
    FirstAskedAt = Now;
  if (Preferred)
    return FeedSource{std::exchange(Preferred, std::nullopt)};
  bool FromStore = mayListFromStore(Now);
  if (FromStore && watchesItself() && usable(Store, Now))
    return Store;
  for (const Member &M : Tree.Peers) {
    bool Default = !Tree.IsWatcher && M.Id == Tree.Peers.front().Id;
    if ((Default || M.State == MemberState::Alive) && usable({M}, Now))
      return FeedSource{M};
  }
  return FromStore && mayFallBackOnStore() ? std::optional(Store)
                                           : std::nullopt;
}

bool FeedSources::mayListFromStore(Instant Now) const {
  bool ViewSuffices = ViewComplete || Tree.InRegion >= EnoughOfRegion;
  return (Tree.IsWatcher && ViewSuffices) ||
         Now >= *FirstAskedAt + StartPatience;
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

bool FeedSources::refused(const Member &M) const {
  return std::ranges::binary_search(Tree.Refused, M.Id);
}

/// A preferred source can be any serving member, so availability is decided by
/// state, not by presence among the default sources. A source that the store
/// refuses is given up as soon as a better one is known; so is a peer when this
/// daemon reads itself in place of one that is refused.
bool FeedSources::lost(const FeedSource &S) const {
  if (S.direct())
    return Tree.Own == StoreAccess::Refused && !Tree.Peers.empty();
  if (!std::ranges::binary_search(*Tree.Serving, S.Peer->Id))
    return true;
  if (Tree.IsWatcher && Tree.Own == StoreAccess::Reads)
    return !Failures.contains(HostId());
  const Member *Default = Tree.Peers.empty() ? nullptr : &Tree.Peers.front();
  return refused(*S.Peer) && Default && Default->Id != S.Peer->Id &&
         !refused(*Default);
}

} // namespace shallot
