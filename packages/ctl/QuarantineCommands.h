//===- QuarantineCommands.h - quarantine list, quarantine release C++ -*-===//
#ifndef SHALLOTSHIFT_CTL_QUARANTINECOMMANDS_H
#define SHALLOTSHIFT_CTL_QUARANTINECOMMANDS_H

#include "ctl/Session.h"

namespace shallot {

/// Searches under which upstreams crashed, as the fleet's records have them.
Result<Report> runQuarantineList(Session &S);
/// Removes one record: the search is sent to upstreams again. Fails with
/// BadName, or UnknownObject when there is no such record.
Result<Report> runQuarantineRelease(Session &S);

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_QUARANTINECOMMANDS_H
