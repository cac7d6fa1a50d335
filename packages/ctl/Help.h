//===- Help.h - The commands of shallotctl and their help -------*- C++ -*-===//
#ifndef SHALLOTSHIFT_CTL_HELP_H
#define SHALLOTSHIFT_CTL_HELP_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace shallot {

/// One command: how it is called, what it does, what it needs.
struct CommandHelp {
  std::string_view Name;
  std::string_view Arguments; ///< As shown in the usage line.
  std::string_view Does;
  std::string_view Examples; ///< Whole lines.
  std::size_t MinArguments = 0;
  std::size_t MaxArguments = 0;
  bool NeedsPlatform = false;
  bool NeedsDaemons = false;
  bool NeedsFile = false;
};

std::span<const CommandHelp> allCommands();
/// The command of this name, or null.
const CommandHelp *findCommand(std::string_view Name);

/// The help of one command, or of the whole tool when \p Command is empty.
std::string helpFor(std::string_view Command);

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_HELP_H
