//===- ServingFeed.h - Delivers store objects to the daemon -----*- C++ -*-===//
//
// Watches the configuration, the registrations of replicas, the evacuations of
// zones and the quarantine records of requests that crash replicas, in the
// store or through a peer. Applies them to a FrontDaemon (StoreObjectApplier.h)
// and serves them to peers.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_SERVINGFEED_H
#define SHALLOTSHIFT_FRONT_SERVINGFEED_H

#include "front/FeedServer.h"
#include "front/FeedTiming.h"
#include "front/RendezvousLink.h"
#include "front/StoreAccessLink.h"
#include "front/StoreObjectApplier.h"
#include "front/WatchedKind.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/store.h"

#include <algorithm>
#include <string>

namespace shallot {

template <typename Store>
requires CallableStore<Store> && KindWriter<Store>
class ServingFeed {
public:
  ServingFeed(EventLoop &Loop, HttpClient &Http, Store &S, FrontDaemon &D,
              StoreSchema F)
      : Loop(Loop), D(D), Schema(std::move(F)), Entries(Loop, D, Schema),
        Configs(Loop, Http, S, D, Schema.ConfigKind, "config",
                configWatchOptions(), configHooks()),
        Replicas(Loop, Http, S, D, Schema.ReplicaKind, "replicas",
                 replicaWatchOptions(), replicaHooks()),
        Records(Loop, Http, S, D, Schema.QuarantineKind, "quarantine",
                recordWatchOptions(), recordHooks()),
        Evacuations(Loop, Http, S, D, Schema.EvacuationKind, "evacuations",
                    evacuationWatchOptions(), evacuationHooks()),
        Sync(Loop, S, Schema.QuarantineKind, D.quarantine().table(),
             D.random()),
        Meeting(Loop, S, D, Schema.RendezvousKind),
        Access(Loop, S, D, Schema.ConfigKind,
               [this](Duration Took) { renewHanging(Took); }),
        Server(
            D.timers(), [this](const std::string &Kind) { return view(Kind); },
            [this](const std::string &Kind) { return age(Kind); },
            [this](const std::string &Kind) { return renewing(Kind); }) {
    Kinds = {{&Configs, Schema.ConfigKind},
             {&Replicas, Schema.ReplicaKind},
             {&Records, Schema.QuarantineKind}};
    if (!Schema.EvacuationKind.empty())
      Kinds.push_back({&Evacuations, Schema.EvacuationKind});
    for (const NamedKind &K : Kinds)
      K.Objects->onStoreCall(
          [this](const StoreCallResult &R) { Access.record(R); });
  }

  void start() {
    D.onFleetChanged([this] { fleetChanged(); });
    D.servePeers([this](const ServerRequest &R, const Responder &A) {
      Server.handle(R, A);
    });
    D.quarantine().connect(
        [this](const RequestFingerprint &R, QuarantineGate::TrialCallback Fn) {
          Sync.requestTrial(R, std::move(Fn));
        },
        [this] { Sync.pump(); });
    tick();
    Loop.after(FirstPeersTimeout, [this] { startOnce(); });
  }

private:
  using Kind = WatchedKind<Store>;

  struct NamedKind {
    Kind *Objects = nullptr;
    std::string Name; ///< Kind name in the store.
  };

  void startOnce() {
    if (std::exchange(Started, true))
      return;
    for (const NamedKind &K : Kinds)
      K.Objects->watch().start();
  }

  FeedView view(const std::string &Name) const {
    for (const NamedKind &K : Kinds)
      if (Name == K.Name)
        return {&K.Objects->watch().cache(), K.Objects->watch().listed()};
    return {};
  }

  bool renewing(const std::string &Name) const {
    return std::ranges::any_of(Kinds, [&](const NamedKind &K) {
      return K.Name == Name && K.Objects->renewing();
    });
  }

  /// The watch calls for quarantine records and evacuations wait long; replies
  /// of the store to the other two watches prove freshness as well.
  Duration age(const std::string &Name) const {
    Instant Config = Configs.watch().heardAt();
    Instant Replica = Replicas.watch().heardAt();
    if (Name == Schema.ConfigKind)
      return Loop.now() - Config;
    if (Name == Schema.ReplicaKind)
      return Loop.now() - Replica;
    const Kind &Other = Name == Schema.EvacuationKind ? Evacuations : Records;
    return Loop.now() -
           std::max(Other.watch().heardAt(), std::min(Config, Replica));
  }

  void tick() {
    contain("feed", {}, [this] { advance(); });
    Loop.after(FeedTick, [this] { tick(); });
  }

  void advance() {
    Server.tick();
    Meeting.tick();
    if (!AllListed)
      updateViewComplete();
    D.fleet().announce(readRevisions());
    if (Started)
      testAccess();
    if (++Ticks % CompareEvery == 0)
      compareWithPeers();
    if (Ticks % SyncEvery == 0)
      Sync.tick(Loop.wallTime(), Records.sources().watchesStore());
  }

  void testAccess() {
    if (Configs.overdue(OverduePatience) || Replicas.overdue(OverduePatience))
      Access.suspect();
    Access.tick();
  }

