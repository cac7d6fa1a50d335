// Checks that store objects of the deployment are decoded, that errors name the
// missing or invalid field, and that unknown fields are ignored.
#include "platform/WireDirectory.h"
#include "platform/WireObjects.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace shallot;

namespace {

nlohmann::json configDoc() {
  return nlohmann::json::parse(R"({"version": 7, "routes": [
    {"name": "sweep", "host": "a.example", "path_prefix": "/x/",
     "kind": "safe", "timeout_ms": 800, "target_latency_ms": 120,
     "priority": 1, "fan_out_services": ["s1", "s2"], "max_attempts": 2,
     "top_k": 20, "min_shard_share": 0.5, "new_field": 1},
    {"name": "pull", "host": "b.example", "path_prefix": "/",
     "kind": "unsafe", "timeout_ms": 2500, "target_latency_ms": 400,
     "priority": 2, "service": "p", "max_attempts": 1},
    {"name": "half", "host": "c.example", "path_prefix": "/",
     "kind": "of tomorrow", "timeout_ms": 2500, "target_latency_ms": 400,
     "priority": 0, "max_attempts": 1,
     "split": [{"service": "s1", "weight": 3}, {"service": "p", "weight": 1}]}],
    "services": [{"name": "s1", "max_connections": 25, "protocol": "h1"},
                 {"name": "s2", "max_connections": 25},
                 {"name": "p", "max_connections": 96}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})");
}

Attempt<ServingConfig> readConfig(const nlohmann::json &Doc) {
  return attempt([&] { return wire::readConfig({"main", {0, 1}, Doc}); });
}

Attempt<ReplicaEntry> readReplica(const std::string &Text) {
  return attempt([&] {
    return wire::readReplica({"i-1", {0, 1}, nlohmann::json::parse(Text)},
                             {{AvailabilityZone("z"), Region("r")}});
  });
}

} // namespace

TEST_CASE("every kind of route is decoded") {
  auto C = readConfig(configDoc());
  REQUIRE_MESSAGE(C, C.error().Detail);
  CHECK(C->version() == 7);
  const Route *Sweep = C->match("a.example", "/x/1");
  REQUIRE(Sweep);
  CHECK(Sweep->Kind == RetrySemantics::Idempotent);
  CHECK(Sweep->Objective == Millis(120));
  REQUIRE(Sweep->fanOut());
  CHECK(Sweep->fanOut()->Shards.size() == 2);
  CHECK(Sweep->fanOut()->MaxRecords == 20);
  CHECK(Sweep->fanOut()->MinCoverage == 0.5);
  CHECK(C->match("b.example", "/")->Kind == RetrySemantics::AtMostOnce);
  const Route *Half = C->match("c.example", "/");
  CHECK(std::get<WeightedSplit>(Half->Target).front().Weight == 3);
  CHECK(C->limits().IdleTimeout == Seconds(15));
  CHECK(C->services().at(ServiceName("p")).MaxConnections == 96);
}

TEST_CASE("requests of an unknown kind are not repeated") {
  auto C = readConfig(configDoc());
  REQUIRE(C);
  CHECK(C->match("c.example", "/")->Kind == RetrySemantics::AtMostOnce);
}

TEST_CASE("a configuration with a missing field is refused") {
  for (const char *Key : {"version", "routes", "services", "limits"}) {
    nlohmann::json Doc = configDoc();
    Doc.erase(Key);
    auto C = readConfig(Doc);
    CHECK(C.error().Code == ResultCode::MissingField);
    CHECK(C.error().Detail.find(Key) != std::string::npos);
  }
  nlohmann::json Doc = configDoc();
  Doc["routes"][0]["fan_out_services"][1] = 7;
  CHECK(readConfig(Doc).error().Code == ResultCode::WrongType);
}

TEST_CASE("a registration is decoded with the region of its zone") {
  const std::string Ready =
      R"({"service": "s1", "address": "10.0.0.9:80", "zone": "z", "slots": 2,
          "state": "ready", "warmup_left_ms": 1500, "sequence": 4,
          "version": "v1"})";
  auto E = readReplica(Ready);
  REQUIRE_MESSAGE(E, E.error().Detail);
  CHECK(E->Id == UpstreamId("i-1"));
  CHECK(E->At == Endpoint{"10.0.0.9", 80});
  CHECK(E->Reg == Region("r"));
  CHECK(E->WarmupLeft == Millis(1500));
  CHECK_FALSE(E->Leaving);
  std::string Draining = Ready;
  Draining.replace(Draining.find("ready"), 5, "draining");
  CHECK(readReplica(Draining)->Leaving);
  CHECK(readReplica("{}").error().Code == ResultCode::MissingField);
}

TEST_CASE("a directory lookup is decoded and its reply encoded") {
  EntryQuery Q =
      wire::parseEntryQuery("name=a.example&region=sv%65aland&zone=hall+1");
  CHECK(Q.Caller.Reg == Region("svealand"));
  CHECK(Q.Caller.Zone == AvailabilityZone("hall 1"));
  CHECK(wire::parseEntryQuery("").Caller == Location());
  CHECK(wire::parseEntryQuery("zone=%").Caller.Zone == AvailabilityZone("%"));
  auto Doc = nlohmann::json::parse(
      wire::writeAddresses({{"10.0.0.1", 80}, {"10.0.0.2", 81}}, Millis(1500)));
  CHECK(Doc["addrs"] == nlohmann::json({"10.0.0.1:80", "10.0.0.2:81"}));
  CHECK(Doc["ttl_s"] == 1.5);
}
