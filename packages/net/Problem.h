//===- Problem.h - Refusals and errors as problem documents -----*- C++ -*-===//
//
// Every 4xx and 5xx that this program makes is an RFC 9457 document with the
// numbered code and what it proves about the request, so that a caller's
// program can tell "not run" from "unknown" without reading prose:
//
//   {"type":"/errors#SS2001","title":"refused: ..",
//    "status":503,"code":"SS2001","effect":"not run","detail":"..",
//    "retry_after_ms":250}
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_PROBLEM_H
#define SHALLOTSHIFT_NET_PROBLEM_H

#include "net/HttpTypes.h"

namespace shallot {

inline constexpr std::string_view ProblemContentType =
    "application/problem+json";

/// "complete", "not run", "ask again" or "unknown", as in docs/ERRORS.md.
std::string_view effectText(RequestEffect Effect);

/// The reply for \p Code. \p Instance, when not empty, is the request id. A
/// \p RetryAfter above 0 is sent as a Retry-After header in whole seconds,
/// rounded up, and exactly as "retry_after_ms" in the body.
ServerReply problemReply(ResultCode Code, std::string Detail,
                         std::string Instance = {},
                         Duration RetryAfter = Duration(0));

} // namespace shallot

#endif // SHALLOTSHIFT_NET_PROBLEM_H
