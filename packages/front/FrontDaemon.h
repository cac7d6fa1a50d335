//===- FrontDaemon.h - A daemon that forwards for a deployment --*- C++ -*-===//
//
// Serves callers by routes, answers where callers should connect, says whether
// it is ready, and stops in order. Whoever joins it to a deployment gives it
// the configuration and the replicas as they change:
//
//   auto D = FrontDaemon::open(Loop, Settings, Adapter, Seed);
//   (*D)->install(Config);        // from the store, at each change
//   (*D)->replicas().put(Entry, Now);
//
// A stop: from the signal on it is not ready, others do not name it to callers,
// and every answer closes its connection. It goes on accepting for callers that
// still keep its address, and ends when none is left or just before it would be
// killed. A request that was read is never cut off by it.
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

/// What a caller asks the directory.
struct EntryQuery {
  Place Caller;
  std::string Host; ///< That it wants to send requests to.

  friend bool operator==(const EntryQuery &, const EntryQuery &) = default;
};

/// What the deployment's own names and forms are; the rest is the product's.
struct FrontAdapter {
  HeaderNames Headers;
  std::string ReadyPath;
  std::string DirectoryPath;
  /// Reads a question from a query string, and writes the answer's body.
  std::function<EntryQuery(std::string_view Query)> ReadQuestion;
  std::function<std::string(const std::vector<Endpoint> &, Duration Validity)>
      WriteAddresses;
};

class FrontDaemon {
public:
  /// Listens on every address of \p Set. Fails with AddressInUse or
  /// SettingsInvalid.
  static Result<std::unique_ptr<FrontDaemon>> open(EventLoop &Loop,
                                                   const FrontSettings &Set,
                                                   FrontAdapter Adapter,
                                                   std::uint64_t Seed);
  ~FrontDaemon();
  FrontDaemon(const FrontDaemon &) = delete;
  FrontDaemon &operator=(const FrontDaemon &) = delete;

  /// A configuration older than the one in force is ignored.
  void install(ServingConfig Config);
  ReplicaRegistry &replicas();
  /// What is known of requests under which replicas crashed.
  QuarantineGate &quarantine();
  /// The replicas were listed once, so that their absence means something.
  void replicasListed();
  /// Replicas of \p Zones get nothing until this is called without them.
  void evacuate(std::set<AvailabilityZone> Zones);
  /// Answers what peers ask.
  void servePeers(HttpServer::Handler Fn);
  /// \p Fn is called at once and whenever view() has changed.
  void onFleetChanged(std::function<void()> Fn);
  const FleetView &view() const;
  FleetLink &fleet();
  /// The version in force; 0: none yet.
  std::uint64_t configVersion() const;
  const FrontSettings &settings() const;
  TimerQueue &timers();
  Random &random();
  Metrics &metrics();
  /// Stops in order; \p Gone is called when the process may end.
  void requestStop(std::function<void()> Gone);

private:
  struct Impl;
  explicit FrontDaemon(std::unique_ptr<Impl> I);
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_FRONTDAEMON_H
