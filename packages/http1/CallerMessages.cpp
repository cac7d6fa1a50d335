//===- CallerMessages.cpp -------------------------------------------------===//
#include "http1/CallerMessages.h"

#include <fmt/format.h>

namespace shallot {

CallerReply callerProblem(ResultCode Code, std::string Detail,
                          std::string Instance, Duration RetryAfter) {
  ServerReply P = problemReply(Code, std::move(Detail), std::move(Instance));
  CallerReply R;
  R.Status = P.Status;
  R.Headers = std::move(P.Headers);
  R.Headers.push_back({"Content-Type", std::move(P.ContentType)});
  if (RetryAfter > Duration(0))
    R.Headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", toMillisF(RetryAfter) / 1000)});
  R.Body = std::move(P.Body);
  return R;
}

std::string_view CallerRequest::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

} // namespace shallot
