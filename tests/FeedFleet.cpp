//===- FeedFleet.cpp ------------------------------------------------------===//
#include "FeedFleet.h"

#include <algorithm>

namespace shallot::test {

namespace {

/// Time after its wait at which a store call without a reply is given up.
constexpr Duration StoreTimeout = Millis(600);
constexpr Duration ComparePeriod = Millis(200);
constexpr Duration TrialTick = Millis(100);
constexpr Duration LargeFleetTreePeriod = Millis(100);

bool every(std::uint64_t Steps, Duration Step, Duration Period) {
  return Steps % static_cast<std::uint64_t>(Period / Step) == 0;
}

} // namespace

FeedFleet::FeedFleet(std::size_t Count, std::size_t Regions, std::uint64_t Seed)
    : Rng(Seed), Bag(Count, Seed, frontMembershipOptions()), Nodes(Count) {
  Bag.Regions = Regions;
  Bag.Capacity = [](std::size_t N) {
    return static_cast<std::uint32_t>(100'000 - N);
  };
  Now = Bag.Now;
  if (gossips())
    Bag.startMet();
  for (std::size_t N = 0; N < Count; ++N) {
    Member M = Bag.member(N);
    ByHost[M.Id.Host] = N;
    Shown.Members.push_back(M);
    for (std::size_t K = 0; K < Kinds; ++K)
      Nodes[N].Objects.push_back({FeedSources(M.Id.Host, M.Reg)});
    for (KindState &K : Nodes[N].Objects) {
      K.Read = Written;
      K.HeardAt = K.LastRelayed = Now;
      K.Began = Now + fromMillisF(uniform01(Rng) * 1500);
    }
  }
  std::ranges::sort(Shown.Members, {}, &Member::Id);
  Shown.Number = 1;
  Store = [](std::size_t) { return StoreSays::Answers; };
}

void FeedFleet::run(Duration For) {
  for (Instant End = Now + For; Now < End; ++Steps) {
    Now += Step;
    if (gossips())
      Bag.run(Step);
    updateTrees();
    for (std::size_t N = 0; N < Nodes.size(); ++N)
      stepNode(N);
  }
}

void FeedFleet::write() { ++Written; }

std::size_t FeedFleet::behind() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Nodes, [&](const Node &N) {
        return std::ranges::any_of(
            N.Objects, [&](const KindState &K) { return K.Read < Written; });
      }));
}

Duration FeedFleet::untilRead(Duration Limit) {
  Instant Start = Now;
  while (behind() != 0 && Now - Start < Limit)
    run(Step);
  return Now - Start;
}

Duration FeedFleet::oldestData() const {
  Duration Oldest{};
  for (const Node &N : Nodes)
    for (const KindState &K : N.Objects)
      Oldest = std::max(Oldest, Now - K.HeardAt);
  return Oldest;
}

std::vector<std::size_t> FeedFleet::watchers(std::size_t Region) const {
  std::vector<std::size_t> Found;
  for (std::size_t N = Region; N < Nodes.size(); N += Bag.Regions)
    if (Nodes[N].Tree.IsWatcher)
      Found.push_back(N);
  return Found;
}

bool FeedFleet::ledByReader(std::size_t Region) const {
  bool SomeCan = false;
  for (std::size_t N = Region; N < Nodes.size(); N += Bag.Regions) {
    bool Can = Store(N) == StoreSays::Answers;
    SomeCan = SomeCan || Can;
    if (Can && Nodes[N].Tree.IsWatcher)
      return true;
  }
  return !SomeCan;
}

void FeedFleet::updateTrees() {
  while (!News.empty() && News.begin()->first <= Now) {
    auto [N, Access] = News.begin()->second;
    News.erase(News.begin());
    auto At = std::ranges::lower_bound(Shown.Members, Bag.member(N).Id, {},
                                       &Member::Id);
    At->Store = Access;
    ++Shown.Number;
  }
  bool Due = gossips() || every(Steps, Step, LargeFleetTreePeriod);
  for (std::size_t N = 0; Due && N < Nodes.size(); ++N) {
    const FleetView &View = gossips() ? Bag.at(N).view() : Shown;
    if (View.Number == Nodes[N].ViewNumber)
      continue;
    Nodes[N].ViewNumber = View.Number;
    Member Self = Bag.member(N);
    if (gossips() ||
        std::ranges::lower_bound(View.Members, Self.Id, {}, &Member::Id)
                ->Store == Nodes[N].Announced) {
      setTree(N, FeedTree::of(View, Self.Id.Host, Self.Reg));
      continue;
    }
    FleetView Own = View;
    std::ranges::lower_bound(Own.Members, Self.Id, {}, &Member::Id)->Store =
        Nodes[N].Announced;
    setTree(N, FeedTree::of(Own, Self.Id.Host, Self.Reg));
  }
}

