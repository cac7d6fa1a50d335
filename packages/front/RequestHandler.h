//===- RequestHandler.h - Forwards the requests of callers ------*- C++ -*-===//
//
// Connects the decisions of package forward with the connections of package
// http1: finds the route, starts a ForwardRun, performs its sends and returns
// the answer to the caller. Counts all requests and logs those with an unusual
// outcome.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_REQUESTHANDLER_H
#define SHALLOTSHIFT_FRONT_REQUESTHANDLER_H

#include "front/HeaderNames.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/forward.h"
#include "shallotshift/http1.h"
#include "shallotshift/telemetry.h"

#include <memory>
#include <unordered_set>

namespace shallot {

class RequestHandler {
public:
  RequestHandler(EventLoop &Loop, TimerQueue &Timers, HeaderNames Names,
                 ReplicaRegistry &Replicas, ForwardRules Rules, Random &Rng,
                 Metrics &Meter);
  ~RequestHandler();
  RequestHandler(const RequestHandler &) = delete;
  RequestHandler &operator=(const RequestHandler &) = delete;

  /// Applies \p Config to requests that arrive from now on.
  void install(std::shared_ptr<const ServingConfig> Config);
  const std::shared_ptr<const ServingConfig> &config() const;
  /// Handles a request from a caller.
  void handle(const ExchangePtr &E);
  /// Probes unavailable replicas and expires stale entries; call a few times
  /// per second.
  void tick();
  /// Closes all idle connections, which may be dead after this process was
  /// suspended.
  void closeIdleConnections();
  /// Number of requests without an answer yet.
  std::size_t inFlight() const;
  /// Number of requests received.
  std::uint64_t handled() const;
  const UpstreamPoolCounters &connectionCounters() const;
  /// Requests that are known to crash replicas.
  QuarantineGate &quarantine();

private:
  struct Impl;
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_REQUESTHANDLER_H
