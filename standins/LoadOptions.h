//===- LoadOptions.h - The command line of shallot-load ---------*- C++ -*-===//
#ifndef SHALLOTSHIFT_STANDINS_LOADOPTIONS_H
#define SHALLOTSHIFT_STANDINS_LOADOPTIONS_H

#include "shallotshift/base.h"

#include <string>
#include <vector>

namespace shallot::standins {

struct LoadOptions {
  std::vector<Endpoint> Entries;
  std::vector<Endpoint> UpstreamControls; ///< To check what upstreams saw.
  std::vector<std::string> Documents;     ///< Operators' files, for checks.
  std::string Tenant;
  std::string Class;
  std::string Group;
  std::vector<std::string> Services;
  std::string Zone;
  double Rate = 10;        ///< Searches a second.
  double ActionRate = 0;   ///< Actions a second.
  bool MintedKeys = false; ///< Actions get their keys from the daemons.
  double RunSeconds = 5;   ///< How long to send for.
  unsigned Callers = 8;    ///< Each with a key and an entry cache of its own.
  unsigned Connections = 256;   ///< Requests under way at once, at most.
  std::uint64_t DeadlineMs = 0; ///< 0: the class's own.
  std::uint64_t Seed = 1;
  bool AsJson = false;
};

std::string loadHelp();
/// Fails with BadOption, OutOfRange or MissingField.
Result<LoadOptions> readLoadOptions(int Argc, char **Argv);

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_LOADOPTIONS_H
