//===- UpstreamStandin.cpp - Many stand-in replicas in one process --------===//
//
// upstream-standin --listen 127.0.1.201:7400 --config FILE
//
// FILE is a list of replicas (UpstreamSettings.h); each listens on an address
// of its own. The address after --listen is for tests:
//   GET  /control/stats    counts of each replica, by name, and their sums
//   GET  /control/actions  every action that was run, in order
//   POST /control/seen     {"ids":[..]}: those request ids that came here
//   POST /control          {"upstream": NAME or "*" or "PREFIX*", faults}
//
//===----------------------------------------------------------------------===//
#include "standins/StandinMain.h"
#include "standins/UpstreamReplica.h"

#include <fmt/format.h>

using namespace shallot;
using namespace shallot::standins;

namespace {

using Replicas = std::vector<std::unique_ptr<UpstreamReplica>>;

bool matches(std::string_view Pattern, std::string_view Name) {
  if (Pattern.ends_with('*'))
    return Name.starts_with(Pattern.substr(0, Pattern.size() - 1));
  return Pattern == Name;
}

Result<void> controlAll(Replicas &All, const Json &Orders) {
  std::string Pattern;
  BOOST_LEAF_CHECK(readField(Orders, "upstream", Pattern));
  unsigned Matched = 0;
  for (auto &R : All) {
    if (!matches(Pattern, R->settings().Name))
      continue;
    ++Matched;
    BOOST_LEAF_CHECK(R->control(Orders));
  }
  if (Matched == 0)
    return fail(ResultCode::UnknownObject, "upstream: '" + Pattern + "'");
  return {};
}

/// Largest values of maxima, sums of counts.
Json totalsOf(const Json &Each) {
  Json Totals = Json::object();
  for (const auto &[Upstream, Stats] : Each.items())
    for (const auto &[Name, Value] : Stats.items()) {
      std::uint64_t Sum = Totals.value(Name, std::uint64_t{0});
      std::uint64_t One = Value.get<std::uint64_t>();
      Totals[Name] = Name.ends_with("_max") ? std::max(Sum, One) : Sum + One;
    }
  return Totals;
}

Json statsOf(const Replicas &All) {
  Json Each = Json::object();
  for (const auto &R : All)
    Each[R->settings().Name] = R->stats();
  return {{"upstreams", Each}, {"totals", totalsOf(Each)}};
}

Json actionsOf(const Replicas &All) {
  Json Out = Json::array();
  for (const auto &R : All)
    for (const Json &Action : R->actions())
      Out.push_back(Action);
  return Out;
}

Result<Json> seenOf(const Replicas &All, const std::string &Body) {
  BOOST_LEAF_AUTO(Asked, parseJson(Body));
  std::vector<std::string> Ids;
  BOOST_LEAF_CHECK(readField(Asked, "ids", Ids));
  Json Seen = Json::array();
  for (const std::string &Id : Ids)
    for (const auto &R : All)
      if (R->sawRequest(Id)) {
        Seen.push_back(Id);
        break;
      }
  return Json{{"seen", Seen}};
}

Result<Json> answerControl(Replicas &All, const WireRequest &R) {
  if (R.Path == "/control/stats")
    return statsOf(All);
  if (R.Path == "/control/actions")
    return actionsOf(All);
  if (R.Path == "/control/seen")
    return seenOf(All, R.Body);
  if (R.Path != "/control")
    return fail(ResultCode::UnknownPath, R.Path);
  BOOST_LEAF_AUTO(Orders, parseJson(R.Body));
  BOOST_LEAF_CHECK(controlAll(All, Orders));
  return Json::object();
}

void onControl(Replicas &All, const WireConnectionPtr &C,
               const WireRequest &R) {
  Attempt<Json> Outcome = attempt([&] { return answerControl(All, R); });
  WireReply Reply;
  if (Outcome)
    Reply.Body = Outcome->dump();
  else
    Reply.Body = Json{{"title", Outcome.error().Detail}}.dump();
  Reply.Status = Outcome ? 200 : 400;
  C->reply(Reply);
}

Result<void> serve(const StandinOptions &O) {
  BOOST_LEAF_AUTO(At, Endpoint::parse(O.Listen, "--listen"));
  BOOST_LEAF_AUTO(Config, readJsonFile(O.File));
  BOOST_LEAF_AUTO(List, readUpstreamList(Config));
  asio::io_context Io;
  Replicas All;
  for (UpstreamSettings &S : List) {
    All.push_back(std::make_unique<UpstreamReplica>(Io, std::move(S)));
    BOOST_LEAF_CHECK(All.back()->listen());
  }
  WireServer Control(
      Io, At,
      {.OnOpen = [] { return true; },
       .OnRequest = [&](const WireConnectionPtr &C,
                        const WireRequest &R) { onControl(All, C, R); },
       .OnClose = [](const WireConnectionPtr &) {}});
  BOOST_LEAF_CHECK(Control.listen());
  fmt::print(stderr, "upstream-standin: {} replicas, control on {}\n",
             All.size(), At.str());
  runUntilSignal(Io);
  return {};
}

} // namespace

int main(int Argc, char **Argv) {
  return standinMain(Argc, Argv, "config", serve);
}
