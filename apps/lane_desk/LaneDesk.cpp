//===- LaneDesk.cpp - A slot check and a reservation ------------*- C++ -*-===//
//
// A reception desk looks for free slots; a coach reserves one. The reservation
// runs at most once however often it is sent, and the program says of it
// exactly what is known: ran, not run, or unknown.
//
//===----------------------------------------------------------------------===//
#include "LaneDesk.h"

#include <fmt/format.h>
#include <getopt.h>

using namespace shallot;
using namespace apps;

namespace {

constexpr std::string_view Help =
    "Usage: lane_desk check --entry ADDR[,ADDR] [OPTION...]\n"
    "       lane_desk reserve --entry ADDR[,ADDR] --lane N --block NAME\n"
    "       lane_desk ask --entry ADDR[,ADDR] --key KEY\n"
    "\n"
    "check looks for slots. reserve looks first and then reserves, with a key\n"
    "that it mints, or again with the --key of an earlier try. ask tells what\n"
    "became of a key and never starts anything.\n"
    "\n"
    "  -e, --entry ADDR[,ADDR]  any daemons of the fleet (needed)\n"
    "  -z, --zone ZONE          the availability zone that we are in\n"
    "  -t, --tenant NAME        default banlangd\n"
    "  -l, --lane N             the lane to reserve\n"
    "  -b, --block NAME         the block of time to reserve\n"
    "  -k, --key KEY            the key of an earlier reserve\n"
    "  -w, --first-wait-ms N    how long to wait for the first reply before\n"
    "                           finding out; default 2000\n"
    "  -h, --help               this text\n"
    "\n"
    "Exit codes:\n"
    "  0  answered completely, or ran\n"
    "  1  check: answered, and pools that are missing are named\n"
    "  2  the command line\n"
    "  3  not run, and it will not\n"
    "  4  check: no answer\n"
    "  5  unknown: ask again with the same key\n"
    "  6  no daemon could be reached; nothing was sent\n"
    "  7  it ran, and the desk reported a failure\n"
    "\n"
    "Example:\n"
    "  lane_desk reserve --entry 127.0.1.1:7100 --lane 4 --block tuesday-18\n";

Result<long> number(const char *Text, const char *What) {
  char *End = nullptr;
  long Value = std::strtol(Text, &End, 10);
  constexpr long Most = 60000;
  if (*Text == 0 || *End != 0 || Value < 1 || Value > Most)
    return fail(ResultCode::BadOption,
                fmt::format("{}: '{}' is not 1 to {}", What, Text, Most));
  return Value;
}

Result<void> readOption(int C, char **Argv, Options &O) {
  switch (C) {
  case 'e': {
    BOOST_LEAF_ASSIGN(O.Where.Known, readAddresses(optarg));
    return {};
  }
  case 'z':
    O.Where.Zone = optarg;
    return {};
  case 't':
    O.Tenant = optarg;
    return {};
  case 'l': {
    BOOST_LEAF_ASSIGN(O.Lane, number(optarg, "--lane"));
    return {};
  }
  case 'b':
    O.Block = optarg;
    return {};
  case 'k':
    O.Key = optarg;
    return {};
  case 'w': {
    BOOST_LEAF_AUTO(Ms, number(optarg, "--first-wait-ms"));
    O.FirstWait = Millis(Ms);
    return {};
  }
  case 'h':
    O.Help = true;
    return {};
  default:
    return fail(ResultCode::BadOption,
                fmt::format("'{}' is not an option or lacks its value",
                            Argv[optind - 1]));
  }
}

Result<void> checkOptions(const Options &O) {
  if (O.Command != "check" && O.Command != "reserve" && O.Command != "ask")
    return fail(ResultCode::BadOption,
                fmt::format("'{}' is not check, reserve or ask", O.Command));
  if (O.Where.Known.empty())
    return fail(ResultCode::BadOption, "--entry ADDR is needed");
  if (O.Command == "reserve" && (O.Lane == 0 || O.Block.empty()))
    return fail(ResultCode::BadOption, "reserve needs --lane and --block");
  if (O.Command == "ask" && O.Key.empty())
    return fail(ResultCode::BadOption, "ask needs --key");
  return {};
}

Result<Options> readOptions(int Argc, char **Argv) {
  static const option Known[] = {
      {"entry", required_argument, nullptr, 'e'},
      {"zone", required_argument, nullptr, 'z'},
      {"tenant", required_argument, nullptr, 't'},
      {"lane", required_argument, nullptr, 'l'},
      {"block", required_argument, nullptr, 'b'},
      {"key", required_argument, nullptr, 'k'},
      {"first-wait-ms", required_argument, nullptr, 'w'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  Options O;
  opterr = 0;
  for (int C;
       (C = getopt_long(Argc, Argv, "e:z:t:l:b:k:w:h", Known, nullptr)) != -1;)
    BOOST_LEAF_CHECK(readOption(C, Argv, O));
  if (O.Help)
    return O;
  if (optind + 1 != Argc)
    return fail(ResultCode::BadOption, "name one of check, reserve and ask");
  O.Command = Argv[optind];
  BOOST_LEAF_CHECK(checkOptions(O));
  return O;
}

/// The desk cannot wait: a partial answer will do, if it says what is missing.
int check(Caller &C, const Options &O) {
  Json Body{{"tenant", O.Tenant},
            {"class", "reception-desk"},
            {"group", "hall-desk"},
            {"query", {{"block", O.Block}}}};
  constexpr Duration Timeout = Seconds(1);
  Reply R;
  R.Failure = ResultCode::ConnectFailed;
  for (const Endpoint &To : std::vector(C.addresses())) {
    R = C.post(To, "/v1/search", Body, Timeout);
    if (R.arrived() && !(R.saysNotRun() && R.Status >= 500))
      break; // Else the next address: a search may be asked twice.
  }
  if (!R.arrived()) {
    fmt::print("slots: NO ANSWER: {}\n", R.problem());
    return ExitNoDaemon;
  }
  if (R.Status != 200) {
    fmt::print("slots: {}: {}\n", R.saysNotRun() ? "NOT RUN" : "NO ANSWER",
               R.problem());
    return R.saysNotRun() ? ExitNotRun : ExitNoAnswer;
  }
  bool Complete = R.text("outcome") == "complete";
  fmt::print("slots: {}, {} found\n{}", Complete ? "COMPLETE" : "PARTIAL",
             listIn(R.Body, "records").size(),
             coverageLines(R.Body, "schedules"));
  return Complete ? ExitDone : ExitPartial;
}

} // namespace

// What is left to throw is a lack of memory, and that may end the program.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int Argc, char **Argv) {
  auto O = attempt([&] { return readOptions(Argc, Argv); });
  if (!O) {
    fmt::print(stderr, "lane_desk: {}; try --help\n", O.error().Detail);
    return ExitUsage;
  }
  if (O->Help) {
    fmt::print("{}", Help);
    return ExitDone;
  }
  Caller C(O->Where);
  if (O->Command == "check")
    return check(C, *O);
  Reservation R(C, *O);
  if (O->Command == "ask")
    return R.ask();
  check(C, *O); // For the coach to see; the desk itself decides what is free.
  return R.run();
}
