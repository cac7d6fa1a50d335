#include "action/ActionTypes.h"

namespace shallot {

std::string actionDigest(const ServiceName &Service, std::string_view Body) {
  std::string Content = Service.str();
  Content += '\0';
  Content += Body;
  return contentHash(Content);
}

ActionOutcome refusal(const ActionRequest &R, ResultCode Code,
                      std::string Detail, Duration RetryAfter) {
  ActionOutcome O;
  O.Code = R.FirstAttempt ? Code : ResultCode::OutcomeUnknown;
  O.Detail = std::move(Detail);
  O.RetryAfter = RetryAfter;
  return O;
}

bool ranToEnd(const ActionOutcome &O) {
  return O.Code == ResultCode::Ok || O.Code == ResultCode::AlreadyRan ||
         O.Code == ResultCode::ActionFailed;
}

} // namespace shallot
