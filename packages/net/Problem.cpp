//===- Problem.cpp --------------------------------------------------------===//
#include "net/Problem.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace shallot {

namespace {

/// RFC 9457 wants a URI; a relative one needs no domain of ours.
constexpr std::string_view TypePrefix = "/errors#";

} // namespace

std::string_view effectText(RequestEffect Effect) {
  switch (Effect) {
  case RequestEffect::Complete:
    return "complete";
  case RequestEffect::NotRun:
    return "not run";
  case RequestEffect::Idempotent:
    return "ask again";
  case RequestEffect::Unknown:
    break;
  }
  return "unknown";
}

ServerReply problemReply(ResultCode Code, std::string Detail,
                         std::string Instance, Duration RetryAfter) {
  const ResultCodeInfo &Info = infoOf(Code);
  nlohmann::ordered_json Body;
  Body["type"] = std::string(TypePrefix) + codeLabel(Code);
  Body["title"] = std::string(Info.Text);
  Body["status"] = Info.HttpStatus;
  Body["code"] = codeLabel(Code);
  Body["effect"] = std::string(effectText(Info.Effect));
  Body["detail"] = std::move(Detail);
  if (!Instance.empty())
    Body["instance"] = std::move(Instance);
  ServerReply Reply;
  Reply.Status = Info.HttpStatus;
  Reply.ContentType = ProblemContentType;
  if (RetryAfter > Duration(0)) {
    Seconds Whole = std::chrono::ceil<Seconds>(RetryAfter);
    Reply.Headers.push_back({"Retry-After", std::to_string(Whole.count())});
    Body["retry_after_ms"] = std::chrono::ceil<Millis>(RetryAfter).count();
  }
  // A detail may quote bytes from outside that are not UTF-8.
  Reply.Body = Body.dump(-1, ' ', false,
                         nlohmann::ordered_json::error_handler_t::replace);
  return Reply;
}

} // namespace shallot
