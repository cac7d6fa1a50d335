// Checks that an invalid settings file is refused with an error that names the
// field.
#include "shallotshift/front.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace shallot;

namespace {

nlohmann::json good() {
  return nlohmann::json::parse(R"({
    "host": "front-1", "zone": "z", "region": "r",
    "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2",
    "directory": "10.0.0.1:3", "peers": "10.0.0.1:4",
    "gossip": "10.0.0.1:5", "quotas": "10.0.0.1:8", "metrics": "10.0.0.1:6", "store": "10.0.0.9:7",
    "seeds": ["10.0.0.2:4"], "zones": {"z": "r"}, "stop_grace_s": 6,
    "drain_ms": 3000, "entry_validity_s": 5, "cpu_share": 0.25, "cores": 2,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_constant": 52})");
}

Error errorOf(const nlohmann::json &Doc) {
  return attempt([&] { return FrontSettings::parse(Doc.dump()); }).error();
}

} // namespace

TEST_CASE("a valid file is read completely") {
  auto S = attempt([&] { return FrontSettings::parse(good().dump()); });
  REQUIRE_MESSAGE(S, S.error().Detail);
  CHECK(S->Host == HostId("front-1"));
  CHECK(S->Callers == Endpoint{"10.0.0.1", 1});
  CHECK(S->Cores == 0.5);
  CHECK(S->StopGrace == Seconds(6));
  CHECK(S->Zones.at(AvailabilityZone("z")) == Region("r"));
  CHECK(S->Retries == RetryAllowance{0.2, 52, Seconds(10)});
}

TEST_CASE("every field is required and named when missing") {
  const nlohmann::json Whole = good();
  for (auto At = Whole.begin(); At != Whole.end(); ++At) {
    const std::string &Key = At.key();
    nlohmann::json Doc = Whole;
    Doc.erase(Key);
    Error E = errorOf(Doc);
    CHECK(E.Code == ResultCode::MissingField);
    CHECK(E.Detail.find(Key) != std::string::npos);
  }
}

TEST_CASE("errors name fields with a wrong type or range and unknown fields") {
  const std::vector<std::pair<nlohmann::json, ResultCode>> Changes = {
      {{{"callers", "10.0.0.1"}}, ResultCode::OutOfRange},
      {{{"seeds", {7}}}, ResultCode::WrongType},
      {{{"zones", {{"z", 1}}}}, ResultCode::WrongType},
      {{{"retry_ratio", 2}}, ResultCode::OutOfRange},
      {{{"retry_window_s", 0}}, ResultCode::OutOfRange},
      {{{"stop_grace_s", "six"}}, ResultCode::WrongType},
      {{{"colour", "red"}}, ResultCode::UnknownField}};
  for (const auto &[Change, Code] : Changes) {
    nlohmann::json Doc = good();
    Doc.update(Change);
    Error E = errorOf(Doc);
    CHECK(E.Code == Code);
    CHECK(E.Detail.find(Change.begin().key()) != std::string::npos);
  }
  CHECK(attempt([] { return FrontSettings::parse("{"); }).error().Code ==
        ResultCode::MalformedJson);
  CHECK(attempt([] { return FrontSettings::load("/nowhere"); }).error().Code ==
        ResultCode::SettingsUnreadable);
}

TEST_CASE("reports of slow replicas use the second internal port, if any") {
  auto Read = [](const nlohmann::json &Ports) {
    nlohmann::json Doc = good();
    Doc["gossip"] = "10.0.0.1:7740";
    Doc["quotas"] = "10.0.0.1:7755";
    Doc["internal_ports"] = Ports;
    return attempt([&] { return FrontSettings::parse(Doc.dump()); });
  };
  auto Absent = attempt([&] { return FrontSettings::parse(good().dump()); });
  REQUIRE(Absent);
  CHECK_FALSE(Absent->Reports);
  auto Given = Read({7740, 7755});
  REQUIRE(Given);
  CHECK(Given->Reports == Endpoint{"10.0.0.1", 7741});
  for (const nlohmann::json &NoneFree :
       {nlohmann::json({7740, 7740}), nlohmann::json({7754, 7755})}) {
    auto S = Read(NoneFree);
    REQUIRE(S);
    CHECK_FALSE(S->Reports);
  }
  for (const nlohmann::json &Bad :
       {nlohmann::json({7755, 7740}), nlohmann::json({7740}),
        nlohmann::json({0, 9}), nlohmann::json({7740, 70000}),
        nlohmann::json({"7740", 7755})}) {
    auto S = Read(Bad);
    REQUIRE_FALSE(S);
    CHECK(S.error().Code == ResultCode::OutOfRange);
    CHECK(S.error().Detail.find("internal_ports") != std::string::npos);
  }
}
