//===- QuarantineGate.h - Keeps queries of death from replicas --*- C++ -*-===//
//
// Connects a daemon's quarantine table (package quarantine) to its callers'
// requests: records evidence, requests trials and reports their results. Each
// decision is logged with the request's fingerprint, which identifies all
// attempts at the same request.
//
// Evidence is shared with the other daemons, and trials are granted, through
// the callbacks of connect() (QuarantineSync.h). Without them no trial is
// granted.
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

/// Maximum wait for a trial. The store usually grants one within milliseconds;
/// while it is slow, a caller should retry later instead of waiting.
inline constexpr Duration MaxTrialWait = Millis(250);
/// Retry delay sent to a caller whose request was not granted a trial. A trial
/// that another daemon makes meanwhile has ended by then.
inline constexpr Duration TrialRetryDelay = Millis(400);

/// Identifies a caller's attempt in logs and records.
struct RequestAttempt {
  RequestFingerprint Fingerprint;
  std::string Id;
  std::string Route;
  std::string Path; ///< For operators; truncated in records.
};

/// A process of a replica that ended.
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
  /// Sets the callbacks that grant trials and that learn of pending writes.
  void connect(TrialFn OnTrial, std::function<void()> OnPendingWrite);

  QuarantineState quarantineState(const RequestAttempt &R) const {
    return Table.quarantineState(R.Fingerprint);
  }
  unsigned crashesOf(const RequestAttempt &R) const {
    return Table.crashesOf(R.Fingerprint);
  }
  /// The restriction on the next attempt at \p R. \p Trial: a trial was granted
  /// to it.
  SendRestriction restrictionFor(const RequestAttempt &R, bool Trial) const;

  /// Requests a trial. \p Done is called once, never before this returns.
  void requestTrial(const RequestAttempt &R, TrialCallback Done);
  /// Returns a granted trial that ended before it reached a replica.
  void trialUnused(const RequestAttempt &R);
  /// Records that \p Process ended while it ran the request.
  void crashed(const RequestAttempt &R, const EndedProcess &Process);
  /// Records a successful run, which clears the request.
  void succeeded(const RequestAttempt &R);
  /// Reports that replicas crashed under the attempt and no run succeeded. Must
  /// be called again, with \p First false, if another crash is found after the
  /// answer. \p Trial: the attempt was a granted trial.
  void attemptFailed(const RequestAttempt &R, bool Trial, bool First);

  /// Writes the number of requests by state.
  void writeGauges(Metrics &Into) const;

private:
  void share(const RequestFingerprint &R);
  void notifyPendingWrite() const;
  void shareOverdue();
  void logStanding(const RequestAttempt &R, std::string_view Event);

  /// Evidence that an attempt in progress may still clear.
  struct PendingEvidence {
    RequestFingerprint Fingerprint;
    Instant ShareAt;
  };

  EventLoop &Loop;
  Metrics &Meter;
  Quarantine Table;
  std::deque<PendingEvidence> Unshared; ///< In order of time.
  TimerHandle ShareTimer;
  TrialFn OnTrial;
  std::function<void()> OnPendingWrite;
};

} // namespace shallot

#endif // SHALLOTSHIFT_CRASHGUARD_QUARANTINEGATE_H
