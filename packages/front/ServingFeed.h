//===- ServingFeed.h - From the store to the daemon -------------*- C++ -*-===//
//
// Watches the configuration, the replicas' registrations and the records of
// requests that crash replicas in the store and hands them to a FrontDaemon,
// directly or through a peer, and passes them on to peers. What the objects
// look like is the deployment's: it gives the two functions that read them. An
// object that cannot be read is logged and left out; the configuration in force
// stays.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_SERVINGFEED_H
#define SHALLOTSHIFT_FRONT_SERVINGFEED_H

#include "front/FeedServer.h"
#include "front/FollowedKind.h"
#include "front/FrontDaemon.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/store.h"

#include <string>

namespace shallot {

struct ServingForms {
  std::string ConfigKind;
  std::string ConfigName; ///< The one object of that kind that counts.
  std::string ReplicaKind;
  std::string QuarantineKind; ///< Of our own.
  std::function<Result<ServingConfig>(const KindObject &)> ReadConfig;
  std::function<Result<ReplicaEntry>(const KindObject &)> ReadReplica;
};

/// A daemon that watches the store has its word on each kind this often; others
/// rely on it (MostFeedAge). A connection that fell silent is noticed after
/// this and the call's slack, and then the other watch is renewed as well. Each
/// call is paid for: 1.3 a second in each region.
inline constexpr Duration StoreWatchWait = Millis(1500);

/// Changes that come within this time of one another are asked for together.
/// Replicas register one by one and tell how warm they are, and each change
/// would be a call to the store from every region. A leaving replica must be
/// left alone after 3 s, and each of the three steps of the tree may add this.
inline constexpr Duration ReplicaPause = Millis(150);
/// Configurations are few, and a caller may have seen the new one's effect.
inline constexpr Duration ConfigPause = Millis(30);

/// A daemon that has just started waits this long to hear from a peer before it
/// asks the store. A fleet that starts as a whole hears of itself within it,
/// and asks the store once for each region, not once for each daemon.
inline constexpr Duration FirstPeersWait = Millis(250);
/// From the first word of a peer until it is known whom to ask: answers of the
/// other seeds are on their way.
inline constexpr Duration PeersSettle = Millis(40);

/// The watch of records of requests that crash replicas. They are few and
/// change seldom, and each call is paid for. That its connection fell silent is
/// noticed by the other watches, and by peers that have read more.
inline constexpr Duration QuarantineWatchWait = Seconds(15);
inline constexpr Duration QuarantineFirstBackoff = Millis(600);
inline constexpr Duration QuarantineMostBackoff = Seconds(4);

template <typename Store>
requires CallableStore<Store> && KindWriter<Store>
class ServingFeed {
public:
  ServingFeed(EventLoop &Loop, HttpClient &Http, Store &S, FrontDaemon &D,
              ServingForms F)
      : Loop(Loop), D(D), Forms(std::move(F)),
        Configs(Loop, Http, S, D, Forms.ConfigKind, "config",
                options(ConfigPause), configHooks()),
        Replicas(Loop, Http, S, D, Forms.ReplicaKind, "replicas",
                 options(ReplicaPause), replicaHooks()),
        Records(Loop, Http, S, D, Forms.QuarantineKind, "quarantine",
                recordOptions(), recordHooks()),
        Sync(Loop, S, Forms.QuarantineKind, D.quarantine().table(), D.random()),
        Server(
            D.timers(), [this](const std::string &Kind) { return view(Kind); },
            [this](const std::string &Kind) { return age(Kind); }) {}

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
  using Kind = FollowedKind<Store>;

  void startOnce() {
    if (std::exchange(Started, true))
      return;
    Configs.watch().start();
    Replicas.watch().start();
    Records.watch().start();
  }

  FeedView view(const std::string &Name) const {
    for (const Kind *K : {&Configs, &Replicas, &Records})
      if (Name == nameOf(*K))
        return {&K->watch().cache(), K->watch().listed()};
    return {};
  }

  const std::string &nameOf(const Kind &K) const {
    return &K == &Configs    ? Forms.ConfigKind
           : &K == &Replicas ? Forms.ReplicaKind
                             : Forms.QuarantineKind;
  }

