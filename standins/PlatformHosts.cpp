#include "standins/PlatformHosts.h"

namespace shallot::standins {

Result<void> PlatformHosts::put(const Json &Host) {
  if (!Host.is_object() || !Host.contains("host") || !Host["host"].is_string())
    return fail(ResultCode::MissingField, "host");
  Truth[Host["host"].get<std::string>()] = Host;
  return {};
}

Result<void> PlatformHosts::setState(const std::string &Host,
                                     const std::string &State) {
  auto Found = Truth.find(Host);
  if (Found == Truth.end())
    return fail(ResultCode::UnknownObject, "host " + Host);
  if (State == "gone")
    Truth.erase(Found);
  else
    Found->second["state"] = State;
  return {};
}

void PlatformHosts::publish() {
  if (Shown == Truth)
    return;
  Shown = Truth;
  ++Version;
}

Json PlatformHosts::shown() const {
  Json List = Json::array();
  for (const auto &[Name, Host] : Shown)
    List.push_back(Host);
  return {{"version", Version}, {"hosts", List}};
}

} // namespace shallot::standins
