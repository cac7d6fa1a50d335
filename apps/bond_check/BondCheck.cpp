//===- BondCheck.cpp - A tender clerk's bid-bond check ----------*- C++ -*-===//
//
// Searches the books of the underwriting desk for each contractor and prints
// the cover that they show, or says which books are missing. A partial answer
// is never shown as a complete one: a missing arrears record costs more than a
// slow answer.
//
//===----------------------------------------------------------------------===//
#include "Caller.h"

#include <fmt/format.h>
#include <getopt.h>

using namespace shallot;
using namespace apps;

namespace {

/// Longer than the class's own deadline, so that the daemon's answer and not
/// our impatience ends a search.
constexpr Duration SearchTimeout = Seconds(2);

struct Options {
  CallerSettings Where{{}, "clerk", ""};
  std::string Tenant = "khan-uul";
  std::string Class = "tender-clerk";
  std::string Group = "underwriting-desk";
  std::vector<std::string> Contractors;
  bool Help = false;
};

constexpr std::string_view Help =
    "Usage: bond_check --entry ADDR[,ADDR] [OPTION...] CONTRACTOR...\n"
    "\n"
    "  -e, --entry ADDR[,ADDR]  any daemons of the fleet (needed)\n"
    "  -k, --key NAME           a stable name of this clerk; default clerk\n"
    "  -z, --zone ZONE          the availability zone that the clerk is in\n"
    "  -t, --tenant NAME        default khan-uul\n"
    "  -c, --class NAME         default tender-clerk\n"
    "  -g, --group NAME         the books to search; default "
    "underwriting-desk\n"
    "  -h, --help               this text\n"
    "\n"
    "Exit codes, the worst of all contractors:\n"
    "  0  every answer is complete\n"
    "  1  an answer is partial; the missing books are named\n"
    "  2  the command line\n"
    "  3  refused, not run: come back later\n"
    "  4  no answer that may be shown; missing books are named if known\n"
    "  6  no daemon could be reached\n"
    "\n"
    "Example:\n"
    "  bond_check --entry 127.0.1.1:7100 --zone darkhan 'Altan "
    "Construction'\n";

Result<Options> readOptions(int Argc, char **Argv) {
  static const option Known[] = {{"entry", required_argument, nullptr, 'e'},
                                 {"key", required_argument, nullptr, 'k'},
                                 {"zone", required_argument, nullptr, 'z'},
                                 {"tenant", required_argument, nullptr, 't'},
                                 {"class", required_argument, nullptr, 'c'},
                                 {"group", required_argument, nullptr, 'g'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {nullptr, 0, nullptr, 0}};
  Options O;
  opterr = 0;
  for (int C;
       (C = getopt_long(Argc, Argv, "e:k:z:t:c:g:h", Known, nullptr)) != -1;) {
    switch (C) {
    case 'e': {
      BOOST_LEAF_ASSIGN(O.Where.Known, readAddresses(optarg));
      break;
    }
    case 'k':
      O.Where.Key = optarg;
      break;
    case 'z':
      O.Where.Zone = optarg;
      break;
    case 't':
      O.Tenant = optarg;
      break;
    case 'c':
      O.Class = optarg;
      break;
    case 'g':
      O.Group = optarg;
      break;
    case 'h':
      O.Help = true;
      return O;
    default:
      return fail(ResultCode::BadOption,
                  fmt::format("'{}' is not an option or lacks its value",
                              Argv[optind - 1]));
    }
  }
  O.Contractors.assign(Argv + optind, Argv + Argc);
  if (O.Where.Known.empty())
    return fail(ResultCode::BadOption, "--entry ADDR is needed");
  if (O.Contractors.empty())
    return fail(ResultCode::BadOption, "no contractor was named");
  return O;
}

/// A refusal that says "not run", a failed connection and a lost reply are all
/// worth another address: a search changes nothing, so asking twice is safe.
/// What is wrong with the request itself (4xx) is wrong everywhere.
bool worthAnother(const Reply &R) {
  return !R.arrived() || (R.saysNotRun() && R.Status >= 500);
}

Reply search(Caller &C, const Options &O, const std::string &Contractor) {
  Json Body{{"tenant", O.Tenant},
            {"class", O.Class},
            {"group", O.Group},
            {"query", {{"contractor", Contractor}}}};
  Reply Last;
  Last.Failure = ResultCode::ConnectFailed;
  for (const Endpoint &To : std::vector(C.addresses())) {
    Last = C.post(To, "/v1/search", Body, SearchTimeout);
    if (!worthAnother(Last))
      return Last;
    fmt::print(stderr, "bond_check: {}: {}; trying the next address\n",
               To.str(), Last.problem());
  }
  if (!Last.arrived())
    C.forget(); // They may be out of date: ask anew for the next contractor.
  return Last;
}

void printCover(const Reply &R) {
  for (const Json &Record : listIn(R.Body, "records")) {
    Reply Row{ResultCode::Ok, 0, Record};
    fmt::print("  {:<24} {}\n", Row.text("book"), Row.text("id"));
  }
}

/// Says what was learned of one contractor, and gives the exit code for it.
int report(const std::string &Contractor, const Reply &R) {
  if (!R.arrived()) {
    fmt::print("{}: NO ANSWER: no daemon could be reached ({})\n", Contractor,
               R.problem());
    return ExitNoDaemon;
  }
  if (R.Status == 200 && R.text("outcome") == "complete") {
    fmt::print("{}: COMPLETE\n{}", Contractor, coverageLines(R.Body, "books"));
    printCover(R);
    return ExitDone;
  }
  if (R.Status == 200 && R.text("outcome") == "partial") {
    fmt::print("{}: PARTIAL, not to be relied on alone\n{}", Contractor,
               coverageLines(R.Body, "books"));
    printCover(R);
    return ExitPartial;
  }
  if (R.saysNotRun()) {
    fmt::print("{}: NOT RUN: {}\n", Contractor, R.problem());
    return ExitNotRun;
  }
  fmt::print("{}: NO ANSWER: {}\n{}", Contractor, R.problem(),
             coverageLines(R.Body, "books"));
  return ExitNoAnswer;
}

} // namespace

int main(int Argc, char **Argv) {
  auto O = attempt([&] { return readOptions(Argc, Argv); });
  if (!O) {
    fmt::print(stderr, "bond_check: {}; try --help\n", O.error().Detail);
    return ExitUsage;
  }
  if (O->Help) {
    fmt::print("{}", Help);
    return ExitDone;
  }
  Caller C(O->Where);
  int Worst = ExitDone;
  for (const std::string &Contractor : O->Contractors)
    Worst = std::max(Worst, report(Contractor, search(C, *O, Contractor)));
  fmt::print("the addresses were asked for {} time(s)\n", C.lookups());
  return Worst;
}
