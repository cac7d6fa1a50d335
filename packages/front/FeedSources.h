//===- FeedSources.h - Where a daemon reads the store's data ----*- C++ -*-===//
//
// Calls to the store cost money, and its rates do not grow with the fleet, so
// one daemon in each region watches the store and the others read from it: up
// to FeedFanOut of them directly, the rest from one of these, and so on. There
// is no election: each daemon ranks the members that it sees, the largest hosts
// first, and its place in that order determines its source; the first of its
// region reads from the store. Daemons that see different members may both do
// so, which costs a few calls and nothing else.
//
// Why a tree: with 100 daemons that read from one, a change of 20 KB is 2 MB on
// one host's link, more than a second on a link of 14 Mbit/s.
//
// When a source fails (dead, silent, or with stale data itself): the second of
// the region, then the first of another, then the store. A source that failed
// is avoided for a while, longer each time, so that an outage of the store does
// not make the whole fleet call it.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FEEDSOURCES_H
#define SHALLOTSHIFT_FRONT_FEEDSOURCES_H

#include "shallotshift/base.h"
#include "shallotshift/forward.h"

#include <map>
#include <optional>

namespace shallot {

/// Where a call goes: the store, or a peer that serves its data.
struct FeedSource {
  std::optional<Member> Peer;

  bool direct() const { return !Peer; }
  friend bool operator==(const FeedSource &, const FeedSource &) = default;
};

/// A source whose data is older than this is stale: a change must be in force
/// everywhere within 3 s or more, and watchers get an answer from the store
/// once a second or two.
inline constexpr Duration MaxFeedAge = Millis(2200);

/// Daemons that one daemon serves: 16 changes of 20 KB are 0.2 s on a link of
/// 14 Mbit/s, and 1,700 daemons in 7 regions need three levels.
inline constexpr std::size_t FeedFanOut = 16;

class FeedSources {
public:
  FeedSources(HostId Self, Region Here)
      : Self(std::move(Self)), Here(std::move(Here)) {}

  void update(const FleetView &View);
  /// The source for the next call. \p Listed: something was read before; until
  /// then only the usual source is used, and the store when that has failed.
  FeedSource next(bool Listed, Instant Now);
  /// \p Peer is known to have more than this daemon: the next call goes there.
  void prefer(const Member &Peer) { Preferred = Peer; }
  void recordSuccess(const FeedSource &S);
  void recordFailure(const FeedSource &S, Random &Rng, Instant Now);
  /// True when \p S may no longer answer: its daemon left or is suspected.
  bool lost(const FeedSource &S) const;
  /// This daemon reads from the store on behalf of its region.
  bool watchesStore() const { return First; }
  /// Others of the region read from this daemon.
  bool relays() const { return Relays; }

private:
  struct Bad {
    unsigned Times = 0;
    Duration For{};
    Instant Until{};
  };

  bool usable(const FeedSource &S, Instant Now) const;
  FeedSource firstSource(Instant Now) const;
  void findOwnSources(const std::vector<Member> &Own);

  HostId Self;
  Region Here;
  std::optional<Member> Preferred;
  std::vector<Member> Peers;     ///< In the order of preference.
  std::vector<DaemonId> Serving; ///< Every member that may be a source.
  bool First = true;             ///< Of its region.
  bool Relays = false;
  std::map<HostId, Bad> Failures; ///< The empty name is the store.
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FEEDSOURCES_H
