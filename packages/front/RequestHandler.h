//===- RequestHandler.h - Forwards the requests of callers ------*- C++ -*-===//
//
// Connects the decisions of package forward with the connections of package
// http1: finds the route, starts a ForwardRun, performs its sends and returns
// the answer to the caller. Counts all answers and logs requests that were
// refused or whose answer was incomplete or late.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_REQUESTHANDLER_H
#define SHALLOTSHIFT_FRONT_REQUESTHANDLER_H

#include "front/HeaderNames.h"
#include "front/QuotaLink.h"
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
                 Metrics &Meter, UpstreamPoolOptions Connections = {});
  ~RequestHandler();
  RequestHandler(const RequestHandler &) = delete;
  RequestHandler &operator=(const RequestHandler &) = delete;

  /// Enforces quotas through \p Quotas, which must outlive this object.
  void limitBy(QuotaLink &Quotas);
  /// Applies \p Config to requests that arrive from now on. Earlier ones keep
  /// their configuration, but no longer use regions that \p Config forbids.
  /// Those that wait for a token or a trial are refused as "not run" if
  /// \p Config changed or removed their route.
  void install(std::shared_ptr<const ServingConfig> Config);
  const std::shared_ptr<const ServingConfig> &config() const;
  /// Handles a request from a caller.
  void handle(const ExchangePtr &E);
  /// From now on accepts only requests that \p Plan accepts. Answers all others
  /// when it ends: those that run with an error, those that wait as "not run".
  void stop(const StopPlan &Plan);
  /// Probes unavailable replicas, expires stale entries and closes surplus idle
  /// connections; call a few times per second.
  void tick();
  /// Sets the gauges of waiting requests by organisation.
  void writeGauges();
  /// Closes all idle connections, which may be dead after the machine was
  /// suspended.
  void closeIdleConnections();
  /// Number of requests without an answer yet.
  std::size_t inFlight() const;
  /// Number of requests received.
  std::uint64_t handled() const;
  const UpstreamPoolCounters &connectionCounters() const;
  /// Memory of the replies that are being read.
  std::size_t bufferedBytes() const;
  /// The same of those that wait for others of the same request.
  std::size_t keptBytes() const;
  /// Quarantine state of requests that crashed replicas.
  QuarantineGate &quarantine();

private:
  struct Impl;
  std::unique_ptr<Impl> I;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_REQUESTHANDLER_H
