#include "standins/LoadRun.h"

#include <cmath>
#include <fmt/format.h>

namespace shallot::standins {

namespace {

/// How much longer than the longest deadline a caller waits for the answer:
/// above it the answer counts as never given.
constexpr Duration AnswerGrace = Seconds(3);
constexpr Duration LongestDeadline = Seconds(30);
/// Wrong answers that are shown in full.
/// An action of unknown outcome is asked for again so often, at this distance.
constexpr unsigned MaxAskedAgain = 3;
constexpr std::chrono::milliseconds AskAgainAfter(400);
constexpr std::size_t MaxShownFaults = 10;
constexpr double MsPerNs = 1e-6;

double msBetween(auto From, auto To) {
  return static_cast<double>(Duration(To - From).count()) * MsPerNs;
}

} // namespace

LoadRun::LoadRun(asio::io_context &Io, LoadOptions Options, Catalogue Catalog)
    : Io(Io), O(std::move(Options)), Known(std::move(Catalog)), Client(Io),
      Rng(O.Seed) {
  Services = O.Group.empty() ? O.Services : Known.servicesOf(O.Group);
  for (unsigned N = 0; N < O.Callers; ++N)
    Callers.push_back({.Key = fmt::format("caller-{}-{}", O.Seed, N)});
}

void LoadRun::start(std::function<void()> Fn) {
  Done = std::move(Fn);
  Clock::time_point Now = Clock::now();
  SendUntil = Now + fromMillisF(O.RunSeconds * 1000);
  Figures.Seconds = O.RunSeconds;
  Chains = (O.Rate > 0) + (O.ActionRate > 0);
  if (O.Rate > 0)
    schedule(false, O.Rate, Now);
  if (O.ActionRate > 0)
    schedule(true, O.ActionRate, Now);
}

/// Open loop: the next request is due whatever became of the last one, and
/// however late this program is itself; lateness counts as the caller's wait.
void LoadRun::schedule(bool Action, double Rate, Clock::time_point Last) {
  double Gap = -std::log(1 - uniform01(Rng)) / Rate;
  Clock::time_point Due = Last + fromMillisF(Gap * 1000);
  auto Timer = std::make_shared<asio::steady_timer>(Io, Due);
  Timer->async_wait([this, Timer, Action, Rate, Due](std::error_code) {
    if (Due >= SendUntil) {
      --Chains;
      ++UnderWay;
      return finishOne();
    }
    launch(Action, Due);
    schedule(Action, Rate, Due);
  });
}

void LoadRun::launch(bool Action, Clock::time_point Due) {
  if (UnderWay >= O.Connections) {
    ++Figures.NotSent;
    return;
  }
  ++UnderWay;
  PendingPtr P = make(Action, Due);
  ++(Action ? Figures.ActionsSent : Figures.Sent);
  Caller &C = Callers[P->From];
  if (!C.Addresses.empty() && Clock::now() < C.ValidUntil)
    return send(P);
  refresh(P->From, 0, [this, P] { send(P); });
}

LoadRun::PendingPtr LoadRun::make(bool Action, Clock::time_point Due) {
  auto P = std::make_shared<Pending>();
  P->Action = Action;
  P->Due = Due;
  P->Id = fmt::format("load-{}-{}", O.Seed, ++Number);
  P->From = below(Rng, Callers.size());
  P->Query = Json{{"n", Number}}.dump();
  Json Body = {{"tenant", O.Tenant}, {"class", O.Class}};
  if (O.DeadlineMs)
    Body["deadline_ms"] = O.DeadlineMs;
  if (Action) {
    Body["service"] =
        Services.empty() ? "" : Services[below(Rng, Services.size())];
    Body["action"] = {{"reserve", Number}};
    P->Key = O.MintedKeys ? "" : P->Id;
    if (!O.MintedKeys)
      SentKeys.insert(P->Key);
  } else {
    Body["query"] = {{"n", Number}};
    if (O.Group.empty())
      Body["services"] = Services;
    else
      Body["group"] = O.Group;
  }
  P->Body = Body.dump();
  return P;
}

/// Asks for entry addresses: the ones held already first, then those of the
/// command line. On failure the old addresses are kept.
void LoadRun::refresh(std::size_t Which, std::size_t Try,
                      const std::function<void()> &Then) {
  Caller &C = Callers[Which];
  std::vector<Endpoint> All = C.Addresses;
  All.insert(All.end(), O.Entries.begin(), O.Entries.end());
  if (Try >= All.size())
    return Then();
  ++Figures.EntryReads;
  WireCall Call;
  Call.To = All[Try];
  Call.Path = fmt::format("/v1/entry?key={}&zone={}", C.Key, O.Zone);
  Call.Timeout = Seconds(1);
  Client.send(Call, [this, Which, Try, Then](const WireAnswer &A) {
    Json Body = Json::parse(A.Body, nullptr, false);
    if (A.Outcome != WireOutcome::Answered || A.Status != 200 ||
        !Body.is_object() || !Body.contains("addresses"))
      return refresh(Which, Try + 1, Then);
    Caller &C = Callers[Which];
    C.Addresses.clear();
    for (const Json &One : Body["addresses"]) {
      Attempt<Endpoint> E = attempt(
          [&] { return Endpoint::parse(One.value("address", ""), "entry"); });
      if (E)
        C.Addresses.push_back(*E);
    }
    C.ValidUntil = Clock::now() + Millis(Body.value("valid_ms", 1000));
    Then();
  });
}

void LoadRun::send(const PendingPtr &P) {
  const Caller &C = Callers[P->From];
  if (P->Try >= C.Addresses.size()) {
    ++Figures.ConnectFailed;
    return finishOne();
  }
  if (P->Action && P->Key.empty())
    return mint(P);
  WireCall Call;
  Call.Method = "POST";
  Call.To = C.Addresses[P->Try];
  Call.Path = P->Action ? "/v1/action" : "/v1/search";
  Call.Headers.push_back({"X-Request-Id", P->Id});
  if (P->Action)
    Call.Headers.push_back({"Idempotency-Key", P->Key});
  Call.Body = P->Body;
  Duration Deadline =
      O.DeadlineMs ? Duration(Millis(O.DeadlineMs)) : Duration(LongestDeadline);
  Call.Timeout = Deadline + AnswerGrace;
  Client.send(Call, [this, P](const WireAnswer &A) { onAnswer(P, A); });
}

void LoadRun::mint(const PendingPtr &P) {
  WireCall Call{.Method = "POST",
                .To = Callers[P->From].Addresses[P->Try],
                .Path = "/v1/action-keys"};
  Call.Timeout = AnswerGrace;
  Client.send(Call, [this, P](const WireAnswer &A) {
    Json Body = Json::parse(A.Body, nullptr, false);
    bool Got = A.Outcome == WireOutcome::Answered && Body.is_object() &&
               Body.contains("key");
    if (!Got) {
      // No key, no action: the next address may give one.
      ++P->Try;
      ++Figures.MovedOn;
      Callers[P->From].ValidUntil = {};
      return send(P);
    }
    P->Key = Body.value("key", "");
    SentKeys.insert(P->Key);
    send(P);
  });
}

/// An action whose outcome the caller does not know is asked for again with the
/// same key, as docs/api/actions.md says.
bool LoadRun::mayAskAgain(const PendingPtr &P, const WireAnswer &A) const {
  if (!P->Action || P->Again >= MaxAskedAgain)
    return false;
  if (A.Outcome == WireOutcome::CutOff || A.Outcome == WireOutcome::NoAnswer)
    return true;
  Json Body = Json::parse(A.Body, nullptr, false);
  return A.Outcome == WireOutcome::Answered && A.Status != 200 &&
         Body.is_object() && Body.value("effect", "") == "unknown";
}

void LoadRun::askAgain(const PendingPtr &P) {
  ++Figures.ActionsAskedAgain;
  ++P->Again;
  std::size_t Addresses = Callers[P->From].Addresses.size();
  P->Try = Addresses ? P->Again % Addresses : 0;
  auto Timer = std::make_shared<asio::steady_timer>(Io);
  Timer->expires_after(AskAgainAfter);
  Timer->async_wait([this, Timer, P](std::error_code) { send(P); });
}

void LoadRun::onAnswer(const PendingPtr &P, const WireAnswer &A) {
  if (A.Outcome == WireOutcome::CutOff)
    ++Figures.CutOff;
  if (mayAskAgain(P, A))
    return askAgain(P);
  switch (A.Outcome) {
  case WireOutcome::ConnectFailed:
    // Nothing was sent, so even an action may go to the next address.
    ++P->Try;
    ++Figures.MovedOn;
    Callers[P->From].ValidUntil = {};
    return send(P);
  case WireOutcome::CutOff:
    break;
  case WireOutcome::NoAnswer:
    ++Figures.NoAnswer;
    break;
  case WireOutcome::Answered:
    judge(P, A);
  }
  finishOne();
}

void LoadRun::judge(const PendingPtr &P, const WireAnswer &A) {
  Json Body = Json::parse(A.Body, nullptr, false);
  if (!Body.is_object()) {
    ++Figures.WrongAnswers;
    Figures.Faults.push_back(P->Id + ": the body is no JSON object");
    return;
  }
  double Ms = msBetween(P->Due, Clock::now());
  if (A.Status != 200) {
    if (Body.value("effect", "") == "not run")
      Figures.RefusalMs.push_back(Ms);
    return judgeProblem(P, Body);
  }
  if (P->Action) {
    ++Figures.ActionsRan;
    RanKeys.insert(P->Key);
    return;
  }
  Figures.LatencyMs.push_back(Ms);
  judgeSearch(P, Body);
}

void LoadRun::judgeSearch(const PendingPtr &P, const Json &Body) {
  AnswerVerdict V = checkAnswer(Body, {P->Id, Services, P->Query}, Known);
  Figures.CoverageSum += V.Coverage;
  ++(V.Partial ? Figures.Partial : Figures.Ok);
  if (V.Partial)
    for (const Json &M : Body["coverage"]["missing"])
      ++Figures.Missing[M.value("code", "none")];
  if (V.Faults.empty())
    return;
  ++Figures.WrongAnswers;
  if (Figures.Faults.size() < MaxShownFaults)
    Figures.Faults.push_back(P->Id + ": " + V.Faults.front());
}

void LoadRun::judgeProblem(const PendingPtr &P, const Json &Body) {
  ++Figures.Errors[Body.value("code", "none")];
  bool NotRun = Body.value("effect", "") == "not run";
  if (NotRun)
    NotRunIds.insert(P->Id);
  if (P->Action)
    ++(NotRun ? Figures.ActionsNotRun : Figures.ActionsUnknown);
  else
    Figures.RefusedNotRun += NotRun;
}

void LoadRun::finishOne() {
  --UnderWay;
  if (UnderWay > 0 || Chains > 0 || !Done)
    return;
  askUpstreams();
}

/// The upstreams know best what was run and what was seen.
void LoadRun::askUpstreams() {
  std::function<void()> Last = std::move(Done);
  Done = nullptr;
  if (O.UpstreamControls.empty())
    return Last();
  Questions = 2 * O.UpstreamControls.size();
  auto One = [this, Last] {
    if (--Questions > 0)
      return;
    for (const std::string &Key : RanKeys)
      Figures.ActionsLost += RanCounts[Key] == 0;
    for (const auto &[Key, Times] : RanCounts)
      Figures.ActionsDoubled += Times > 1;
    Last();
  };
  for (const Endpoint &To : O.UpstreamControls) {
    WireCall Seen{.Method = "POST", .To = To, .Path = "/control/seen"};
    Seen.Body = Json{{"ids", NotRunIds}}.dump();
    Client.send(Seen, [this, One](const WireAnswer &A) {
      Json Body = Json::parse(A.Body, nullptr, false);
      if (Body.is_object() && Body.contains("seen"))
        Figures.NotRunButSeen += Body["seen"].size();
      One();
    });
    WireCall Ran{.To = To, .Path = "/control/actions"};
    Client.send(Ran, [this, One](const WireAnswer &A) {
      judgeActions(Json::parse(A.Body, nullptr, false));
      One();
    });
  }
}

void LoadRun::judgeActions(const Json &Ran) {
  if (!Ran.is_array())
    return;
  for (const Json &Action : Ran) {
    std::string Key = Action.value("key", "");
    if (SentKeys.contains(Key))
      ++RanCounts[Key];
  }
}

} // namespace shallot::standins
