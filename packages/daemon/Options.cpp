#include "daemon/Options.h"

#include <array>
#include <fmt/format.h>
#include <getopt.h>

namespace shallot {

std::string helpText() {
  return "Usage: shallotshiftd --settings FILE\n"
         "       shallotshiftd --check FILE\n"
         "       shallotshiftd --front FILE\n"
         "       shallotshiftd --check-front FILE\n"
         "\n"
         "Serves searches and actions over the configured upstreams.\n"
         "\n"
         "  -s, --settings FILE  run with these settings\n"
         "  -c, --check FILE     check the settings, open nothing, and exit\n"
         "  -f, --front FILE     forward for the users' platform "
         "(docs/operators/\n"
         "                       front.md) with these settings\n"
         "  -F, --check-front FILE  check those settings and exit\n"
         "  -h, --help           this text\n"
         "  -V, --version        the version\n"
         "\n"
         "Example:\n"
         "  shallotshiftd --check entry-1.json && "
         "shallotshiftd --settings entry-1.json\n"
         "\n"
         "SIGTERM starts a graceful shutdown: the daemon goes on serving "
         "until\n"
         "callers have let go of its address, then finishes what it has "
         "begun.\n"
         "Exit codes are those of docs/ERRORS.md.\n";
}

Result<Options> Options::parse(int Argc, char **Argv) {
  static constexpr std::array<option, 7> Known{
      {{"settings", required_argument, nullptr, 's'},
       {"check", required_argument, nullptr, 'c'},
       {"front", required_argument, nullptr, 'f'},
       {"check-front", required_argument, nullptr, 'F'},
       {"help", no_argument, nullptr, 'h'},
       {"version", no_argument, nullptr, 'V'},
       {nullptr, 0, nullptr, 0}}};
  Options O;
  optind = 1;
  opterr = 0;
  for (int C; (C = getopt_long(Argc, Argv, ":s:c:f:F:hV", Known.data(),
                               nullptr)) != -1;) {
    switch (C) {
    case 's':
      O.SettingsPath = optarg;
      break;
    case 'c':
      O.What = Action::Check;
      O.SettingsPath = optarg;
      break;
    case 'f':
      O.What = Action::Front;
      O.SettingsPath = optarg;
      break;
    case 'F':
      O.What = Action::CheckFront;
      O.SettingsPath = optarg;
      break;
    case 'h':
      O.What = Action::Help;
      return O;
    case 'V':
      O.What = Action::Version;
      return O;
    case ':':
      return fail(ResultCode::BadOption,
                  fmt::format("{} needs a file name", Argv[optind - 1]));
    default:
      return fail(
          ResultCode::BadOption,
          fmt::format("'{}' is not an option; try --help", Argv[optind - 1]));
    }
  }
  if (optind < Argc)
    return fail(ResultCode::BadOption,
                fmt::format("'{}' was not expected; try --help", Argv[optind]));
  if (O.SettingsPath.empty())
    return fail(ResultCode::BadOption, "--settings FILE is needed; try --help");
  return O;
}

} // namespace shallot
