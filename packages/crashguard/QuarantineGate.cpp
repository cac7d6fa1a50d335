//===- QuarantineGate.cpp -------------------------------------------------===//
#include "crashguard/QuarantineGate.h"

namespace shallot {

namespace {

/// Of a path in a record, for operators.
constexpr std::size_t MostPathBytes = 120;

/// An attempt whose replica crashed is usually served by another one within
/// this. What is not cleared by then is shared, also while the attempt waits:
/// at a replica that hangs it may wait for as long as its caller does.
constexpr Duration ClearedWithin = Millis(300);

} // namespace

void QuarantineGate::connect(TrialFn Trial, std::function<void()> Unwritten) {
  OnTrial = std::move(Trial);
  OnUnwritten = std::move(Unwritten);
}

SendRestriction QuarantineGate::restrictionFor(const NamedRequest &R,
                                               bool Trial) const {
  if (Trial)
    return SendRestriction::OneSend;
  return quarantineState(R) == QuarantineState::Clear
             ? SendRestriction::None
             : SendRestriction::OneAtATime;
}

void QuarantineGate::requestTrial(const NamedRequest &R, TrialCallback Done) {
  auto OnDecision = [this, R, Done = std::move(Done)](bool Granted) {
    Meter.count("shallot_quarantine_trials_total",
                {{"granted", Granted ? "yes" : "no"}});
    logStanding(R, Granted ? "trial_granted" : "trial_refused");
    Done(Granted);
  };
  if (OnTrial)
    OnTrial(R.Print, std::move(OnDecision));
  else
    Loop.post([OnDecision = std::move(OnDecision)] { OnDecision(false); });
}

void QuarantineGate::trialUnused(const NamedRequest &R) {
  Table.trialUnused(R.Print);
  logStanding(R, "trial_unused");
  unwritten();
}

void QuarantineGate::crashed(const NamedRequest &R,
                             const EndedProcess &Process) {
  QuarantineRecord Seen{R.Print};
  Seen.Crashed = {Process.Name};
  Seen.SeenAt = Loop.wallTime();
  Seen.Route = R.Route;
  Seen.Path = R.Path.substr(0, MostPathBytes);
  Table.crashed(Seen);
  Unshared.push_back({R.Print, Loop.now() + ClearedWithin});
  if (!ShareTimer.pending())
    ShareTimer = Loop.after(ClearedWithin, [this] { shareOverdue(); });
  Meter.count("shallot_replica_crashes_seen_total", {{"route", R.Route}});
  logEvent(LogLevel::Warn, "replica_crashed",
           {{"replica", Process.Name},
            {"service", Process.Service.str()},
            {"id", R.Id},
            {"fingerprint", R.Print.str()},
            {"standing", std::string(quarantineStateName(quarantineState(R)))},
            {"crashes", std::to_string(crashesOf(R))}});
}

void QuarantineGate::share(const RequestFingerprint &R) {
  Table.share(R);
  unwritten();
}

void QuarantineGate::unwritten() const {
  if (OnUnwritten)
    OnUnwritten();
}

void QuarantineGate::shareOverdue() {
  Instant Now = Loop.now();
  while (!Unshared.empty() && Unshared.front().ShareAt <= Now) {
    share(Unshared.front().Print);
    Unshared.pop_front();
  }
  if (!Unshared.empty())
    ShareTimer =
        Loop.after(Unshared.front().ShareAt - Now, [this] { shareOverdue(); });
}

void QuarantineGate::succeeded(const NamedRequest &R) {
  if (!Table.succeeded(R.Print))
    return;
  logStanding(R, "request_cleared");
  unwritten();
}

void QuarantineGate::attemptFailed(const NamedRequest &R, bool Trial,
                                   bool First) {
  if (Trial)
    Table.trialCrashed(R.Print);
  share(R.Print);
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

void QuarantineGate::logStanding(const NamedRequest &R,
                                 std::string_view Event) {
  logEvent(LogLevel::Warn, Event,
           {{"id", R.Id},
            {"fingerprint", R.Print.str()},
            {"route", R.Route},
            {"standing", std::string(quarantineStateName(quarantineState(R)))},
            {"crashes", std::to_string(crashesOf(R))}});
}

} // namespace shallot
