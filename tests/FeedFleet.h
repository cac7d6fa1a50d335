//===- FeedFleet.h - Daemons that read a store from each other --*- C++ -*-===//
//
// For tests of the feed: daemons that decide by FeedTree, FeedSources,
// StoreTrials and CatchUp, a store that answers, turns away or is silent to
// each of them as the test says, and calls that take a few milliseconds, all in
// virtual time. Small fleets hear of each other by the membership protocol;
// large ones see each change of it after a fixed delay.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_FEEDFLEET_H
#define SHALLOTSHIFT_TESTS_FEEDFLEET_H

#include "FleetBag.h"
#include "shallotshift/front.h"

#include <set>

namespace shallot::test {

enum class StoreSays : std::uint8_t { Answers, TurnsAway, Silent };

class FeedFleet {
public:
  /// Daemon N is in region N % \p Regions, and larger than all of higher
  /// numbers.
  FeedFleet(std::size_t Count, std::size_t Regions, std::uint64_t Seed = 1);

  void run(Duration For);
  /// Changes an object in the store.
  void write();
  std::uint64_t written() const { return Written; }
  std::size_t size() const { return Nodes.size(); }

  /// What the store says to daemon N now.
  std::function<StoreSays(std::size_t)> Store;

  /// Daemons that have not read the latest change.
  std::size_t behind() const;
  /// Runs until nobody is behind; the time it took, at most \p Limit.
  Duration untilRead(Duration Limit);
  /// Age of the oldest data in the fleet.
  Duration oldestData() const;
  /// Daemons of a region that watch the store for it in their own eyes.
  std::vector<std::size_t> watchers(std::size_t Region) const;
  /// Whether a daemon that watches the store for a region in its own eyes can
  /// read, or no daemon of the region can.
  bool ledByReader(std::size_t Region) const;
  /// Changes of access that daemons have announced.
  std::uint64_t announcements() const { return Announcements; }

  std::uint64_t StoreCalls = 0;
  std::set<std::size_t> Callers; ///< That called the store.
  Instant Now;

private:
  static constexpr Duration Step = Millis(10);
  static constexpr Duration OneWay = Millis(5);
  /// Largest fleet that is simulated with the membership protocol.
  static constexpr std::size_t MaxGossiping = 200;
  /// How long others take to see a change in larger fleets.
  static constexpr Duration NewsDelay = Millis(400);
  static constexpr std::size_t Kinds = 2;

  struct KindState {
    FeedSources Sources;
    CatchUp Behind{CatchUpTimeout};
    Backoff Wait{Millis(150), Millis(900)};
    FeedSource Source;
    bool Open = false;
    bool Hung = false; ///< The open call gets no reply any more.
    Instant Began;     ///< Of the open call, or when the next one begins.
    Duration CallWait{};
    std::uint64_t Read = 0;
    Instant HeardAt;
    Instant LastRelayed;
    std::uint64_t PreviousRead = 0;
    std::uint64_t Requested = 0;
  };
  struct Node {
    std::vector<KindState> Objects;
    StoreTrials Trials;
    FeedTree Tree;
    std::uint64_t ViewNumber = 0;
    bool TrialOpen = false;
    bool TrialHung = false;
    Instant TrialBegan;
    StoreAccess Announced = StoreAccess::Untried;
    CatchUp Hanging{HangingTimeout};
    std::uint64_t Suspected = 0;
    bool BehindPeers = false;
  };

  bool gossips() const { return Nodes.size() <= MaxGossiping; }
  void updateTrees();
  void setTree(std::size_t N, const FeedTree &T);
  void announce(std::size_t N);
  void stepNode(std::size_t N);
  void stepTrial(std::size_t N);
  void renewHanging(std::size_t N, Duration Took);
  bool overdue(const KindState &K, Duration Patience) const;
  void tickTrials(std::size_t N);
  void stepKind(std::size_t N, KindState &K);
  void beginCall(std::size_t N, KindState &K);
  void stepStoreCall(std::size_t N, KindState &K);
  void stepPeerCall(std::size_t N, KindState &K, std::size_t Index);
  void finish(std::size_t N, KindState &K, bool Ok);
  void compareWithPeers(std::size_t N);
  std::size_t indexOf(const HostId &Host) const { return ByHost.at(Host); }

  Random Rng;
  FleetBag Bag;
  FleetView Shown; ///< Of fleets that do not gossip.
  std::multimap<Instant, std::pair<std::size_t, StoreAccess>> News;
  std::vector<Node> Nodes;
  std::map<HostId, std::size_t> ByHost;
  std::uint64_t Written = 1;
  std::uint64_t Announcements = 0;
  std::uint64_t Steps = 0;
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_FEEDFLEET_H
