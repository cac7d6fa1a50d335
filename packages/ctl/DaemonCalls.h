//===- DaemonCalls.h - Asking daemons ---------------------------*- C++ -*-===//
//
// GET requests to the daemons' interface (docs/API.md), to one that answers or
// to all of them with a bound on how many at a time.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_CTL_DAEMONCALLS_H
#define SHALLOTSHIFT_CTL_DAEMONCALLS_H

#include "ctl/Session.h"

#include <string>
#include <vector>

namespace shallot {

/// Daemons asked at a time. 1,700 daemons at 64 a time take a second or two on
/// a wide-area network and need few sockets.
inline constexpr std::size_t MaxAskedAtOnce = 64;

/// A daemon as GET /v1/members names it.
struct MemberEntry {
  std::string Daemon;
  std::string State;
  std::string Zone;
  Endpoint Http;

  friend bool operator==(const MemberEntry &, const MemberEntry &) = default;
};

/// The members in the reply \p Doc. Fails with PeerBadMessage.
Result<std::vector<MemberEntry>> membersIn(const nlohmann::json &Doc);

/// The JSON of \p Reply, or the error that it stands for. A problem document
/// (RFC 9457) keeps its own code.
Attempt<nlohmann::json> answerIn(const HttpReply &Reply, const Endpoint &From);

/// Queries the given daemons in turn until one answers. Fails with
/// PeerUnreachable or the last one's error.
Result<nlohmann::json> askAny(Session &S, const std::string &Path);

/// Queries all of \p Whom at once; the answers are in the same order.
std::vector<Attempt<nlohmann::json>>
askAll(Session &S, const std::vector<Endpoint> &Whom, const std::string &Path);

/// The fleet as the first daemon that answers sees it.
Result<std::vector<MemberEntry>> askMembers(Session &S);

} // namespace shallot

#endif // SHALLOTSHIFT_CTL_DAEMONCALLS_H
