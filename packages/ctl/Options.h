//===- Options.h - The command line of shallotctl ---------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_CTL_OPTIONS_H
#define SHALLOTSHIFT_CTL_OPTIONS_H

#include "shallotshift/base.h"

#include <optional>
#include <string>
#include <vector>

namespace shallot {

struct CtlOptions {
  std::string Command;                ///< Such as "apply" or "preset use".
  std::vector<std::string> Arguments; ///< What follows the command.
  std::vector<Endpoint> Platform;
  std::vector<Endpoint> Daemons;
  std::string File; ///< "-" is standard input.
  std::string Operator;
  std::string Zone;
  std::string Key;
  bool Json = false;
  bool Help = false;
  /// Wait until all daemons have the change, at most this long.
  std::optional<Duration> Wait;
  unsigned Count = 0; ///< 0: no bound.

  /// Reads the arguments, and SHALLOT_PLATFORM, SHALLOT_DAEMONS and
  /// SHALLOT_OPERATOR where no option is given. Fails with BadOption or
  /// BadCommand.
  static Result<CtlOptions> parse(int Argc, char **Argv);
};

/// How long --wait without a number waits: the time in which a change is to be
/// in force everywhere.
inline constexpr Duration DefaultWait = Seconds(12);

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_OPTIONS_H