  /// The store answers, but calls to it that are open may not be answered.
  void renewHanging(Duration Took) {
    bool Behind = std::exchange(BehindPeers, false);
    bool Renewed = Configs.renewIfHanging(Took, Behind);
    Renewed = Replicas.renewIfHanging(Took, Behind) || Renewed;
    if (Renewed)
      renewSilentLongPolls();
  }

  /// A watcher that is behind its peers may have been cut off silently.
  void suspectIfBehind(const ReadRevisions &Mine, const ReadRevisions &Most) {
    bool Behind = Most.ConfigVersion >
                      std::max(Mine.ConfigVersion, Suspected.ConfigVersion) ||
                  Most.Replicas > std::max(Mine.Replicas, Suspected.Replicas);
    bool Progressing = Mine != std::exchange(PreviousRead, Mine);
    if (!Hanging.shouldSwitch(Behind, Progressing, Loop.now()))
      return;
    Suspected = Most;
    BehindPeers = true;
    Access.suspect();
  }

  void updateViewComplete() {
    AllListed = true;
    bool Complete = D.fleet().viewComplete(Loop.now());
    for (const NamedKind &K : Kinds) {
      K.Objects->sources().setViewComplete(Complete);
      AllListed = AllListed && K.Objects->watch().listed();
    }
  }

  ReadRevisions readRevisions() const {
    return {D.configVersion(), Replicas.watch().cache().lastChange(),
            Records.watch().cache().lastChange(),
            Evacuations.watch().cache().lastChange()};
  }

  void compareWithPeers() {
    ReadRevisions Mine = readRevisions();
    // Before the configuration has been listed, this daemon is not considered
    // behind.
    ReadRevisions Most = Configs.watch().listed()
                             ? D.fleet().newestPeerRevisions()
                             : ReadRevisions();
    suspectIfBehind(Mine, Most);
    Duration Period = FeedTick * CompareEvery;
    RevisionOf Version = [](const ReadRevisions &R) {
      return StoreRevision(0, R.ConfigVersion);
    };
    // Callers are not to be served by a configuration that the fleet has left.
    if (!D.announced())
      Configs.switchAtOnceIfBehind(Mine, Most, Version);
    Configs.switchIfBehind(Mine, Most, Version, AheadBy::WriterVersion, Period);
    auto Compare = [&](Kind &K, RevisionOf Of) {
      K.switchIfBehind(Mine, Most, Of, AheadBy::StoreRevision, Period);
    };
    Compare(Replicas, [](const ReadRevisions &R) { return R.Replicas; });
    Compare(Records, [](const ReadRevisions &R) { return R.Quarantine; });
    if (!Schema.EvacuationKind.empty())
      Compare(Evacuations,
              [](const ReadRevisions &R) { return R.Evacuations; });
  }

  /// Other watches may wait seconds for changes after a revision that the store
  /// no longer has.
  void restored(const char *Watch, const RestoreReport &R) {
    reportRestore(D.metrics(), Watch, R);
    Loop.post([this, Epoch = R.Listed.Epoch] {
      for (const NamedKind &K : Kinds)
        K.Objects->onRestored(Epoch);
    });
  }

  void fleetChanged() {
    if (!Started && D.view().Members.size() > 1)
      Loop.after(PeerSettleTime, [this] { startOnce(); });
    FeedTree Tree =
        FeedTree::of(D.view(), D.settings().Host, D.settings().Here.Reg);
    for (const NamedKind &K : Kinds)
      K.Objects->fleetChanged(Tree);
    Access.setTree(Tree);
    Sync.setMembers(D.view().Members.size());
  }

  /// Interval at which pending requests of peers are checked.
  static constexpr Duration FeedTick = Millis(100);
  /// Ticks between comparisons with the peers; each copies the revisions of
  /// every member.
  static constexpr unsigned CompareEvery = 2;
  static constexpr unsigned SyncEvery = QuarantineSyncInterval / FeedTick;

  /// \p Watch names the kind in logs and metrics.
  void reportRestores(KindWatchHooks &H, const char *Watch) {
    H.Restored = [this, Watch](const RestoreReport &R) { restored(Watch, R); };
    H.Outdated = [Watch](StoreRevision Listed, StoreRevision Read) {
      reportOutdatedList(Watch, Listed, Read);
    };
  }

