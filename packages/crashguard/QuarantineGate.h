//===- QuarantineGate.h - Keeps queries of death from replicas --*- C++ -*-===//
//
// Joins what a daemon knows of requests under which replicas crashed (package
// quarantine) to its callers' requests and its connections to replicas: finds
// out whether a lost send met a process that ended, keeps the evidence, and
// asks for trials. Each decision is logged with the request's fingerprint, by
// which attempts at the same request are found.
//
// Who shares the evidence with the other daemons is set by whoever reads the
// store (QuarantineSync.h). Without it no trial is granted.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_QUARANTINEGATE_H
#define SHALLOTSHIFT_FRONT_QUARANTINEGATE_H

#include "shallotshift/forward.h"
#include "shallotshift/http1.h"
#include "shallotshift/quarantine.h"
#include "shallotshift/telemetry.h"

#include <deque>
#include <functional>
#include <string>

namespace shallot {

/// A caller's attempt, as logs and records name it.
struct NamedRequest {
  RequestFingerprint Print;
  std::string Id;
  std::string Route;
  std::string Path;
};

/// Names an attempt for \p Host on the route \p Route.
NamedRequest nameRequest(const CallerRequest &R, std::string_view Host,
                         std::string Route, std::string Id);

class QuarantineGate {
public:
  using TrialCallback = std::function<void(bool Granted)>;
  using TrialFn =
      std::function<void(const RequestFingerprint &, TrialCallback)>;

  QuarantineGate(EventLoop &Loop, UpstreamPool &Pool, TimerQueue &Timers,
                 Metrics &Meter)
      : Loop(Loop), Timers(Timers), Meter(Meter), Check(Pool, Timers) {}
  ~QuarantineGate();
  QuarantineGate(const QuarantineGate &) = delete;
  QuarantineGate &operator=(const QuarantineGate &) = delete;

  Quarantine &table() { return Table; }
  /// Who grants trials, and who is told that something is to be written.
  void connect(TrialFn OnTrial, std::function<void()> OnUnwritten);

  Standing standing(const NamedRequest &R) const {
    return Table.standing(R.Print);
  }
  unsigned crashesOf(const NamedRequest &R) const {
    return Table.crashesOf(R.Print);
  }
  /// \p Done is called once, never before this returns.
  void requestTrial(const NamedRequest &R, TrialCallback Done);
  /// The connection of a send to \p To broke. Keeps the evidence if the process
  /// ended, and calls \p Done with whether it did.
  void sendLost(const NamedRequest &R, const ReplicaEntry &To,
                std::function<void(bool Crashed)> Done);
  /// A run of it ended well.
  void succeeded(const NamedRequest &R);
  /// No run of the attempt ended well. \p Trial: it was a granted one.
  void attemptFailed(const NamedRequest &R, const RunStory &S, bool Trial);

private:
  void noteCrash(const NamedRequest &R, const ReplicaEntry &To);
  void share(const RequestFingerprint &R);
  void shareOverdue();
  void logStanding(const NamedRequest &R, std::string_view Event);

  /// Evidence that may be cleared by an attempt that still runs.
  struct Fresh {
    RequestFingerprint Print;
    Instant ShareAt;
  };

  EventLoop &Loop;
  TimerQueue &Timers;
  Metrics &Meter;
  CrashCheck Check;
  Quarantine Table;
  std::deque<Fresh> Unshared; ///< In order of time.
  TimerQueue::Key ShareTimer = 0;
  TrialFn OnTrial;
  std::function<void()> OnUnwritten;
};

/// The refusal of a request that is kept from replicas, and of one whose trial
/// was not granted.
OwnAnswer quarantinedAnswer();
OwnAnswer noTrialAnswer();

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_QUARANTINEGATE_H
