#include "LaneDesk.h"

#include <fmt/format.h>

using namespace shallot;

namespace apps {

namespace {

/// Longer than the class's own deadline.
constexpr Duration ActionTimeout = Seconds(2);
constexpr Duration LookUpTimeout = Seconds(2);
/// After this many deliveries with looks between them, "unknown" is the truth.
constexpr unsigned MaxDeliveries = 3;
/// The longest that the coach is kept waiting between two of them.
constexpr Duration MostPause = Seconds(1);
constexpr Duration LeastPause = Millis(100);

/// SS1xxx: there is something wrong with the request.
bool isBadInput(const std::string &Code) { return Code.rfind("SS1", 0) == 0; }

} // namespace

bool Reservation::mint() {
  for (const Endpoint &To : std::vector(C.addresses())) {
    Reply R = C.post(To, "/v1/action-keys", Json::object(), LookUpTimeout);
    Key = R.Status == 200 ? R.text("key") : "";
    if (!Key.empty())
      return true;
  }
  return false;
}

Reply Reservation::deliver(const Endpoint &To, Duration Timeout) {
  Json Body{{"tenant", O.Tenant},
            {"class", "coach"},
            {"service", "club-desk"},
            {"action", {{"lane", O.Lane}, {"block", O.Block}}}};
  // We vouch for it only while no delivery can have left us. A refusal is then
  // certain to mean "not run".
  if (!MayBeOut)
    Body["first_attempt"] = true;
  HttpRequest R;
  R.Method = "POST";
  R.To = To;
  R.Path = "/v1/action";
  R.Headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", Key}};
  R.Body = Body.dump();
  R.Timeout = Timeout;
  R.Rule = Repeat::Never;
  return C.ask(std::move(R));
}

Reply Reservation::lookUp(const Endpoint &To) {
  return C.get(
      To, "/v1/action/" + urlEscaped(Key) + "?tenant=" + urlEscaped(O.Tenant),
      LookUpTimeout);
}

Reservation::Known Reservation::known(const Reply &R) const {
  if (R.neverSent())
    return MayBeOut ? Known::Unknown : Known::NotRun;
  if (!R.arrived())
    return Known::Unknown;
  if (R.Status == 200 && R.text("outcome") == "ran")
    return Known::Ran;
  if (R.text("code") == "SS3007")
    return Known::FailedThere;
  // Bad input is said of this delivery; an earlier one may have been good. The
  // other refusals are said of the key.
  if (R.saysNotRun() && !(MayBeOut && isBadInput(R.text("code"))))
    return Known::NotRun;
  return Known::Unknown;
}

int Reservation::verdict(Known What, const Reply &R) const {
  switch (What) {
  case Known::Ran:
    fmt::print("RAN{}: {}\n",
               R.text("replayed") == "true" ? " (found out afterwards)" : "",
               R.text("result"));
    return ExitDone;
  case Known::FailedThere:
    fmt::print("RAN, and the desk reported a failure: {}\n", R.text("result"));
    return ExitFailedThere;
  case Known::NotRun:
    fmt::print("NOT RUN: {}\n", R.problem());
    return R.neverSent() ? ExitNoDaemon : ExitNotRun;
  case Known::Unknown:
    break;
  }
  fmt::print("UNKNOWN: {}\n  ask again with --key {}\n", R.problem(), Key);
  return ExitUnknown;
}

int Reservation::run() {
  if (Key.empty() && !mint()) {
    fmt::print("NOT RUN: no daemon gave a key\n");
    return ExitNoDaemon;
  }
  fmt::print("key: {}\n", Key);
  Reply R;
  R.Failure = ResultCode::ConnectFailed;
  unsigned Deliveries = 0;
  for (std::size_t I = 0; Deliveries < MaxDeliveries; ++I) {
    std::vector<Endpoint> Use = C.addresses();
    if (I >= MaxDeliveries * std::max<std::size_t>(Use.size(), 1) ||
        Use.empty())
      break;
    const Endpoint &To = Use[I % Use.size()];
    R = deliver(To, Deliveries == 0 ? O.FirstWait : ActionTimeout);
    if (R.neverSent())
      continue; // Nothing left us: the next address, with the same key.
    ++Deliveries;
    // A refusal by which the earlier deliveries are not judged is no verdict.
    Known What = known(R);
    MayBeOut = true;
    if (What != Known::Unknown)
      return verdict(What, R);
    fmt::print("no certain answer ({}); finding out\n", R.problem());
    C.wait(std::max(LeastPause, retryAfter(R, MostPause)));
    Reply Found = lookUp(Use[(I + 1) % Use.size()]);
    What = known(Found);
    if (What != Known::Unknown)
      return verdict(What, Found);
  }
  return verdict(known(R), R);
}

int Reservation::ask() {
  MayBeOut = true;
  Reply R;
  R.Failure = ResultCode::ConnectFailed;
  for (const Endpoint &To : std::vector(C.addresses())) {
    R = lookUp(To);
    if (known(R) != Known::Unknown)
      break;
  }
  return verdict(known(R), R);
}

} // namespace apps
