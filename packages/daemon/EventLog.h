//===- EventLog.h - What the fleet decided lately ---------------*- C++ -*-===//
//
// A bounded memory of the fleet's decisions and their evidence, for
// "shallotctl explain fleet": who was thought failed and why, which
// configuration came from where. Every entry goes to the log as well.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_DAEMON_EVENTLOG_H
#define SHALLOTSHIFT_DAEMON_EVENTLOG_H

#include "shallotshift/base.h"
#include "shallotshift/telemetry.h"

#include <deque>
#include <string>

namespace shallot {

/// Entries kept: with 69 failures and 800 restarts a day more than a day.
inline constexpr std::size_t MaxEvents = 4096;

struct FleetEvent {
  WallTime At = 0;
  std::string Name;
  std::string Who;
  std::string Evidence;
};

class EventLog {
public:
  void add(LogLevel Level, FleetEvent E);
  const std::deque<FleetEvent> &entries() const { return Entries; }

private:
  std::deque<FleetEvent> Entries;
};

} // namespace shallot

#endif // SHALLOTSHIFT_DAEMON_EVENTLOG_H
