//===- QuarantineGate.cpp -------------------------------------------------===//
#include "front/QuarantineGate.h"

namespace shallot {

namespace {

/// Who a caller says it is, where it says so: what a replica may do for one it
/// may refuse another.
constexpr char CredentialsHeader[] = "Authorization";

/// Of a path in a record, for operators.
constexpr std::size_t MostPathBytes = 120;

/// An attempt whose replica crashed is usually served by another one within
/// this. What is not cleared by then is shared, also while the attempt waits:
/// at a replica that hangs it may wait for as long as its caller does.
constexpr Duration ClearedWithin = Millis(300);

/// A trial that another daemon makes is over by then.
constexpr Duration TrialRetry = Millis(400);

} // namespace

NamedRequest nameRequest(const CallerRequest &R, std::string_view Host,
                         std::string Route, std::string Id) {
  RequestIdentity Parts{R.Method, Host, R.Target,
                        headerValue(R.Headers, CredentialsHeader), R.Body};
  return {RequestFingerprint::of(Parts), std::move(Id), std::move(Route),
          std::string(R.path().substr(0, MostPathBytes))};
}

OwnAnswer quarantinedAnswer() {
  return {ResultCode::RequestQuarantined,
          {},
          "replicas crashed each time that they ran this request; it is not "
          "sent to them any more"};
}

OwnAnswer noTrialAnswer() {
  return {
      ResultCode::TrialUnavailable, TrialRetry,
      "replicas crashed under this request, and whether they crash of it is "
      "being tried, or cannot be tried now"};
}

void QuarantineGate::connect(TrialFn Trial, std::function<void()> Unwritten) {
  OnTrial = std::move(Trial);
  OnUnwritten = std::move(Unwritten);
}

void QuarantineGate::requestTrial(const NamedRequest &R, TrialCallback Done) {
  auto Told = [this, R, Done = std::move(Done)](bool Granted) {
    Meter.count("shallot_quarantine_trials_total",
                {{"granted", Granted ? "yes" : "no"}});
    logStanding(R, Granted ? "trial_granted" : "trial_refused");
    Done(Granted);
  };
  if (OnTrial)
    OnTrial(R.Print, std::move(Told));
  else
    Loop.post([Told = std::move(Told)] { Told(false); });
}

void QuarantineGate::sendLost(const NamedRequest &R, const ReplicaEntry &To,
                              std::function<void(bool)> Done) {
  Check.ask(To.At, [this, R, To, Done = std::move(Done)](bool Ended) {
    if (Ended)
      noteCrash(R, To);
    Done(Ended);
  });
}

void QuarantineGate::noteCrash(const NamedRequest &R, const ReplicaEntry &To) {
  QuarantineRecord Seen{R.Print};
  Seen.Crashed = {processName(To.Id, To.StartedUnixMs)};
  Seen.SeenAt = Loop.wallTime();
  Seen.Route = R.Route;
  Seen.Path = R.Path;
  Table.crashed(Seen);
  Unshared.push_back({R.Print, Timers.now() + ClearedWithin});
  if (ShareTimer == 0)
    ShareTimer = Timers.after(ClearedWithin, [this] { shareOverdue(); });
  Meter.count("shallot_replica_crashes_seen_total", {{"route", R.Route}});
  logEvent(LogLevel::Warn, "replica_crashed",
           {{"replica", Seen.Crashed.front()},
            {"service", To.Service.str()},
            {"id", R.Id},
            {"fingerprint", R.Print.str()},
            {"standing", std::string(standingName(standing(R)))},
            {"crashes", std::to_string(crashesOf(R))}});
}

QuarantineGate::~QuarantineGate() { Timers.cancel(ShareTimer); }

void QuarantineGate::share(const RequestFingerprint &R) {
  Table.share(R);
  if (OnUnwritten)
    OnUnwritten();
}

void QuarantineGate::shareOverdue() {
  ShareTimer = 0;
  while (!Unshared.empty() && Unshared.front().ShareAt <= Timers.now()) {
    share(Unshared.front().Print);
    Unshared.pop_front();
  }
  if (!Unshared.empty())
    ShareTimer =
        Timers.at(Unshared.front().ShareAt, [this] { shareOverdue(); });
}

void QuarantineGate::succeeded(const NamedRequest &R) {
  if (!Table.succeeded(R.Print))
    return;
  logStanding(R, "request_cleared");
  if (OnUnwritten)
    OnUnwritten();
}

void QuarantineGate::attemptFailed(const NamedRequest &R, const RunStory &S,
                                   bool Trial) {
  if (S.Crashed == 0)
    return;
  if (Trial)
    Table.trialCrashed(R.Print);
  share(R.Print);
  logStanding(R, "request_suspected");
}

void QuarantineGate::logStanding(const NamedRequest &R,
                                 std::string_view Event) {
  logEvent(LogLevel::Warn, Event,
           {{"id", R.Id},
            {"fingerprint", R.Print.str()},
            {"route", R.Route},
            {"standing", std::string(standingName(standing(R)))},
            {"crashes", std::to_string(crashesOf(R))}});
}

} // namespace shallot
