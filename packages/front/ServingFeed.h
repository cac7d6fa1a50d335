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
#include "front/StoreObjectApplier.h"
#include "front/WatchedKind.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/store.h"

#include <string>

namespace shallot {

/// How long the store holds a watch call without a change. The age of the data
/// that other daemons rely on (MaxFeedAge) depends on it. A silent connection
/// is detected after this time plus the timeout of the call; the other watches
/// are then renewed too. Each call costs money: the two watches with this wait
/// make 1.3 calls per second in each region.
inline constexpr Duration StoreWatchWait = Millis(1500);

/// Changes within this interval are fetched together. Replicas register
/// individually and update their warm-up time, and each change would otherwise
/// be one call to the store from every region. A leaving replica must receive
/// nothing after 3 s, and each of the three levels of the relay tree may add
/// this delay.
inline constexpr Duration ReplicaBatchDelay = Millis(150);
/// Shorter than for replicas: configuration changes are rare, and a caller may
/// already depend on the new configuration.
inline constexpr Duration ConfigBatchDelay = Millis(30);

/// A daemon that has just started waits this long for a peer before it calls
/// the store. The daemons of a fleet that starts as a whole discover each other
/// within this time, so the store is called once per region instead of once per
/// daemon.
inline constexpr Duration FirstPeersTimeout = Millis(250);
/// Delay from the first message of a peer to the choice of a source, to let
/// replies from the other seeds arrive.
inline constexpr Duration PeerSettleTime = Millis(40);

/// Quarantine records are few and change seldom, and each call costs money, so
/// their watch waits longer. A silent connection is detected by the other
/// watches and through peers that are ahead.
inline constexpr Duration QuarantineWatchWait = Seconds(15);
inline constexpr Duration QuarantineFirstBackoff = Millis(600);
inline constexpr Duration QuarantineMaxBackoff = Seconds(4);

/// Evacuations are few, but one must take effect everywhere within seconds,
/// even if the connection of the watch has gone silent: the call is renewed
/// after this time.
inline constexpr Duration EvacuationWatchWait = Millis(2500);

/// After a restore of the store, an operator may need this long to order an
/// evacuation or its end again.
inline constexpr Duration OperatorRewriteTime = Seconds(10);

template <typename Store>
requires CallableStore<Store> && KindWriter<Store>
class ServingFeed {
public:
  ServingFeed(EventLoop &Loop, HttpClient &Http, Store &S, FrontDaemon &D,
              StoreSchema F)
      : Loop(Loop), D(D), Schema(std::move(F)), Entries(Loop, D, Schema),
        Configs(Loop, Http, S, D, Schema.ConfigKind, "config",
                options(ConfigBatchDelay), configHooks()),
        Replicas(Loop, Http, S, D, Schema.ReplicaKind, "replicas",
                 options(ReplicaBatchDelay), replicaHooks()),
        Records(Loop, Http, S, D, Schema.QuarantineKind, "quarantine",
                recordOptions(), recordHooks()),
        Evacuations(Loop, Http, S, D, Schema.EvacuationKind, "evacuations",
                    evacuationOptions(), evacuationHooks()),
        Sync(Loop, S, Schema.QuarantineKind, D.quarantine().table(),
             D.random()),
        Server(
            D.timers(), [this](const std::string &Kind) { return view(Kind); },
            [this](const std::string &Kind) { return age(Kind); }) {
    Kinds = {{&Configs, Schema.ConfigKind},
             {&Replicas, Schema.ReplicaKind},
             {&Records, Schema.QuarantineKind}};
    if (!Schema.EvacuationKind.empty())
      Kinds.push_back({&Evacuations, Schema.EvacuationKind});
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
    Server.tick();
    D.fleet().announce(readRevisions());
    if (++Ticks % CompareEvery == 0)
      compareWithPeers();
    if (Ticks % SyncEvery == 0)
      Sync.tick(Loop.wallTime(), Records.sources().watchesStore());
    Loop.after(FeedTick, [this] { tick(); });
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
  void restored(std::string_view What, StoreRevision Listed,
                StoreRevision Read) {
    logEvent(LogLevel::Warn, "store_restored",
             {{"watch", std::string(What)},
              {"listed", Listed.str()},
              {"read", Read.str()}});
    Loop.post([this, Epoch = Listed.Epoch] {
      for (const NamedKind &K : Kinds)
        K.Objects->onRestored(Epoch);
    });
  }

  void fleetChanged() {
    if (!Started && D.view().Members.size() > 1)
      Loop.after(PeerSettleTime, [this] { startOnce(); });
    for (const NamedKind &K : Kinds)
      K.Objects->fleetChanged();
    Sync.setMembers(D.view().Members.size());
  }

  /// Interval at which pending requests of peers are checked.
  static constexpr Duration FeedTick = Millis(100);
  /// Ticks between comparisons with the peers; each copies the revisions of
  /// every member.
  static constexpr unsigned CompareEvery = 2;
  static constexpr unsigned SyncEvery = QuarantineSyncInterval / FeedTick;

  static KindWatchOptions options(Duration Pause) {
    KindWatchOptions O;
    O.Wait = StoreWatchWait;
    O.Pause = Pause;
    return O;
  }

  static KindWatchOptions recordOptions() {
    KindWatchOptions O;
    O.Wait = QuarantineWatchWait;
    O.FirstBackoff = QuarantineFirstBackoff;
    O.MostBackoff = QuarantineMaxBackoff;
    // The quarantine table keeps them, and writes them again.
    O.Restore.KeepLost = Duration(0);
    return O;
  }

  static KindWatchOptions evacuationOptions() {
    KindWatchOptions O;
    O.Wait = EvacuationWatchWait;
    O.Restore = {OperatorRewriteTime, OperatorRewriteTime};
    return O;
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
    H.Outdated = [](StoreRevision Listed, StoreRevision Read) {
      logListOutdated("config", Listed, Read);
    };
    H.Restored = [this](StoreRevision Listed, StoreRevision Read) {
      restored("config", Listed, Read);
    };
    H.Outlives = [this](const KindObject &Held, const KindObject *Stored) {
      return Entries.configOutlives(Held, Stored);
    };
    H.Advanced = [this] { Server.advanced(Schema.ConfigKind); };
    return H;
  }

  KindWatchHooks replicaHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      Entries.applyReplicaList(Now, Replicas.watch().revision());
    };
    H.Changed = [this](const KindChange &C) { Entries.applyReplica(C); };
    H.Away = [this](const Error &Why) {
      logStoreLost("replicas", Why);
      D.replicas().storeLost();
      renewSilentLongPolls();
    };
    H.Back = [this] {
      logStoreRegained("replicas");
      D.replicas().storeRecovered(Loop.now());
      renewFailedWatches();
    };
    H.Outdated = [](StoreRevision Listed, StoreRevision Read) {
      logListOutdated("replicas", Listed, Read);
    };
    H.Restored = [this](StoreRevision Listed, StoreRevision Read) {
      restored("replicas", Listed, Read);
    };
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
    H.Outdated = [](StoreRevision Listed, StoreRevision Read) {
      logListOutdated("quarantine", Listed, Read);
    };
    H.Restored = [this](StoreRevision Listed, StoreRevision Read) {
      restored("quarantine", Listed, Read);
    };
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
    H.Outdated = [](StoreRevision Listed, StoreRevision Read) {
      logListOutdated("evacuations", Listed, Read);
    };
    H.Restored = [this](StoreRevision Listed, StoreRevision Read) {
      restored("evacuations", Listed, Read);
    };
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

  static void logListOutdated(std::string_view What, StoreRevision Listed,
                              StoreRevision Read) {
    logEvent(LogLevel::Warn, "list_outdated",
             {{"watch", std::string(What)},
              {"listed", Listed.str()},
              {"read", Read.str()}});
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
  FeedServer Server;
  bool Started = false; ///< The watches have been started.
  unsigned Ticks = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_SERVINGFEED_H
