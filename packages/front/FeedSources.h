//===- FeedSources.h - Choice of the source for store data ------*- C++ -*-===//
//
// Calls to the store cost money, and its rate limits do not grow with the
// fleet. So one daemon in each region watches the store and the others read
// from it: up to FeedFanOut of them directly, the rest from one of these, and
// so on. There is no election. Each daemon ranks the members that it sees,
// largest hosts first, and its position determines its source; the first of its
// region reads from the store. Daemons with different membership views may both
// do so, which costs a few extra calls and nothing else.
//
// Why a tree: if 100 daemons read from one, a change of 20 KB is 2 MB on the
// link of one host, more than a second at 14 Mbit/s.
//
// When a source fails (dead, silent or stale), a daemon tries the second of its
// region, then the first of another region, then the store. A failed source is
// avoided with increasing backoff, so that an outage of the store does not make
// the whole fleet call it. A daemon that the store refuses reads from peers
// only; it finds out by trials when it can read again (StoreTrials.h).
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDSOURCES_H
#define SHALLOTSHIFT_FRONT_FEEDSOURCES_H

#include "front/FeedTree.h"
#include "shallotshift/base.h"
#include "shallotshift/forward.h"

#include <map>
#include <optional>

namespace shallot {

/// Target of a call: the store, or a peer that serves its data.
struct FeedSource {
  std::optional<Member> Peer;

  bool direct() const { return !Peer; }
  friend bool operator==(const FeedSource &, const FeedSource &) = default;
};

/// A source whose data is older than this is stale. A change must be in force
/// everywhere within 3 s or more (the deployment sets the bound), and watchers
/// get a reply from the store every one to two seconds.
inline constexpr Duration MaxFeedAge = Millis(2200);

/// A daemon that is the first of at least this many of its region lists from
/// the store before its view is complete. If each of N daemons knows as many
/// others at random, about N / EnoughOfRegion of them do so.
inline constexpr std::size_t EnoughOfRegion = 16;

/// A daemon that could not read from a peer for this long after its start reads
/// from the store: long enough that the daemons of a fleet that starts as a
/// whole know each other, and the first of each region have read everything.
inline constexpr Duration StartPatience = Seconds(5);

class FeedSources {
public:
  FeedSources(HostId Self, Region Here)
      : Self(std::move(Self)), Here(std::move(Here)) {}

  void update(const FleetView &View);
  /// The same, with the place of this daemon in the fleet's view.
  void update(FeedTree T);
  /// Whether the view holds (almost) the whole fleet. While a fleet starts, a
  /// daemon that has met few others takes itself for the first of its region.
  void setViewComplete(bool Complete) { ViewComplete = Complete; }
  /// Source for the next call of a daemon that has read a list before.
  FeedSource next(Instant Now);
  /// The same for one that has read nothing yet. A peer that is still starting
  /// is used only if it is the default source, and the store only by the
  /// watcher of a complete view or of EnoughOfRegion, or after StartPatience;
  /// nothing if there is no such source yet.
  std::optional<FeedSource> first(Instant Now);
  /// Uses \p Peer for the next call because it is ahead of this daemon.
  void prefer(const Member &Peer) { Preferred = Peer; }
  void recordSuccess(const FeedSource &S);
  void recordFailure(const FeedSource &S, Random &Rng, Instant Now);
  /// True when \p S should be replaced: its daemon has left or is suspected, or
  /// the store refuses it and a better source is known.
  bool lost(const FeedSource &S) const;
  /// True when this daemon reads from the store on behalf of its region.
  bool watchesStore() const { return Tree.IsWatcher; }
  /// True when this daemon reads in place of one that the store refuses. Its
  /// first call to the store does not wait for a change: those that read from
  /// it need to know at once how old its data is.
  bool tookOver() const { return Tree.Own == StoreAccess::Reads; }
  /// True when other daemons of the region read from this one.
  bool relays() const { return Tree.Relays; }

private:
  struct FailureRecord {
    unsigned Count = 0;
    Duration Backoff{};
    Instant Until{};
  };

  bool usable(const FeedSource &S, Instant Now) const;
  bool mayListFromStore(Instant Now) const;
  bool watchesItself() const;
  bool mayFallBackOnStore() const;
  bool refused(const Member &M) const;

  HostId Self;
  Region Here;
  std::optional<Member> Preferred;
  FeedTree Tree{{}, std::make_shared<const std::vector<DaemonId>>()};
  bool ViewComplete = false;
  std::optional<Instant> FirstAskedAt;
  std::map<HostId, FailureRecord> Failures; ///< The empty key is the store.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDSOURCES_H
