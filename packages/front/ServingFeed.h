//===- ServingFeed.h - From the store to the daemon -------------*- C++ -*-===//
//
// Watches the configuration and the replicas' registrations in the store and
// hands them to a FrontDaemon, directly or through a peer, and passes them on
// to peers. What the objects look like is the deployment's: it gives the two
// functions that read them. An object that cannot be read is logged and left
// out; the configuration in force stays.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_SERVINGFEED_H
#define SHALLOTSHIFT_FRONT_SERVINGFEED_H

#include "front/CatchUp.h"
#include "front/FeedServer.h"
#include "front/FrontDaemon.h"
#include "front/RelayedStore.h"
#include "shallotshift/store.h"

#include <string>

namespace shallot {

struct ServingForms {
  std::string ConfigKind;
  std::string ConfigName; ///< The one object of that kind that counts.
  std::string ReplicaKind;
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
/// would be a call to the store from every region: 429 calls and 291 on a calm
/// day of 62 hosts. A leaving replica must be left alone after 3 s, and each of
/// the three steps of the tree may add this.
inline constexpr Duration ReplicaPause = Millis(150);
/// Configurations are few, and a caller may have seen the new one's effect.
inline constexpr Duration ConfigPause = Millis(30);

/// A daemon that has just started waits this long for word from a peer before
/// it asks the store: 60 that start at once had heard of each other after 0.17
/// s, and asked the store 500 times when they waited 0.08 s.
inline constexpr Duration FirstPeersWait = Millis(250);
/// From the first word of a peer until it is known whom to ask: answers of the
/// other seeds are on their way.
inline constexpr Duration PeersSettle = Millis(40);

template <CallableStore Store> class ServingFeed {
public:
  ServingFeed(EventLoop &Loop, HttpClient &Http, Store &S, FrontDaemon &D,
              ServingForms F)
      : Loop(Loop), D(D), Forms(std::move(F)),
        ConfigSource(Loop, Http, S, sources(D), D.random(), D.metrics()),
        ReplicaSource(Loop, Http, S, sources(D), D.random(), D.metrics()),
        Configs(ConfigSource, Loop, Forms.ConfigKind, options(ConfigPause),
                D.random(), configHooks()),
        Replicas(ReplicaSource, Loop, Forms.ReplicaKind, options(ReplicaPause),
                 D.random(), replicaHooks()),
        Server(
            D.timers(), [this](const std::string &Kind) { return view(Kind); },
            [this](const std::string &Kind) { return age(Kind); }) {}

  void start() {
    D.onFleetChanged([this] { fleetChanged(); });
    D.servePeers([this](const ServerRequest &R, const Responder &A) {
      Server.handle(R, A);
    });
    tick();
    Loop.after(FirstPeersWait, [this] { startOnce(); });
  }

private:
  void startOnce() {
    if (std::exchange(Started, true))
      return;
    Configs.start();
    Replicas.start();
  }

  FeedView view(const std::string &Kind) const {
    if (Kind == Forms.ConfigKind)
      return {&Configs.cache(), Configs.listed()};
    if (Kind == Forms.ReplicaKind)
      return {&Replicas.cache(), Replicas.listed()};
    return {};
  }

  Duration age(const std::string &Kind) const {
    Instant Heard =
        Kind == Forms.ConfigKind ? Configs.heardAt() : Replicas.heardAt();
    return Loop.now() - Heard;
  }

  void tick() {
    Server.tick();
    D.fleet().announce(readState());
    if (++Ticks % CompareEvery == 0)
      compareWithPeers();
    Loop.after(FeedTick, [this] { tick(); });
  }

  ReadState readState() const {
    return {D.configVersion(), Replicas.cache().lastChange()};
  }

  /// The failure: the daemon that this one relies on hears nothing, and does
  /// not know it yet. Every message of the membership says how far its sender
  /// has read; whoever hears of more and gets nothing (CatchUp) asks one that
  /// has it.
  void compareWithPeers() {
    ReadState Mine = readState();
    ReadState Most = D.fleet().furthest();
    bool Listed = Configs.listed();
    if (ConfigCatchUp.due(
            Listed && Most.ConfigVersion > Mine.ConfigVersion,
            moving(ConfigSource, Mine.ConfigVersion != Before.ConfigVersion),
            Loop.now()))
      askAheadOnConfig(Mine.ConfigVersion);
    // A removal that one saw and the other only finds missing in a list leaves
    // the two apart for good: a peer's word on replicas is followed once. A
    // version is followed until it is in force.
    std::uint64_t Followed = std::max(Mine.ReplicaRevision, FollowedReplicas);
    if (ReplicaCatchUp.due(Listed && Most.ReplicaRevision > Followed,
                           moving(ReplicaSource, Mine.ReplicaRevision !=
                                                     Before.ReplicaRevision),
                           Loop.now()))
      askAheadOnReplicas(Followed);
    Before = Mine;
  }

  static bool moving(const RelayedStore<Store> &Source, bool Changed) {
    return Changed || Source.receivedWithin(FeedTick * CompareEvery);
  }

  void askAheadOnConfig(std::uint64_t Version) {
    if (auto Ahead = D.fleet().ahead({Version, AnyReplicaRevision}))
      askAhead(*Ahead, ConfigSource, Configs,
               {"config", Version, Ahead->Read.ConfigVersion});
  }

  void askAheadOnReplicas(std::uint64_t Revision) {
    auto Ahead = D.fleet().ahead({AnyConfigVersion, Revision});
    if (!Ahead)
      return;
    FollowedReplicas = std::max(Revision, Ahead->Read.ReplicaRevision);
    askAhead(*Ahead, ReplicaSource, Replicas,
             {"replicas", Revision, Ahead->Read.ReplicaRevision});
  }

  /// How far this daemon and a peer have read, for logs.
  struct Gap {
    std::string_view Watch;
    std::uint64_t Mine = 0;
    std::uint64_t Its = 0;
  };

  template <typename Watch>
  static void askAhead(const PeerAhead &Ahead, RelayedStore<Store> &Source,
                       Watch &W, const Gap &G) {
    logEvent(LogLevel::Info, "peer_has_read_more",
             {{"peer", Ahead.Peer.Id.str()},
              {"watch", std::string(G.Watch)},
              {"mine", std::to_string(G.Mine)},
              {"its", std::to_string(G.Its)}});
    Source.sources().prefer(Ahead.Peer);
    W.renew();
  }

  void fleetChanged() {
    if (!Started && D.view().Members.size() > 1)
      Loop.after(PeersSettle, [this] { startOnce(); });
    ConfigSource.sources().update(D.view());
    ReplicaSource.sources().update(D.view());
    leaveLost(ConfigSource, Configs);
    leaveLost(ReplicaSource, Replicas);
  }

  /// A host with a full link answers no probes and is suspected, also by those
  /// whom it is sending an answer to.
  template <typename Watch>
  static void leaveLost(const RelayedStore<Store> &Source, Watch &W) {
    if (Source.lost() && !Source.receivedWithin(BehindPatience))
      W.renew();
  }

  /// A name of another writer may be as long as it likes.
  static constexpr std::size_t MostLoggedName = 80;
  /// How often peers that wait are looked at.
  static constexpr Duration FeedTick = Millis(100);
  /// Ticks from one comparison with the peers to the next: each copies what
  /// every member said.
  static constexpr unsigned CompareEvery = 2;
  /// No peer is ahead of these.
  static constexpr std::uint64_t AnyConfigVersion = UINT64_MAX;
  static constexpr std::uint64_t AnyReplicaRevision = UINT64_MAX;

  static KindWatchOptions options(Duration Pause) {
    KindWatchOptions O;
    O.Wait = StoreWatchWait;
    O.Pause = Pause;
    return O;
  }

  static FeedSources sources(const FrontDaemon &D) {
    return {D.settings().Host, D.settings().Here.Reg};
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
      // Its sibling's call may hang on the same loss without saying so.
      if (Replicas.listed() && Replicas.storeAnswers() &&
          !ReplicaSource.receivedWithin(BehindPatience))
        Replicas.renew();
    };
    H.Back = [] { logBack("config"); };
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
    };
    H.Back = [this] {
      logBack("replicas");
      D.replicas().storeBack(Loop.now());
    };
    H.Advanced = [this] { Server.advanced(Forms.ReplicaKind); };
    return H;
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
              {"revision", std::to_string(Replicas.revision())}});
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
  RelayedStore<Store> ConfigSource;
  RelayedStore<Store> ReplicaSource;
  KindWatch<RelayedStore<Store>, EventLoop> Configs;
  KindWatch<RelayedStore<Store>, EventLoop> Replicas;
  FeedServer Server;
  bool Started = false; ///< Something was asked for.
  unsigned Ticks = 0;
  ReadState Before; ///< At the last comparison.
  CatchUp ConfigCatchUp;
  CatchUp ReplicaCatchUp;
  /// The newest word of a peer on replicas that was asked for.
  std::uint64_t FollowedReplicas = 0;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_SERVINGFEED_H
