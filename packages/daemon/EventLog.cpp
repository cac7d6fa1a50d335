#include "daemon/EventLog.h"

namespace shallot {

void EventLog::add(LogLevel Level, FleetEvent E) {
  logEvent(Level, E.Name, {{"who", E.Who}, {"evidence", E.Evidence}});
  Entries.push_back(std::move(E));
  if (Entries.size() > MaxEvents)
    Entries.pop_front();
}

} // namespace shallot
