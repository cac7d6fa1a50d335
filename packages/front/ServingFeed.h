//===- ServingFeed.h - From the store to the daemon -------------*- C++ -*-===//
//
// Watches the configuration, the replicas' registrations, the evacuations of
// zones and the records of requests that crash replicas in the store, directly
// or through a peer, hands them to a FrontDaemon (StoreEntries.h) and
// passes them on to peers.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_SERVINGFEED_H
#define SHALLOTSHIFT_FRONT_SERVINGFEED_H

#include "front/FeedServer.h"
#include "front/FollowedKind.h"
#include "front/StoreEntries.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/store.h"

#include <string>

namespace shallot {

/// A daemon that watches the store gets an answer for each kind this often;
/// others depend on it (MaxFeedAge). A connection that fell silent is noticed
/// after this and the call's timeout, and then the other watches are renewed as
/// well. Each call costs money.
inline constexpr Duration StoreWatchWait = Millis(1500);

/// Changes within this time of one another are fetched together. Replicas
/// register one by one and update their warm-up time, and each change would be
/// a call to the store from every region. A leaving replica must get nothing
/// after 3 s, and each of the three levels of the tree may add this.
inline constexpr Duration ReplicaPause = Millis(150);
/// Configurations are few, and a caller may have seen the new one's effect.
inline constexpr Duration ConfigPause = Millis(30);

/// A daemon that has just started waits this long for a peer before it calls
/// the store. The daemons of a fleet that starts as a whole find each other
/// within it, and the store is called once for each region, not once for each
/// daemon.
inline constexpr Duration FirstPeersWait = Millis(250);
/// From the first message of a peer until a source is chosen: answers of the
/// other seeds are on their way.
inline constexpr Duration PeersSettle = Millis(40);

/// The watch of records of requests that crash replicas. They are few and
/// change seldom, and each call costs money. That its connection fell silent is
/// noticed by the other watches and through peers that are ahead.
inline constexpr Duration QuarantineWatchWait = Seconds(15);
inline constexpr Duration QuarantineFirstBackoff = Millis(600);
inline constexpr Duration QuarantineMostBackoff = Seconds(4);

/// The watch of evacuations. They are few, and one must be known everywhere
/// within seconds, also when the connection that it comes on has fallen silent:
/// after this wait the call is made anew.
inline constexpr Duration EvacuationWatchWait = Millis(2500);

template <typename Store>
requires CallableStore<Store> && KindWriter<Store>
class ServingFeed {
public:
  ServingFeed(EventLoop &Loop, HttpClient &Http, Store &S, FrontDaemon &D,
              StoreSchema F)
      : Loop(Loop), D(D), Forms(std::move(F)), Entries(Loop, D, Forms),
        Configs(Loop, Http, S, D, Forms.ConfigKind, "config",
                options(ConfigPause), configHooks()),
        Replicas(Loop, Http, S, D, Forms.ReplicaKind, "replicas",
                 options(ReplicaPause), replicaHooks()),
        Records(Loop, Http, S, D, Forms.QuarantineKind, "quarantine",
                recordOptions(), recordHooks()),
        Evacuations(Loop, Http, S, D, Forms.EvacuationKind, "evacuations",
                    evacuationOptions(), evacuationHooks()),
        Sync(Loop, S, Forms.QuarantineKind, D.quarantine().table(), D.random()),
        Server(
            D.timers(), [this](const std::string &Kind) { return view(Kind); },
            [this](const std::string &Kind) { return age(Kind); }) {
    Followed = {{&Configs, Forms.ConfigKind},
                {&Replicas, Forms.ReplicaKind},
                {&Records, Forms.QuarantineKind}};
    if (!Forms.EvacuationKind.empty())
      Followed.push_back({&Evacuations, Forms.EvacuationKind});
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
    Loop.after(FirstPeersWait, [this] { startOnce(); });
  }

private:
  using Kind = WatchedKind<Store>;

  struct NamedKind {
    Kind *Objects = nullptr;
    std::string Name; ///< In the store.
  };

  void startOnce() {
    if (std::exchange(Started, true))
      return;
    for (const NamedKind &K : Followed)
      K.Objects->watch().start();
  }

  FeedView view(const std::string &Name) const {
    for (const NamedKind &K : Followed)
      if (Name == K.Name)
        return {&K.Objects->watch().cache(), K.Objects->watch().listed()};
    return {};
  }

  /// The calls for the records and the evacuations wait for long; that the
  /// store answers the others proves as much.
  Duration age(const std::string &Name) const {
    Instant Config = Configs.watch().heardAt();
    Instant Replica = Replicas.watch().heardAt();
    if (Name == Forms.ConfigKind)
      return Loop.now() - Config;
    if (Name == Forms.ReplicaKind)
      return Loop.now() - Replica;
    const Kind &Other = Name == Forms.EvacuationKind ? Evacuations : Records;
    return Loop.now() -
           std::max(Other.watch().heardAt(), std::min(Config, Replica));
  }

  void tick() {
    Server.tick();
    D.fleet().announce(readState());
    if (++Ticks % CompareEvery == 0)
      compareWithPeers();
    if (Ticks % SyncEvery == 0)
      Sync.tick(Loop.wallTime(), Records.sources().watchesStore());
    Loop.after(FeedTick, [this] { tick(); });
  }

  ReadState readState() const {
    return {D.configVersion(), Replicas.watch().cache().lastChange(),
            Records.watch().cache().lastChange(),
            Evacuations.watch().cache().lastChange()};
  }

