//===- Options.h - The daemon's command line --------------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_DAEMON_OPTIONS_H
#define SHALLOTSHIFT_DAEMON_OPTIONS_H

#include "shallotshift/base.h"

#include <string>

namespace shallot {

struct Options {
  enum class Action : std::uint8_t {
    Run,
    Check,
    Front,      ///< Forward for a deployment (package front).
    CheckFront, ///< Only check the settings for that.
    Help,
    Version,
  };

  Action What = Action::Run;
  std::string SettingsPath;

  /// Reads the arguments with getopt_long. Fails with BadOption.
  static Result<Options> parse(int Argc, char **Argv);
};

/// What --help prints.
std::string helpText();

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_OPTIONS_H
