//===- StoreTrials.cpp ----------------------------------------------------===//
#include "front/StoreTrials.h"

#include <algorithm>
#include <utility>

namespace shallot {

void StoreTrials::setTree(const FeedTree &T, Random &Rng, Instant Now) {
  bool SameSearch = Region.Searching == T.Access.Searching &&
                    Region.OtherRegionReads == T.Access.OtherRegionReads;
  bool WasSearching = Region.Searching;
  Region = T.Access;
  IsWatcher = T.IsWatcher;
  if (Region.Refused != 0)
    CalmSince.reset();
  else if (!CalmSince)
    CalmSince = Now;
  if (Access == StoreAccess::Refused && ReadsSince && Region.Readers == 0)
    Access = StoreAccess::Reads;
  if (SameSearch || FailedAt || TrialSince)
    return;
  if (Access == StoreAccess::Untried && Region.Searching)
    TrialAt = Now + searchDelay();
  else if (Access == StoreAccess::Untried && WasSearching)
    TrialAt.reset();
  else if (Access == StoreAccess::Refused && Region.Searching && TrialAt)
    TrialAt = std::min(
        *TrialAt, Now + fromMillisF(uniform01(Rng) * toMillisF(retryDelay())));
}

/// Delay of the first trial of this daemon in a search.
Duration StoreTrials::searchDelay() const {
  bool InRegion = Region.OtherRegionReads;
  std::size_t Place = Region.SearchPlace;
  std::size_t InGroups = InRegion ? RegionSearchSize : FleetSearchSize;
  Duration Delay = InRegion ? RegionSearchDelay : Duration(0);
  std::size_t GroupSize = 2;
  for (std::size_t End = GroupSize; End <= InGroups; End += GroupSize) {
    if (Place < End)
      return Delay;
    Delay += SearchStep;
    GroupSize *= 2;
  }
  double Rate = InRegion ? RegionTrialsPerSecond : FleetTrialsPerSecond;
  return Delay + fromMillisF(double(Place - InGroups + 1) * 1000 / Rate);
}

void StoreTrials::answered(Instant Now) {
  if (std::exchange(FailedAt, std::nullopt))
    TrialAt.reset();
  if (Access == StoreAccess::Refused)
    return readsAgain(Now);
  // Nobody needs to know while all can read.
  if (Region.Refused != 0 && (IsWatcher || Region.Searching))
    Access = StoreAccess::Reads;
}

/// Becomes a reader at once if the region has none. Otherwise the reader keeps
/// its place until this daemon has read for ReturnDelay.
void StoreTrials::readsAgain(Instant Now) {
  if (Region.Readers != 0 && !Region.OutranksReaders) {
    Access = StoreAccess::Untried;
    TrialAt.reset();
    return;
  }
  if (!ReadsSince)
    ReadsSince = Now;
  if (Region.Readers != 0 && Now < *ReadsSince + ReturnDelay) {
    TrialAt = *ReadsSince + ReturnDelay;
    return;
  }
  ReadsSince.reset();
  TrialAt.reset();
  ReturnedAt = Now;
  Access = StoreAccess::Reads;
}

void StoreTrials::failed(Instant Began, Random &Rng, Instant Now) {
  if (Access == StoreAccess::Refused)
    return;
  if (FailedAt && Began >= *FailedAt)
    return becomeRefused(Rng, Now);
  if (FailedAt)
    return;
  FailedAt = Now;
  TrialAt = Now + ConfirmDelay;
}

bool StoreTrials::suspect(Instant Now) {
  bool Lately = SuspectedAt && Now < *SuspectedAt + SuspectInterval;
  if (!IsWatcher || Access == StoreAccess::Refused || TrialAt || TrialSince ||
      Lately)
    return false;
  SuspectedAt = Now;
  TrialAt = Now;
  return true;
}

bool StoreTrials::due(Instant Now) const {
  return TrialAt && Now >= *TrialAt && !TrialSince;
}

void StoreTrials::started(Instant Now) {
  TrialAt.reset();
  TrialSince = Now;
  CountedAsFailed = false;
}

void StoreTrials::took(Duration Took) {
  Patience =
      std::clamp(Took * TrialPatienceFactor, TrialPatience, TrialTimeout);
}

void StoreTrials::trialAnswered(Instant Now) {
  took(Now - *TrialSince);
  TrialSince.reset();
  answered(Now);
}

void StoreTrials::trialFailed(Random &Rng, Instant Now) {
  TrialSince.reset();
  if (!std::exchange(CountedAsFailed, false))
    becomeRefused(Rng, Now);
}

void StoreTrials::tick(Random &Rng, Instant Now) {
  if (TrialSince && !CountedAsFailed && Now >= *TrialSince + Patience) {
    CountedAsFailed = true;
    becomeRefused(Rng, Now);
  }
  if (Access == StoreAccess::Reads && CalmSince &&
      Now >= *CalmSince + CalmDelay)
    Access = StoreAccess::Untried;
}

void StoreTrials::becomeRefused(Random &Rng, Instant Now) {
  if (Access != StoreAccess::Refused) {
    bool Soon = ReturnedAt && Now < *ReturnedAt + MaxReturnDelay;
    ReturnDelay =
        Soon ? std::min(ReturnDelay * 2, MaxReturnDelay) : MinReturnDelay;
  }
  Access = StoreAccess::Refused;
  FailedAt.reset();
  ReadsSince.reset();
  scheduleRetry(Rng, Now);
}

/// The interval grows with the number of refused daemons, so that the rate of
/// all of them together does not.
Duration StoreTrials::retryDelay() const {
  double Rate =
      Region.Readers != 0 ? RetriesPerSecondWhileRead : RetriesPerSecond;
  return std::max(MinRetryDelay,
                  fromMillisF(double(Region.Sharing) * 1000 / Rate));
}

void StoreTrials::scheduleRetry(Random &Rng, Instant Now) {
  TrialAt = Now + fromMillisF(toMillisF(retryDelay()) * (0.5 + uniform01(Rng)));
}

} // namespace shallot