  void compareWithPeers() {
    ReadState Mine = readState();
    // Until the configuration was listed nobody is behind.
    ReadState Most =
        Configs.watch().listed() ? D.fleet().furthest() : ReadState();
    Duration Period = FeedTick * CompareEvery;
    Configs.compare(Mine, Most, &ReadState::ConfigVersion, false, Period);
    Replicas.compare(Mine, Most, &ReadState::ReplicaRevision, true, Period);
    Records.compare(Mine, Most, &ReadState::QuarantineRevision, true, Period);
    if (!Forms.EvacuationKind.empty())
      Evacuations.compare(Mine, Most, &ReadState::EvacuationRevision, true,
                          Period);
  }

  void fleetChanged() {
    if (!Started && D.view().Members.size() > 1)
      Loop.after(PeersSettle, [this] { startOnce(); });
    for (const NamedKind &K : Followed)
      K.Objects->fleetChanged();
    Sync.setMembers(D.view().Members.size());
  }

  /// How often peers that wait are looked at.
  static constexpr Duration FeedTick = Millis(100);
  /// Ticks from one comparison with the peers to the next: each copies the
  /// revisions of every member.
  static constexpr unsigned CompareEvery = 2;
  static constexpr unsigned SyncEvery = QuarantineTick / FeedTick;

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
    O.MostBackoff = QuarantineMostBackoff;
    return O;
  }

  static KindWatchOptions evacuationOptions() {
    KindWatchOptions O;
    O.Wait = EvacuationWatchWait;
    return O;
  }

  KindWatchHooks configHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      for (const KindObject &O : Now)
        Entries.takeConfig(O);
    };
    H.Changed = [this](const KindChange &C) {
      if (!C.Removed)
        Entries.takeConfig(C.Object);
    };
    H.Away = [this](const Error &Why) {
      logAway("config", Why);
      Replicas.doubt();
      doubtQuiet();
    };
    H.Back = [this] {
      logBack("config");
      storeIsBack();
    };
    H.Advanced = [this] { Server.advanced(Forms.ConfigKind); };
    return H;
  }

  KindWatchHooks replicaHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      Entries.listReplicas(Now, Replicas.watch().revision());
    };
    H.Changed = [this](const KindChange &C) { Entries.takeReplica(C); };
    H.Away = [this](const Error &Why) {
      logAway("replicas", Why);
      D.replicas().storeAway();
      doubtQuiet();
    };
    H.Back = [this] {
      logBack("replicas");
      D.replicas().storeBack(Loop.now());
      storeIsBack();
    };
    H.Advanced = [this] { Server.advanced(Forms.ReplicaKind); };
    return H;
  }

  KindWatchHooks recordHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) { takeRecords(Now); };
    H.Changed = [this](const KindChange &C) { takeRecord(C); };
    H.Away = [](const Error &Why) { logAway("quarantine", Why); };
    H.Back = [this] {
      logBack("quarantine");
      Sync.pump();
    };
    H.Advanced = [this] { Server.advanced(Forms.QuarantineKind); };
    return H;
  }

  KindWatchHooks evacuationHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      Entries.listEvacuations(Now, Evacuations.watch().revision());
    };
    H.Changed = [this](const KindChange &C) { Entries.takeEvacuation(C); };
    H.Away = [](const Error &Why) { logAway("evacuations", Why); };
    H.Back = [] { logBack("evacuations"); };
    H.Advanced = [this] { Server.advanced(Forms.EvacuationKind); };
    return H;
  }

  /// Watches whose calls wait for long may hang on what another watch has just
  /// lost.
  void doubtQuiet() {
    Records.doubt();
    if (!Forms.EvacuationKind.empty())
      Evacuations.doubt();
  }

  /// The own next try of a watch that failed may be seconds away.
  void storeIsBack() {
    for (Kind *K : {&Records, &Evacuations})
      if (!K->watch().storeAnswers())
        K->watch().renew();
  }

  void takeRecords(const std::vector<KindObject> &Now) {
    std::vector<SharedRecord> All;
    for (const KindObject &O : Now)
      if (auto R = QuarantineSync<Store, EventLoop>::readShared(O))
        All.push_back(std::move(*R));
    logEvent(LogLevel::Info, "quarantine_listed",
             {{"count", std::to_string(All.size())},
              {"revision", std::to_string(Records.watch().revision())}});
    D.quarantine().table().replaceAll(All, Records.watch().revision());
    Sync.pump();
  }

  void takeRecord(const KindChange &C) {
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
                {"standing", std::string(standingName(Table.standing(*Name)))},
                {"revision", std::to_string(C.Object.Revision)}});
  }

  static void logAway(std::string_view What, const Error &Why) {
    logEvent(LogLevel::Warn, "store_lost",
             {{"watch", std::string(What)},
              {"code", codeLabel(Why.Code)},
              {"why", Why.Detail}});
  }

  static void logBack(std::string_view What) {
    logEvent(LogLevel::Info, "store_regained", {{"watch", std::string(What)}});
  }

  EventLoop &Loop;
  FrontDaemon &D;
  StoreSchema Forms;
  StoreObjectApplier Entries;
  Kind Configs;
  Kind Replicas;
  Kind Records;
  Kind Evacuations; ///< Not started where there are none.
  std::vector<NamedKind> Followed;
  QuarantineSync<Store, EventLoop> Sync;
  FeedServer Server;
  bool Started = false; ///< Something was asked for.
  unsigned Ticks = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_SERVINGFEED_H
