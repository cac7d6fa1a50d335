//===- StoreTrials.h - When a daemon tests its access to the store -*- C++ -*-//
//
// The store may turn away some hosts, or be cut off from them, and answer
// others. Each daemon judges its own calls and announces the result
// (StoreAccess); FeedTree derives from all results who watches the store for a
// region. This class decides what a daemon announces and when it makes a trial:
// a short call to the store whose only purpose is the evidence.
//
//   - A failed call is confirmed: by the next call, or by a trial. A watch call
//     that is overdue, or a peer that has read more, causes a trial too.
//   - While the watcher of a region is refused and nobody reads in its place,
//     daemons that are untried make one trial each, in groups that double and
//     then at a bounded rate: those of the region while another region reads,
//     otherwise those of the fleet, one search for all regions.
//   - A refused daemon makes a trial from time to time. The interval grows with
//     the number of daemons that do, so that the rate of all together does not.
//   - A daemon that can read again while another reads for the region stays
//     refused for a while that doubles when it is refused again soon.
//
// In a fleet whose calls succeed it makes no calls and announces nothing.
//
//   StoreTrials T;
//   T.setTree(Tree, Rng, Now);
//   if (T.due(Now))
//     T.started(Now), callTheStore();
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_STORETRIALS_H
#define SHALLOTSHIFT_FRONT_STORETRIALS_H

#include "front/FeedTree.h"

#include <optional>

namespace shallot {

/// A trial that is not answered within this time counts as failed. The store
/// answers short calls in milliseconds.
inline constexpr Duration TrialPatience = Millis(400);
/// It is longer for a store that has been slower than a quarter of it.
/// A later answer up to this time after the start still counts as one.
inline constexpr int TrialPatienceFactor = 4;
inline constexpr Duration TrialTimeout = Millis(1500);
/// Time from a failed call to its trial: shorter than the backoff of the watch,
/// whose next call then goes to a source that can read.
inline constexpr Duration ConfirmDelay = Millis(50);
/// Interval between the groups of a search, of 2, 4, 8 and 16 daemons: a trial
/// and the news of it.
inline constexpr Duration SearchStep = Millis(100);
/// Time from the start of a search of a region that another region feeds. When
/// the store is down for all, the others find out within it.
inline constexpr Duration RegionSearchDelay = Millis(50);
/// Rates of further first trials: in a region that another one feeds, and in a
/// fleet where nobody reads.
inline constexpr double RegionTrialsPerSecond = 2;
inline constexpr double FleetTrialsPerSecond = 6;
/// The same for all repeated trials.
inline constexpr double RetriesPerSecond = 2;
/// In a region where another daemon reads.
inline constexpr double RetriesPerSecondWhileRead = 0.5;
inline constexpr Duration MinRetryDelay = Millis(900);
/// Minimum interval between trials because of signs that calls hang.
inline constexpr Duration SuspectInterval = Millis(1500);
/// How long a daemon must read again before it takes over from another one.
inline constexpr Duration MinReturnDelay = Seconds(2);
inline constexpr Duration MaxReturnDelay = Seconds(30);
/// A region without refused daemons for this long forgets who read.
inline constexpr Duration CalmDelay = Seconds(10);

class StoreTrials {
public:
  /// Call after each change of the fleet's view. \p T is the place of this
  /// daemon in it.
  void setTree(const FeedTree &T, Random &Rng, Instant Now);
  /// A call to the store was answered, other than a trial.
  void answered(Instant Now);
  /// The store took \p Took for an answer that had nothing to wait for.
  void took(Duration Took);
  /// Time after which an answer is overdue.
  Duration patience() const { return Patience; }
  /// A call to the store that began at \p Began has failed.
  void failed(Instant Began, Random &Rng, Instant Now);
  /// There is a sign that the open calls to the store hang. Returns whether a
  /// trial will be made of it: only by a daemon that watches the store, and not
  /// twice within SuspectInterval.
  bool suspect(Instant Now);
  /// True when a trial should be made now.
  bool due(Instant Now) const;
  /// When a trial will be due; nothing if none is planned.
  std::optional<Instant> nextAt() const { return TrialAt; }
  void started(Instant Now);
  void trialAnswered(Instant Now);
  void trialFailed(Random &Rng, Instant Now);
  /// Call a few times per second: ends the patience with an open trial.
  void tick(Random &Rng, Instant Now);
  /// What this daemon announces.
  StoreAccess access() const { return Access; }

private:
  void becomeRefused(Random &Rng, Instant Now);
  void readsAgain(Instant Now);
  void scheduleRetry(Random &Rng, Instant Now);
  Duration retryDelay() const;
  Duration searchDelay() const;

  StoreAccess Access = StoreAccess::Untried;
  RegionAccess Region;
  bool IsWatcher = false;
  std::optional<Instant> FailedAt;    ///< A failure to be confirmed.
  std::optional<Instant> SuspectedAt; ///< The latest sign that calls hang.
  std::optional<Instant> TrialAt;     ///< The next trial.
  std::optional<Instant> TrialSince;  ///< Start of the open trial.
  bool CountedAsFailed = false;       ///< The open trial.
  std::optional<Instant> ReadsSince;  ///< Reads again, but stays refused.
  std::optional<Instant> ReturnedAt;  ///< The latest time it took over again.
  std::optional<Instant> CalmSince;
  Duration ReturnDelay = MinReturnDelay;
  Duration Patience = TrialPatience;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_STORETRIALS_H
