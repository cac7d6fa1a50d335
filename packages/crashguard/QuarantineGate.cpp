//===- QuarantineGate.cpp -------------------------------------------------===//
#include "crashguard/QuarantineGate.h"

namespace shallot {

namespace {

/// Maximum length of a path in a record.
constexpr std::size_t MaxPathBytes = 120;

/// Delay before evidence is shared. An attempt whose replica crashed is usually
/// served by another one within this time and cleared. Evidence that is not
/// cleared by then is shared even if the attempt is still running: at a replica
/// that hangs it may run for as long as its caller waits.
constexpr Duration ShareDelay = Millis(300);

} // namespace

void QuarantineGate::connect(TrialFn Trial,
                             std::function<void()> PendingWrite) {
  OnTrial = std::move(Trial);
  OnPendingWrite = std::move(PendingWrite);
}

SendRestriction QuarantineGate::restrictionFor(const RequestAttempt &R,
                                               bool Trial) const {
  if (Trial)
    return SendRestriction::OneSend;
  return quarantineState(R) == QuarantineState::Clear
             ? SendRestriction::None
             : SendRestriction::OneAtATime;
}

void QuarantineGate::requestTrial(const RequestAttempt &R, TrialCallback Done) {
  auto OnDecision = [this, R, Done = std::move(Done)](bool Granted) {
    Meter.count("shallot_quarantine_trials_total",
                {{"granted", Granted ? "yes" : "no"}});
    logStanding(R, Granted ? "trial_granted" : "trial_refused");
    Done(Granted);
  };
  if (OnTrial)
    OnTrial(R.Fingerprint, std::move(OnDecision));
  else
    Loop.post([OnDecision = std::move(OnDecision)] { OnDecision(false); });
}

void QuarantineGate::trialUnused(const RequestAttempt &R) {
  Table.trialUnused(R.Fingerprint);
  logStanding(R, "trial_unused");
  notifyPendingWrite();
}

void QuarantineGate::crashed(const RequestAttempt &R,
                             const EndedProcess &Process) {
  QuarantineRecord Seen{R.Fingerprint};
  Seen.Crashed = {Process.Name};
  Seen.SeenAt = Loop.wallTime();
  Seen.Route = R.Route;
  Seen.Path = R.Path.substr(0, MaxPathBytes);
  Table.crashed(Seen);
  Unshared.push_back({R.Fingerprint, Loop.now() + ShareDelay});
  if (!ShareTimer.pending())
    ShareTimer = Loop.after(ShareDelay, [this] { shareOverdue(); });
  Meter.count("shallot_replica_crashes_seen_total", {{"route", R.Route}});
  logEvent(LogLevel::Warn, "replica_crashed",
           {{"replica", Process.Name},
            {"service", Process.Service.str()},
            {"id", R.Id},
            {"fingerprint", R.Fingerprint.str()},
            {"standing", std::string(quarantineStateName(quarantineState(R)))},
            {"crashes", std::to_string(crashesOf(R))}});
}

void QuarantineGate::share(const RequestFingerprint &R) {
  Table.share(R);
  notifyPendingWrite();
}

void QuarantineGate::notifyPendingWrite() const {
  if (OnPendingWrite)
    OnPendingWrite();
}

void QuarantineGate::shareOverdue() {
  Instant Now = Loop.now();
  while (!Unshared.empty() && Unshared.front().ShareAt <= Now) {
    share(Unshared.front().Fingerprint);
    Unshared.pop_front();
  }
  if (!Unshared.empty())
    ShareTimer =
        Loop.after(Unshared.front().ShareAt - Now, [this] { shareOverdue(); });
}

void QuarantineGate::succeeded(const RequestAttempt &R) {
  if (!Table.succeeded(R.Fingerprint))
    return;
  logStanding(R, "request_cleared");
  notifyPendingWrite();
}

void QuarantineGate::attemptFailed(const RequestAttempt &R, bool Trial,
                                   bool First) {
  if (Trial)
    Table.trialCrashed(R.Fingerprint);
  share(R.Fingerprint);
  if (First)
    logStanding(R, "request_suspected");
}

void QuarantineGate::writeGauges(Metrics &Into) const {
  for (QuarantineState S : {QuarantineState::Suspect, QuarantineState::OnTrial,
                            QuarantineState::Quarantined})
    Into.gauge("shallot_quarantine_requests",
               {{"standing", std::string(quarantineStateName(S))}},
               double(Table.count(S)));
}

void QuarantineGate::logStanding(const RequestAttempt &R,
                                 std::string_view Event) {
  logEvent(LogLevel::Warn, Event,
           {{"id", R.Id},
            {"fingerprint", R.Fingerprint.str()},
            {"route", R.Route},
            {"standing", std::string(quarantineStateName(quarantineState(R)))},
            {"crashes", std::to_string(crashesOf(R))}});
}

} // namespace shallot
