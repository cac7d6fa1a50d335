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
// the whole fleet call it.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDSOURCES_H
#define SHALLOTSHIFT_FRONT_FEEDSOURCES_H

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

/// Maximum number of daemons that read from one daemon: 16 changes of 20 KB
/// take 0.2 s at 14 Mbit/s, and 1,700 daemons in 7 regions need three levels.
inline constexpr std::size_t FeedFanOut = 16;

class FeedSources {
public:
  FeedSources(HostId Self, Region Here)
      : Self(std::move(Self)), Here(std::move(Here)) {}

  void update(const FleetView &View);
  /// Source for the next call. \p Listed: a list was read before. Until then a
  /// peer that is still starting is used only if it is the default source, and
  /// the store is used if no peer is usable.
  FeedSource next(bool Listed, Instant Now);
  /// Uses \p Peer for the next call because it is ahead of this daemon.
  void prefer(const Member &Peer) { Preferred = Peer; }
  void recordSuccess(const FeedSource &S);
  void recordFailure(const FeedSource &S, Random &Rng, Instant Now);
  /// True when \p S may be unavailable: its daemon has left or is suspected.
  bool lost(const FeedSource &S) const;
  /// True when this daemon reads from the store on behalf of its region.
  bool watchesStore() const { return IsWatcher; }
  /// True when other daemons of the region read from this one.
  bool relays() const { return Relays; }

private:
  struct FailureRecord {
    unsigned Count = 0;
    Duration Backoff{};
    Instant Until{};
  };

  bool usable(const FeedSource &S, Instant Now) const;
  FeedSource firstSource(Instant Now) const;
  void findRegionSources(const std::vector<Member> &Own);

  HostId Self;
  Region Here;
  std::optional<Member> Preferred;
  std::vector<Member> Peers;     ///< In order of preference.
  std::vector<DaemonId> Serving; ///< All members that can be a source.
  bool IsWatcher = true;         ///< First of its region.
  bool Relays = false;
  std::map<HostId, FailureRecord> Failures; ///< The empty key is the store.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDSOURCES_H
