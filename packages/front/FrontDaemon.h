//===- FrontDaemon.h - Request-forwarding daemon ----------------*- C++ -*-===//
//
// Forwards callers' requests by route, serves the directory of entry addresses,
// reports readiness and shuts down gracefully. The code that connects it to a
// deployment supplies the configuration and the replicas as they change:
//
//   auto D = FrontDaemon::open(Loop, Settings, Adapter, Seed);
//   (*D)->install(Config);        // from the store, at each change
//   (*D)->replicas().put(Entry, Now);
//
// Shutdown: once the stop signal arrives, the daemon reports itself not ready,
// peers no longer list it in the directory, and every reply closes its
// connection. It keeps accepting connections from callers that still have its
// address cached, and refuses requests that it might not live to answer
// (StopPlan.h). It exits when no connection is left, or shortly before the
// process would be killed; what still runs then is answered with an error.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_FRONTDAEMON_H
#define SHALLOTSHIFT_FRONT_FRONTDAEMON_H

#include "front/FleetLink.h"
#include "front/FrontSettings.h"
#include "front/HeaderNames.h"
#include "front/RequestHandler.h"

#include <functional>
#include <memory>
#include <set>

namespace shallot {

/// A directory lookup by a caller.
struct EntryQuery {
  Location Caller;
  std::string Host; ///< Host that the requests are for.

  friend bool operator==(const EntryQuery &, const EntryQuery &) = default;
};

/// Names and encodings that are specific to a deployment.
struct FrontAdapter {
  HeaderNames Headers;
  std::string ReadyPath;
  std::string DirectoryPath;
  /// Parses the query string of a lookup, and writes the body of the reply.
  std::function<EntryQuery(std::string_view Query)> ParseQuery;
  std::function<std::string(const std::vector<Endpoint> &, Duration Validity)>
      WriteAddresses;
};

class FrontDaemon {
public:
  /// Listens on the addresses of callers and gossip, and on each other one as
  /// soon as it is free. Fails with AddressInUse or SettingsInvalid.
  static Result<std::unique_ptr<FrontDaemon>> open(EventLoop &Loop,
                                                   const FrontSettings &Set,
                                                   FrontAdapter Adapter,
                                                   std::uint64_t Seed);
  ~FrontDaemon();
  FrontDaemon(const FrontDaemon &) = delete;
  FrontDaemon &operator=(const FrontDaemon &) = delete;

  /// Ignores a configuration that is not newer than the one in force.
  void install(ServingConfig Config);
  ReplicaRegistry &replicas();
  /// Quarantine state of requests that crashed replicas.
  QuarantineGate &quarantine();
  /// Reports that the replicas have been listed once: from now on a replica
  /// that is absent from the registry does not exist.
  void replicasListed();
  /// Sends no requests to replicas in \p Zones. Replaces the previous set.
  void evacuate(std::set<AvailabilityZone> Zones);
  /// Sets the handler for HTTP requests from peers.
  void servePeers(HttpServer::Handler Fn);
  /// Calls \p Fn immediately and after each change of view().
  void onFleetChanged(std::function<void()> Fn);
  const FleetView &view() const;
  FleetLink &fleet();
  /// True once this daemon has announced itself ready for callers.
  bool announced() const;
  /// Version of the configuration in force; 0 if there is none yet.
  std::uint64_t configVersion() const;
  const FrontSettings &settings() const;
  TimerQueue &timers();
  Random &random();
  Metrics &metrics();
  /// Starts a graceful shutdown; \p Gone is called when the process may exit.
  void requestStop(std::function<void()> Gone);

private:
  struct Impl;
  explicit FrontDaemon(std::unique_ptr<Impl> I);
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FRONTDAEMON_H
