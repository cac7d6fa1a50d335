//===- FleetCommands.h - status, explain, entry -----------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_CTL_FLEETCOMMANDS_H
#define SHALLOTSHIFT_CTL_FLEETCOMMANDS_H

#include "ctl/DaemonCalls.h"

namespace shallot {

/// One daemon: what the fleet says of it and what it says of itself.
struct DaemonStatus {
  MemberEntry Member;
  Attempt<nlohmann::json> Said;

  /// The generation that it serves; 0 when it did not say.
  std::uint64_t generation() const;
  /// Counted in "N of M": neither failed nor stopped.
  bool counts() const;
};

/// Queries the members and then each of them.
Result<std::vector<DaemonStatus>> askFleet(Session &S);

/// The counted daemons whose generation is below \p Wanted, with the reason.
std::vector<std::string> behind(const std::vector<DaemonStatus> &All,
                                std::uint64_t Wanted);

/// "5 of 6 daemons have generation 12, behind: ..".
std::string summaryLine(const std::vector<DaemonStatus> &All,
                        std::uint64_t Wanted);

/// The report of `status`; NotEverywhere when one is behind.
Report statusReport(const std::vector<DaemonStatus> &All);

Result<Report> runStatus(Session &S);
Result<Report> runExplain(Session &S);
Result<Report> runEntry(Session &S);

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_FLEETCOMMANDS_H
