#include "ctl/Options.h"

#include "ctl/Help.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>
#include <getopt.h>

namespace shallot {
namespace {

constexpr unsigned MaxWaitSeconds = 3600;
constexpr unsigned MaxCount = 1000000;

std::string environment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value ? Value : "";
}

Result<std::vector<Endpoint>> endpointsIn(std::string_view List,
                                          std::string_view What) {
  std::vector<Endpoint> All;
  while (!List.empty()) {
    auto Comma = List.find(',');
    BOOST_LEAF_AUTO(One, Endpoint::parse(List.substr(0, Comma), What));
    All.push_back(std::move(One));
    List = Comma == std::string_view::npos ? std::string_view()
                                           : List.substr(Comma + 1);
  }
  return All;
}

Result<unsigned> numberIn(std::string_view Text, std::string_view What,
                          unsigned Max) {
  unsigned Number = 0;
  auto [End, Failed] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Failed == std::errc() && End == Text.data() + Text.size() &&
      Number >= 1 && Number <= Max)
    return Number;
  return fail(ResultCode::BadOption,
              fmt::format("{}: '{}' is not a whole number from 1 to {}", What,
                          Text, Max));
}

Result<bool> isJson(std::string_view Text) {
  if (Text == "json" || Text == "text")
    return Text == "json";
  return fail(ResultCode::BadOption,
              fmt::format("--output: '{}' is neither json nor text", Text));
}

/// Takes one option that getopt_long has found.
Result<void> takeOption(CtlOptions &O, int Option, const char *Value) {
  switch (Option) {
  case 'p': {
    BOOST_LEAF_ASSIGN(O.Platform, endpointsIn(Value, "--platform"));
    return {};
  }
  case 'd': {
    BOOST_LEAF_ASSIGN(O.Daemons, endpointsIn(Value, "--daemon"));
    return {};
  }
  case 'o': {
    BOOST_LEAF_ASSIGN(O.Json, isJson(Value));
    return {};
  }
  case 'w': {
    O.Wait = DefaultWait;
    if (!Value)
      return {};
    BOOST_LEAF_AUTO(Number, numberIn(Value, "--wait", MaxWaitSeconds));
    O.Wait = Seconds(Number);
    return {};
  }
  case 'n': {
    BOOST_LEAF_ASSIGN(O.Count, numberIn(Value, "--count", MaxCount));
    return {};
  }
  case 'f':
    O.File = Value;
    return {};
  case 'O':
    O.Operator = Value;
    return {};
  case 'z': {
    BOOST_LEAF_ASSIGN(O.Zone, checkName(Value, "--zone"));
    return {};
  }
  case 'k': {
    BOOST_LEAF_ASSIGN(O.Key, checkName(Value, "--key"));
    return {};
  }
  default:
    O.Help = true;
    return {};
  }
}

Result<void> takeEnvironment(CtlOptions &O) {
  if (O.Platform.empty()) {
    BOOST_LEAF_ASSIGN(O.Platform, endpointsIn(environment("SHALLOT_PLATFORM"),
                                              "SHALLOT_PLATFORM"));
  }
  if (O.Daemons.empty()) {
    BOOST_LEAF_ASSIGN(O.Daemons, endpointsIn(environment("SHALLOT_DAEMONS"),
                                             "SHALLOT_DAEMONS"));
  }
  for (const char *Name : {"SHALLOT_OPERATOR", "USER"})
    if (O.Operator.empty())
      O.Operator = environment(Name);
  if (O.Operator.empty())
    O.Operator = "unknown";
  BOOST_LEAF_CHECK(checkName(O.Operator, "--operator"));
  return {};
}

/// Commands of two words, such as "preset use".
Result<void> takeCommand(CtlOptions &O, std::vector<std::string> Arguments) {
  if (Arguments.empty() && O.Help)
    return {};
  if (Arguments.empty())
    return fail(ResultCode::BadCommand,
                "a command is missing; `shallotctl --help` lists them");
  std::ptrdiff_t Used = 1;
  O.Command = Arguments[0];
  if (!findCommand(O.Command) && Arguments.size() > 1) {
    O.Command += " " + Arguments[1];
    Used = 2;
  }
  if (!findCommand(O.Command))
    return fail(ResultCode::BadCommand,
                fmt::format("'{}' is not a command; `shallotctl --help` lists "
                            "them",
                            fmt::join(Arguments, " ")));
  O.Arguments.assign(Arguments.begin() + Used, Arguments.end());
  return {};
}

} // namespace

Result<CtlOptions> CtlOptions::parse(int Argc, char **Argv) {
  static constexpr std::array<option, 11> Known{
      {{"platform", required_argument, nullptr, 'p'},
       {"daemon", required_argument, nullptr, 'd'},
       {"file", required_argument, nullptr, 'f'},
       {"output", required_argument, nullptr, 'o'},
       {"operator", required_argument, nullptr, 'O'},
       {"wait", optional_argument, nullptr, 'w'},
       {"zone", required_argument, nullptr, 'z'},
       {"key", required_argument, nullptr, 'k'},
       {"count", required_argument, nullptr, 'n'},
       {"help", no_argument, nullptr, 'h'},
       {nullptr, 0, nullptr, 0}}};
  CtlOptions O;
  optind = 0; // Start afresh, also when this is called a second time.
  opterr = 0;
  for (int Option; (Option = getopt_long(Argc, Argv, ":p:d:f:o:n:h",
                                         Known.data(), nullptr)) != -1;) {
    if (Option == ':')
      return fail(ResultCode::BadOption,
                  fmt::format("{} needs a value", Argv[optind - 1]));
    if (Option == '?')
      return fail(
          ResultCode::BadOption,
          fmt::format("'{}' is not an option; try --help", Argv[optind - 1]));
    BOOST_LEAF_CHECK(takeOption(O, Option, optarg));
  }
  BOOST_LEAF_CHECK(takeCommand(O, {Argv + optind, Argv + Argc}));
  BOOST_LEAF_CHECK(takeEnvironment(O));
  return O;
}

} // namespace shallot
