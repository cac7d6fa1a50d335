// The platform's host list is read leniently: one entry that makes no sense
// must not hide the others, and what is no list at all is an error.
#include "shallotshift/store.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

std::string entry(std::string_view Name, std::string_view Rest) {
  return "{\"host\":\"" + std::string(Name) +
         "\",\"ip\":\"10.0.0.1\",\"http_port\":7100,\"gossip_port\":7101,"
         "\"rpc_port\":7102,\"zone\":\"darkhan\",\"region\":\"mn\"," +
         std::string(Rest) + "}";
}

std::string list(const std::string &Entries) {
  return R"({"version":9,"note":"extra","hosts":[)" + Entries + "]}";
}

} // namespace

TEST_CASE("hosts are read with state and kind") {
  auto L = attempt([] {
    return decodeHostList(
        list(entry("e1", R"("state":"live","kind":"entry")") + "," +
             entry("u1", R"("state":"leaving","kind":"upstream","rack":4)")));
  });
  REQUIRE(L);
  CHECK(L->Version == 9);
  REQUIRE(L->Hosts.size() == 2);
  CHECK(L->Hosts[0].GossipPort == 7101);
  CHECK(L->Hosts[0].State == HostState::Live);
  CHECK(L->Hosts[1].State == HostState::Leaving);
  CHECK(L->Hosts[1].Kind == HostKind::Upstream);
}

TEST_CASE("an entry that makes no sense is left out and counted") {
  for (const char *Bad :
       {R"("state":"gone","kind":"entry")", R"("state":"live","kind":"disk")",
        R"("state":7,"kind":"entry")", R"("state":"live")",
        R"("state":"li\ud800ve","kind":"entry")",
        R"("state":1e400,"kind":"entry")"}) {
    auto L = attempt([&] {
      return decodeHostList(
          list(entry("bad", Bad) + "," +
               entry("good", R"("state":"live","kind":"entry")")));
    });
    REQUIRE(L);
    CHECK(L->Skipped == 1);
    REQUIRE(L->Hosts.size() == 1);
    CHECK(L->Hosts[0].Host.str() == "good");
  }
  auto Port = attempt([] {
    return decodeHostList(list(R"({"host":"a","ip":"x","zone":"z"})"));
  });
  REQUIRE(Port);
  CHECK(Port->Skipped == 1);
}

TEST_CASE("what is no list is refused") {
  for (const char *Bad : {"", "[]", "{}", R"({"version":-1,"hosts":[]})",
                          R"({"version":1,"hosts":{}})", "{\"version\":1"}) {
    auto L = attempt([&] { return decodeHostList(Bad); });
    CHECK_MESSAGE(L.error().Code == ResultCode::PlatformBadReply, Bad);
  }
}