  KindWatchHooks configHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      for (const KindObject &O : Now)
        Entries.applyConfig(O);
    };
    H.Changed = [this](const KindChange &C) {
      if (!C.Removed)
        Entries.applyConfig(C.Object);
    };
    H.Away = [this](const Error &Why) {
      logStoreLost("config", Why);
      Replicas.renewIfSilent();
      renewSilentLongPolls();
    };
    H.Back = [this] {
      logStoreRegained("config");
      renewFailedWatches();
    };
    reportRestores(H, "config");
    H.Outlives = [this](const KindObject &Held, const KindObject *Stored) {
      return Entries.configOutlives(Held, Stored);
    };
    H.Advanced = [this] { Server.advanced(Schema.ConfigKind); };
    return H;
  }

  KindWatchHooks replicaHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      Entries.applyReplicaList(Now, Replicas.watch().revision(),
                               Replicas.watch().changedSince());
    };
    H.Changed = [this](const KindChange &C) {
      Entries.applyReplica(C, Replicas.watch().changedSince());
    };
    H.Away = [this](const Error &Why) {
      logStoreLost("replicas", Why);
      D.replicas().storeLost();
      renewSilentLongPolls();
    };
    H.Back = [this] {
      logStoreRegained("replicas");
      D.replicas().storeRecovered(Loop.now(), Replicas.storeWasDown());
      renewFailedWatches();
    };
    reportRestores(H, "replicas");
    H.Outlives = [this](const KindObject &Held, const KindObject *Stored) {
      return Entries.replicaOutlives(Held, Stored);
    };
    H.Advanced = [this] { Server.advanced(Schema.ReplicaKind); };
    return H;
  }

  KindWatchHooks recordHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      applyRecordList(Now);
    };
    H.Changed = [this](const KindChange &C) { applyRecord(C); };
    H.Away = [](const Error &Why) { logStoreLost("quarantine", Why); };
    H.Back = [this] {
      logStoreRegained("quarantine");
      Sync.pump();
    };
    reportRestores(H, "quarantine");
    H.Withheld = [this](const KindObject &O) {
      if (auto R = QuarantineSync<Store, EventLoop>::readShared(O))
        D.quarantine().table().putRemoved(std::move(*R));
    };
    H.Advanced = [this] { Server.advanced(Schema.QuarantineKind); };
    return H;
  }

  KindWatchHooks evacuationHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      Entries.applyEvacuationList(Now, Evacuations.watch().revision());
    };
    H.Changed = [this](const KindChange &C) { Entries.applyEvacuation(C); };
    H.Away = [](const Error &Why) { logStoreLost("evacuations", Why); };
    H.Back = [] { logStoreRegained("evacuations"); };
    reportRestores(H, "evacuations");
    H.Advanced = [this] { Server.advanced(Schema.EvacuationKind); };
    return H;
  }

  /// Renews watches with long-waiting calls, which may hang on the connection
  /// that another watch has just lost.
  void renewSilentLongPolls() {
    Records.renewIfSilent();
    if (!Schema.EvacuationKind.empty())
      Evacuations.renewIfSilent();
  }

  /// Renews watches that failed: their own next attempt may be seconds away.
  void renewFailedWatches() {
    for (Kind *K : {&Records, &Evacuations})
      if (!K->watch().storeAnswers())
        K->watch().renew();
  }

  void applyRecordList(const std::vector<KindObject> &Now) {
    std::vector<SharedRecord> All;
    for (const KindObject &O : Now)
      if (auto R = QuarantineSync<Store, EventLoop>::readShared(O))
        All.push_back(std::move(*R));
    logEvent(LogLevel::Info, "quarantine_listed",
             {{"count", std::to_string(All.size())},
              {"revision", Records.watch().revision().str()}});
    D.quarantine().table().replaceAll(All, Records.watch().revision());
    Sync.pump();
  }

  void applyRecord(const KindChange &C) {
    Quarantine &Table = D.quarantine().table();
    auto Name =
        attempt([&] { return RequestFingerprint::parse(C.Object.Name); });
    if (Name && C.Removed)
      Table.remove(*Name, C.Object.Revision);
    if (!C.Removed)
      if (auto R = QuarantineSync<Store, EventLoop>::readShared(C.Object))
        Table.put(std::move(*R));
    if (Name)
      logEvent(LogLevel::Info, "quarantine_record",
               {{"fingerprint", Name->str()},
                {"standing", std::string(quarantineStateName(
                                 Table.quarantineState(*Name)))},
                {"revision", C.Object.Revision.str()}});
  }

  static void logStoreLost(std::string_view What, const Error &Why) {
    logEvent(LogLevel::Warn, "store_lost",
             {{"watch", std::string(What)},
              {"code", codeLabel(Why.Code)},
              {"why", Why.Detail}});
  }

  static void logStoreRegained(std::string_view What) {
    logEvent(LogLevel::Info, "store_regained", {{"watch", std::string(What)}});
  }

  EventLoop &Loop;
  FrontDaemon &D;
  StoreSchema Schema;
  StoreObjectApplier Entries;
  Kind Configs;
  Kind Replicas;
  Kind Records;
  Kind Evacuations; ///< Not started where zones are not evacuated.
  std::vector<NamedKind> Kinds;
  QuarantineSync<Store, EventLoop> Sync;
  RendezvousLink<Store> Meeting;
  StoreAccessLink<Store> Access;
  FeedServer Server;
  /// How long the watcher of a region may be behind its peers before it tests
  /// whether the store still answers it.
  CatchUp Hanging{HangingTimeout};
  ReadRevisions PreviousRead; ///< At the last comparison.
  ReadRevisions Suspected;    ///< Newest of the peers at the last suspicion.
  bool BehindPeers = false;   ///< Peers have read more; a trial tells why.
  bool Started = false;       ///< The watches have been started.
  bool AllListed = false;     ///< Every kind has been read once.
  unsigned Ticks = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_SERVINGFEED_H
