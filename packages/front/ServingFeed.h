//===- ServingFeed.h - From the store to the daemon -------------*- C++ -*-===//
//
// Watches the configuration and the replicas' registrations in the store and
// hands them to a FrontDaemon. What the objects look like is the deployment's:
// it gives the two functions that read them. An object that cannot be read is
// logged and left out; the configuration in force stays.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_SERVINGFEED_H
#define SHALLOTSHIFT_FRONT_SERVINGFEED_H

#include "front/FrontDaemon.h"
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

/// A change of the configuration must be in force everywhere within seconds, so
/// its watch is asked anew sooner: a connection that fell silent costs at most
/// this and the call's slack.
inline constexpr Duration ConfigWatchWait = Seconds(3);

template <KindStore Store> class ServingFeed {
public:
  ServingFeed(EventLoop &Loop, Store &S, FrontDaemon &D, ServingForms F)
      : Loop(Loop), D(D), Forms(std::move(F)),
        Configs(S, Loop, Forms.ConfigKind, configOptions(), D.random(),
                configHooks()),
        Replicas(S, Loop, Forms.ReplicaKind, {}, D.random(), replicaHooks()) {}

  void start() {
    Configs.start();
    Replicas.start();
  }

private:
  static KindWatchOptions configOptions() {
    KindWatchOptions O;
    O.Wait = ConfigWatchWait;
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
    H.Away = [](const Error &Why) { logAway("config", Why); };
    H.Back = [] { logBack("config"); };
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
             {{"object", O.Name},
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
    if (!E)
      return;
    logEvent(LogLevel::Info, E->Leaving ? "replica_leaving" : "replica_ready",
             {{"replica", C.Object.Name},
              {"service", E->Service.str()},
              {"address", E->At.str()},
              {"revision", std::to_string(C.Object.Revision)}});
    D.replicas().put(std::move(*E), Loop.now());
  }

  EventLoop &Loop;
  FrontDaemon &D;
  ServingForms Forms;
  KindWatch<Store, EventLoop> Configs;
  KindWatch<Store, EventLoop> Replicas;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_SERVINGFEED_H