  /// The records' own call waits for long; that the store answers the others
  /// says as much of it.
  Duration age(const std::string &Name) const {
    Instant Config = Configs.watch().heardAt();
    Instant Replica = Replicas.watch().heardAt();
    Instant Heard =
        std::max(Records.watch().heardAt(), std::min(Config, Replica));
    if (Name == Forms.ConfigKind)
      Heard = Config;
    if (Name == Forms.ReplicaKind)
      Heard = Replica;
    return Loop.now() - Heard;
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
            Records.watch().cache().lastChange()};
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
  }

  void fleetChanged() {
    if (!Started && D.view().Members.size() > 1)
      Loop.after(PeersSettle, [this] { startOnce(); });
    for (Kind *K : {&Configs, &Replicas, &Records})
      K->fleetChanged();
    Sync.setMembers(D.view().Members.size());
  }

  /// A name of another writer may be as long as it likes.
  static constexpr std::size_t MostLoggedName = 80;
  /// How often peers that wait are looked at.
  static constexpr Duration FeedTick = Millis(100);
  /// Ticks from one comparison with the peers to the next: each copies what
  /// every member said.
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

  KindWatchHooks configHooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      for (const KindObject &O : Now)
        takeConfig(O);
    };
    H.Changed = [this](const KindChange &C) {
      if (!C.Removed)
        takeConfig(C.Object);
    };
    H.Away = [this](const Error &Why) {
      logAway("config", Why);
      Replicas.doubt();
      Records.doubt();
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
    H.All = [this](const std::vector<KindObject> &Now) { takeAll(Now); };
    H.Changed = [this](const KindChange &C) { takeChange(C); };
    H.Away = [this](const Error &Why) {
      logAway("replicas", Why);
      D.replicas().storeAway();
      Records.doubt();
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

  /// The records' own next try may be seconds away.
  void storeIsBack() {
    if (!Records.watch().storeAnswers())
      Records.watch().renew();
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

  static void logUnreadable(const KindObject &O, const Error &Why) {
    logEvent(LogLevel::Error, "object_unreadable",
             {{"object", O.Name.substr(0, MostLoggedName)},
              {"revision", std::to_string(O.Revision)},
              {"code", codeLabel(Why.Code)},
              {"why", Why.Detail}});
  }

  void takeConfig(const KindObject &O) {
    if (O.Name != Forms.ConfigName)
      return;
    auto C = attempt([&] { return Forms.ReadConfig(O); });
    if (C)
      D.install(std::move(*C));
    else
      logUnreadable(O, C.error());
  }

  std::optional<ReplicaEntry> read(const KindObject &O) {
    auto E = attempt([&] { return Forms.ReadReplica(O); });
    if (E)
      return std::move(*E);
    logUnreadable(O, E.error());
    return std::nullopt;
  }

  void takeAll(const std::vector<KindObject> &Now) {
    std::vector<ReplicaEntry> Entries;
    for (const KindObject &O : Now)
      if (auto E = read(O))
        Entries.push_back(std::move(*E));
    logEvent(LogLevel::Info, "replicas_listed",
             {{"count", std::to_string(Entries.size())},
              {"revision", std::to_string(Replicas.watch().revision())}});
    D.replicas().replaceAll(std::move(Entries), Loop.now());
    D.replicasListed();
  }

  void takeChange(const KindChange &C) {
    if (C.Removed) {
      logEvent(LogLevel::Info, "replica_vanished",
               {{"replica", C.Object.Name},
                {"revision", std::to_string(C.Object.Revision)}});
      D.replicas().remove(UpstreamId(C.Object.Name), Loop.now());
      return;
    }
    auto E = read(C.Object);
    if (!E) {
      // As in a list: an entry that cannot be read names no replica.
      D.replicas().remove(UpstreamId(C.Object.Name), Loop.now());
      return;
    }
    logEvent(LogLevel::Info, E->Leaving ? "replica_leaving" : "replica_ready",
             {{"replica", C.Object.Name},
              {"service", E->Service.str()},
              {"address", E->At.str()},
              {"started_unix_ms", std::to_string(E->StartedUnixMs)},
              {"revision", std::to_string(C.Object.Revision)}});
    D.replicas().put(std::move(*E), Loop.now());
  }

  EventLoop &Loop;
  FrontDaemon &D;
  ServingForms Forms;
  Kind Configs;
  Kind Replicas;
  Kind Records;
  QuarantineSync<Store, EventLoop> Sync;
  FeedServer Server;
  bool Started = false; ///< Something was asked for.
  unsigned Ticks = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_SERVINGFEED_H
