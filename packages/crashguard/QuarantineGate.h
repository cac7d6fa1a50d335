//===- QuarantineGate.h - Keeps queries of death from replicas --*- C++ -*-===//
//
// Joins what a daemon knows of requests under which replicas crashed (package
// quarantine) to its callers' requests: keeps the evidence, asks for trials and
// says how they ended. Each decision is logged with the request's fingerprint,
// by which attempts at the same request are found.
//
// Who shares the evidence with the other daemons is set by whoever reads the
// store (QuarantineSync.h). Without it no trial is granted.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_CRASHGUARD_QUARANTINEGATE_H
#define SHALLOTSHIFT_CRASHGUARD_QUARANTINEGATE_H

#include "shallotshift/net.h"
#include "shallotshift/quarantine.h"
#include "shallotshift/telemetry.h"

#include <deque>
#include <functional>
#include <string>

namespace shallot {

/// The store grants a trial in milliseconds. While it is slow a caller does
/// better to come back than to wait for it.
inline constexpr Duration MaxTrialWait = Millis(250);
/// A trial that another daemon makes is over by then.
inline constexpr Duration TrialRetryDelay = Millis(400);

/// A caller's attempt, as logs and records name it.
struct RequestAttempt {
  RequestFingerprint Fingerprint;
  std::string Id;
  std::string Route;
  std::string Path; ///< For operators; its beginning is kept.
};

/// The process of a replica that ended.
struct EndedProcess {
  std::string Name; ///< processName().
  ServiceName Service;
};

class QuarantineGate {
public:
  using TrialCallback = std::function<void(bool Granted)>;
  using TrialFn =
      std::function<void(const RequestFingerprint &, TrialCallback)>;

  QuarantineGate(EventLoop &Loop, Metrics &Meter) : Loop(Loop), Meter(Meter) {}
  ~QuarantineGate() { ShareTimer.cancel(); }
  QuarantineGate(const QuarantineGate &) = delete;
  QuarantineGate &operator=(const QuarantineGate &) = delete;

  Quarantine &table() { return Table; }
  /// Who grants trials, and who is told that something is to be written.
  void connect(TrialFn OnTrial, std::function<void()> OnUnwritten);

  QuarantineState quarantineState(const RequestAttempt &R) const {
    return Table.quarantineState(R.Fingerprint);
  }
  unsigned crashesOf(const RequestAttempt &R) const {
    return Table.crashesOf(R.Fingerprint);
  }
  /// How the next attempt at \p R is sent. \p Trial: one was granted to it.
  SendRestriction restrictionFor(const RequestAttempt &R, bool Trial) const;

  /// \p Done is called once, never before this returns.
  void requestTrial(const RequestAttempt &R, TrialCallback Done);
  /// A granted trial ended before anything of it reached a replica.
  void trialUnused(const RequestAttempt &R);
  /// \p Process ended while it had the request.
  void crashed(const RequestAttempt &R, const EndedProcess &Process);
  /// A run of it ended well.
  void succeeded(const RequestAttempt &R);
  /// Replicas crashed under the attempt and no run of it ended well. To be
  /// called again when that is found of another one after the answer: \p First
  /// is false then. \p Trial: it was a granted one.
  void attemptFailed(const RequestAttempt &R, bool Trial, bool First);

  /// Requests known here, by standing.
  void writeGauges(Metrics &Into) const;

private:
  void share(const RequestFingerprint &R);
  void unwritten() const;
  void shareOverdue();
  void logStanding(const RequestAttempt &R, std::string_view Event);

  /// Evidence that may be cleared by an attempt that still runs.
  struct Fresh {
    RequestFingerprint Fingerprint;
    Instant ShareAt;
  };

  EventLoop &Loop;
  Metrics &Meter;
  Quarantine Table;
  std::deque<Fresh> Unshared; ///< In order of time.
  TimerHandle ShareTimer;
  TrialFn OnTrial;
  std::function<void()> OnUnwritten;
};

} // namespace shallot

#endif // SHALLOTSHIFT_CRASHGUARD_QUARANTINEGATE_H
