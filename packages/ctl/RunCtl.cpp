#include "ctl/RunCtl.h"

#include "ctl/ChangeCommands.h"
#include "ctl/FleetCommands.h"
#include "ctl/Help.h"
#include "ctl/QuarantineCommands.h"
#include "ctl/ReadCommands.h"

#include <array>
#include <exception>
#include <fmt/format.h>

namespace shallot {
namespace {

struct Command {
  std::string_view Name;
  Result<Report> (*Run)(Session &);
};

constexpr std::array<Command, 15> Commands{{
    {"create", runCreate},
    {"apply", runApply},
    {"delete", runDelete},
    {"show", runShow},
    {"diff", runDiff},
    {"preset use", runPresetUse},
    {"preset list", runPresetList},
    {"quarantine list", runQuarantineList},
    {"quarantine release", runQuarantineRelease},
    {"status", runStatus},
    {"watch", runWatch},
    {"explain", runExplain},
    {"change", runChange},
    {"entry", runEntry},
    {"check", runCheck},
}};

Result<Report> run(const CtlOptions &Options) {
  BOOST_LEAF_AUTO(S, Session::open(Options));
  for (const Command &C : Commands)
    if (C.Name == Options.Command)
      return C.Run(*S);
  return fail(ResultCode::Internal, "a command without a function");
}

/// Libraries throw on what nobody expected of them; an operator gets a code and
/// a text all the same.
Result<Report> runGuarded(const CtlOptions &Options) {
  try {
    return run(Options);
  } catch (const std::exception &E) {
    return fail(ResultCode::Internal, E.what());
  }
}

int finish(const Report &R, bool Json) {
  printReport(R, Json);
  return infoOf(R.Code).ExitCode;
}

} // namespace

int runCtl(int Argc, char **Argv) {
  auto Options = attempt([&] { return CtlOptions::parse(Argc, Argv); });
  if (!Options)
    return finish(errorReport(Options.error()), false);
  if (Options->Help) {
    fmt::print("{}", helpFor(Options->Command));
    return 0;
  }
  auto R = attempt([&] { return runGuarded(*Options); });
  return finish(R ? *R : errorReport(R.error()), Options->Json);
}

} // namespace shallot