void FeedFleet::setTree(std::size_t N, const FeedTree &T) {
  Node &D = Nodes[N];
  D.Tree = T;
  for (KindState &K : D.Objects) {
    K.Sources.update(T);
    if (K.Sources.lost(K.Source))
      beginCall(N, K);
  }
  D.Trials.setTree(T, Rng, Now);
  announce(N);
}

void FeedFleet::announce(std::size_t N) {
  Node &D = Nodes[N];
  if (D.Trials.access() == D.Announced)
    return;
  D.Announced = D.Trials.access();
  ++Announcements;
  if (gossips()) {
    Bag.change(N, [&](Membership &M) {
      return M.setSelfStoreAccess(D.Announced, D.Tree.Informed, Now);
    });
    return;
  }
  D.ViewNumber = 0; // It sees its own change at once.
  News.emplace(Now + NewsDelay, std::pair(N, D.Announced));
}

void FeedFleet::stepNode(std::size_t N) {
  for (KindState &K : Nodes[N].Objects)
    stepKind(N, K);
  stepTrial(N);
  if (gossips() && every(Steps + N, Step, ComparePeriod))
    compareWithPeers(N);
  announce(N);
}

void FeedFleet::stepTrial(std::size_t N) {
  Node &D = Nodes[N];
  StoreSays Says = Store(N);
  if (D.TrialOpen) {
    D.TrialHung = D.TrialHung || Says == StoreSays::Silent;
    bool Ended = Now >= D.TrialBegan + OneWay * 2;
    bool TimedOut = Now >= D.TrialBegan + TrialTimeout;
    if (D.TrialHung ? TimedOut : Ended) {
      D.TrialOpen = false;
      bool Ok = !D.TrialHung && Says == StoreSays::Answers;
      if (Ok)
        D.Trials.trialAnswered(Now);
      else
        D.Trials.trialFailed(Rng, Now);
      if (Ok)
        renewHanging(N, Now - D.TrialBegan);
    }
  }
  if (every(Steps + N, Step, TrialTick))
    tickTrials(N);
  if (!D.Trials.due(Now))
    return;
  D.Trials.started(Now);
  D.TrialOpen = true;
  D.TrialHung = false;
  D.TrialBegan = Now;
  ++StoreCalls;
  Callers.insert(N);
}

void FeedFleet::renewHanging(std::size_t N, Duration Took) {
  bool Behind = std::exchange(Nodes[N].BehindPeers, false);
  for (KindState &K : Nodes[N].Objects)
    if (K.Source.direct() &&
        (Behind || !K.Open || overdue(K, Took * TrialPatienceFactor)))
      beginCall(N, K);
}

bool FeedFleet::overdue(const KindState &K, Duration Patience) const {
  return K.Open && K.Source.direct() && Now - K.Began > K.CallWait + Patience;
}

void FeedFleet::tickTrials(std::size_t N) {
  Node &D = Nodes[N];
  for (const KindState &K : D.Objects)
    if (overdue(K, OverduePatience))
      D.Trials.suspect(Now);
  D.Trials.tick(Rng, Now);
}

void FeedFleet::stepKind(std::size_t N, KindState &K) {
  if (!K.Open) {
    if (Now >= K.Began)
      beginCall(N, K);
    return;
  }
  if (K.Source.direct())
    stepStoreCall(N, K);
  else
    stepPeerCall(N, K, static_cast<std::size_t>(&K - Nodes[N].Objects.data()));
}

