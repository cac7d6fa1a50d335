#include "action/ClaimRecord.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace shallot {

namespace {

using Json = nlohmann::json;

Json toJson(const ActionOutcome &O) {
  return Json{{"code", static_cast<std::uint16_t>(O.Code)},
              {"status", O.UpstreamStatus},
              {"body", O.Body},
              {"dropped", O.BodyDropped}};
}

ActionOutcome outcomeFrom(const Json &J) {
  ActionOutcome O;
  auto Code = resultCodeFromNumber(J.at("code").get<std::uint16_t>());
  O.Code = Code.value_or(ResultCode::OutcomeUnknown);
  O.UpstreamStatus = J.at("status").get<int>();
  O.Body = J.at("body").get<std::string>();
  O.BodyDropped = J.at("dropped").get<bool>();
  return O;
}

leaf::error_id unreadable(std::string_view Why) {
  return fail(ResultCode::PlatformBadReply,
              fmt::format("claim of an action: {}", Why));
}

} // namespace

std::string encode(const ClaimRecord &R) {
  Json J{{"daemon", R.Owner.str()},
         {"nonce", R.Nonce},
         {"digest", R.Digest},
         {"at", R.At}};
  if (R.Outcome)
    J["outcome"] = toJson(*R.Outcome);
  try {
    return J.dump();
  } catch (const Json::exception &) {
    // The reply is not UTF-8, so JSON cannot hold it. Replacing what does not
    // fit would replay something else than the first outcome.
    J["outcome"]["body"] = "";
    J["outcome"]["dropped"] = true;
    return J.dump(-1, ' ', false, Json::error_handler_t::replace);
  }
}

Result<ClaimRecord> decodeClaim(std::string_view Text) {
  ClaimRecord R;
  std::string Daemon;
  try {
    Json J = Json::parse(Text);
    Daemon = J.at("daemon").get<std::string>();
    R.Nonce = J.at("nonce").get<std::string>();
    R.Digest = J.at("digest").get<std::string>();
    R.At = J.at("at").get<WallTime>();
    if (J.contains("outcome"))
      R.Outcome = outcomeFrom(J.at("outcome"));
  } catch (const Json::exception &E) {
    return unreadable(E.what());
  }
  auto Owner = attempt([&] { return DaemonId::parse(Daemon); });
  if (!Owner)
    return unreadable(Owner.error().Detail);
  R.Owner = *Owner;
  return R;
}

std::string claimPath(const Tenant &Owner, const std::string &Key) {
  return fmt::format("{}{}/{}", ClaimPrefix, Owner.str(), contentHash(Key));
}

} // namespace shallot
