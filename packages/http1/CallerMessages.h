//===- CallerMessages.h - Callers' requests and their answers ---*- C++ -*-===//
#ifndef SHALLOTSHIFT_HTTP1_CALLERMESSAGES_H
#define SHALLOTSHIFT_HTTP1_CALLERMESSAGES_H

#include "shallotshift/net.h"

#include <string>
#include <string_view>

namespace shallot {

/// A whole request of a caller.
struct CallerRequest {
  std::string Method;
  std::string Target; ///< Path and query, as they came.
  HttpHeaders Headers;
  std::string Body;
  Instant Arrived; ///< When its last byte was read.

  std::string_view path() const;
};

struct CallerReply {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
  bool Close = false; ///< Close the connection behind it.
};

/// An answer of our own as a problem document (net/Problem.h). A \p RetryAfter
/// above 0 is said to the millisecond: a whole second is more than most callers
/// have left.
CallerReply callerProblem(ResultCode Code, std::string Detail,
                          std::string Instance = {},
                          Duration RetryAfter = Duration(0));

} // namespace shallot

#endif // SHALLOTSHIFT_HTTP1_CALLERMESSAGES_H
