//===- PlatformHosts.h - The platform's lagging list of hosts ---*- C++ -*-===//
//
// The list that callers read is an older one: a change shows only after the lag
// that the test has set.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_PLATFORMHOSTS_H
#define SHALLOTSHIFT_STANDINS_PLATFORMHOSTS_H

#include "standins/Json.h"

#include <map>

namespace shallot::standins {

class PlatformHosts {
public:
  /// Adds or replaces a host, as {"host":..,"ip":..,..,"state":..}. Fails with
  /// MissingField when it has no "host".
  Result<void> put(const Json &Host);
  /// Sets the state of a host; "gone" takes it off the list. Fails with
  /// UnknownObject.
  Result<void> setState(const std::string &Host, const std::string &State);
  /// Makes the true list the one that is read.
  void publish();

  std::uint64_t version() const { return Version; }
  /// The list as callers read it.
  Json shown() const;

private:
  std::map<std::string, Json> Truth;
  std::map<std::string, Json> Shown;
  std::uint64_t Version = 1;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_PLATFORMHOSTS_H