void FeedFleet::beginCall(std::size_t N, KindState &K) {
  bool WasDirect = K.Source.direct();
  K.Source = K.Sources.next(Now);
  K.Open = true;
  K.Hung = false;
  K.Began = Now;
  if (!K.Source.direct()) {
    K.CallWait = K.Sources.watchesStore() ? WatcherPeerWait : PeerWait;
    return;
  }
  bool AtOnce = !WasDirect && K.Sources.tookOver();
  K.CallWait = AtOnce ? Duration(0) : StoreWatchWait;
  ++StoreCalls;
  Callers.insert(N);
}

void FeedFleet::stepStoreCall(std::size_t N, KindState &K) {
  StoreSays Says = Store(N);
  K.Hung = K.Hung || Says == StoreSays::Silent;
  if (K.Hung) {
    if (Now >= K.Began + K.CallWait + StoreTimeout)
      finish(N, K, false);
    return;
  }
  if (Now < K.Began + OneWay * 2)
    return;
  if (Says == StoreSays::TurnsAway)
    return finish(N, K, false);
  if (K.Read == Written && Now < K.Began + K.CallWait)
    return;
  K.Read = Written;
  K.HeardAt = Now;
  finish(N, K, true);
}

void FeedFleet::stepPeerCall(std::size_t N, KindState &K, std::size_t Index) {
  KindState &P = Nodes[indexOf(K.Source.Peer->Id.Host)].Objects[Index];
  if (Now < K.Began + OneWay * 2)
    return;
  bool Renewing = P.Open && P.Source.direct() && P.CallWait == Duration(0) &&
                  Now < P.Began + TrialPatience;
  bool Stale = Now - P.HeardAt > MaxFeedAge && !Renewing;
  bool Newer = K.Sources.relays() && P.HeardAt >= K.HeardAt + Millis(200);
  bool Expired = Now >= K.Began + K.CallWait;
  if (P.Read <= K.Read && !Stale && !Newer && !Expired)
    return;
  bool Changed = P.Read > K.Read;
  K.Read = std::max(K.Read, P.Read);
  K.HeardAt = std::max(K.HeardAt, P.HeardAt);
  if (Stale && !Changed)
    return finish(N, K, false);
  if (Stale)
    K.Sources.recordFailure(K.Source, Rng, Now);
  finish(N, K, true);
}

void FeedFleet::finish(std::size_t N, KindState &K, bool Ok) {
  K.Open = false;
  if (K.Source.direct()) {
    if (Ok)
      Nodes[N].Trials.answered(Now);
    else
      Nodes[N].Trials.failed(K.Began, Rng, Now);
  }
  if (Ok) {
    K.Sources.recordSuccess(K.Source);
    K.Wait.reset();
    K.Began = Now;
  } else {
    K.Sources.recordFailure(K.Source, Rng, Now);
    K.Began = Now + K.Wait.next(Rng);
  }
}

void FeedFleet::compareWithPeers(std::size_t N) {
  Node &D = Nodes[N];
  std::uint64_t Mine = Written;
  for (const KindState &K : D.Objects)
    Mine = std::min(Mine, K.Read);
  Bag.change(N, [&](Membership &M) {
    M.setConfig(Mine, 0);
    return MembershipOutput();
  });
  std::uint64_t Most = 0;
  std::vector<const PeerConfig *> Ahead;
  std::vector<PeerConfig> Peers = Bag.at(N).peerConfigs();
  for (const PeerConfig &P : Peers) {
    Most = std::max(Most, P.Generation);
    if (P.Generation > Mine)
      Ahead.push_back(&P);
  }
  if (D.Hanging.shouldSwitch(Most > std::max(Mine, D.Suspected), false, Now)) {
    D.Suspected = Most;
    D.BehindPeers = true;
    D.Trials.suspect(Now);
  }
  for (KindState &K : D.Objects) {
    bool Progressing = K.Read != std::exchange(K.PreviousRead, K.Read);
    if (!K.Behind.shouldSwitch(Most > std::max(K.Read, K.Requested),
                               Progressing, Now))
      continue;
    K.Requested = Most;
    const PeerConfig *P = Ahead[below(Rng, Ahead.size())];
    const auto &All = Bag.at(N).view().Members;
    auto At = std::ranges::lower_bound(All, P->Who, {}, &Member::Id);
    if (At == All.end() || At->Id != P->Who)
      continue;
    K.Sources.prefer(*At);
    beginCall(N, K);
  }
}

} // namespace shallot::test
