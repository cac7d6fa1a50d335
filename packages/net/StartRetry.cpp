//===- StartRetry.cpp -----------------------------------------------------===//
#include "net/StartRetry.h"

#include "shallotshift/telemetry.h"

#include <utility>

namespace shallot {

namespace {

/// Short beside the time that a daemon takes to become ready.
constexpr Duration RetryPeriod = Millis(50);
constexpr Duration LogPeriod = Seconds(10);

/// Settings that end in the middle are no valid JSON; neither are some wrong
/// ones, but these cannot be told apart.
bool mayPass(ResultCode Code) {
  return Code == ResultCode::SettingsUnreadable ||
         Code == ResultCode::MalformedJson || Code == ResultCode::AddressInUse;
}

} // namespace

StartRetry::StartRetry(EventLoop &Loop, std::string What, BeginFn Begin)
    : Loop(Loop), What(std::move(What)), Begin(std::move(Begin)) {}

StartRetry::~StartRetry() { cancel(); }

void StartRetry::limitTo(Duration NewLimit, FailedFn Fn) {
  Limit = NewLimit;
  Failed = std::move(Fn);
}

void StartRetry::start() {
  Since = Loop.now();
  attemptOnce();
}

void StartRetry::cancel() { Timer.cancel(); }

void StartRetry::attemptOnce() {
  auto Outcome = attempt([&] { return Begin(); });
  if (!Outcome)
    return failed(Outcome.error());
  Done = true;
  if (LoggedAt)
    logEvent(LogLevel::Info, "start_went_on",
             {{"what", What},
              {"after_ms", std::to_string(toMillis(Loop.now() - Since))}});
}

void StartRetry::failed(const Error &Why) {
  bool Over = Limit && Loop.now() - Since >= *Limit;
  if (Failed && (Over || !mayPass(Why.Code)))
    return Failed(Why);
  logWait(Why);
  Timer = Loop.after(RetryPeriod, [this] { attemptOnce(); });
}

void StartRetry::logWait(const Error &Why) {
  if (LoggedAt && Loop.now() - *LoggedAt < LogPeriod)
    return;
  LoggedAt = Loop.now();
  logEvent(LogLevel::Warn, "start_waits",
           {{"what", What},
            {"code", codeLabel(Why.Code)},
            {"why", Why.Detail},
            {"for_ms", std::to_string(toMillis(Loop.now() - Since))}});
}

} // namespace shallot
