// Checks that callers are sent to the entry hosts of their zone, and to other
// zones only when their zone has none.
#include "shallotshift/front.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

struct ViewFixture {
  FleetView View;
  std::uint16_t Port = 1;

  Endpoint add(const std::string &Zone, const std::string &Reg,
               std::uint32_t Capacity, MemberState State = MemberState::Alive) {
    Member M;
    M.Id = {HostId("h" + std::to_string(Port)), 1};
    M.Zone = AvailabilityZone(Zone);
    M.Reg = Region(Reg);
    M.Http = {"10.0.0.1", Port++};
    M.State = State;
    M.Capacity = Capacity;
    View.Members.push_back(M);
    return M.Http;
  }
  std::vector<Endpoint> ask(const std::string &Zone, const std::string &Reg) {
    return entryAddresses(View, {AvailabilityZone(Zone), Region(Reg)});
  }
};

using List = std::vector<Endpoint>;

} // namespace

TEST_CASE_FIXTURE(ViewFixture, "a few equal hosts in a zone all serve") {
  Endpoint A = add("z1", "r", 250), B = add("z1", "r", 250);
  Endpoint C = add("z1", "r", 250);
  add("z2", "r", 250);
  CHECK(ask("z1", "r") == List{A, B, C});
}

TEST_CASE_FIXTURE(ViewFixture,
                  "large hosts are the entry hosts of a zone of mixed sizes") {
  Endpoint Big1 = add("z1", "r", 500), Big2 = add("z1", "r", 500);
  for (int I = 0; I < 10; ++I)
    add("z1", "r", 120);
  CHECK(ask("z1", "r") == List{Big1, Big2});
}

TEST_CASE_FIXTURE(ViewFixture,
                  "one large host does not replace many small ones") {
  Endpoint Big = add("z1", "r", 1000);
  for (int I = 0; I < 20; ++I)
    add("z1", "r", 250);
  List Found = ask("z1", "r");
  // Each returned host gets the same share of the callers, so five hosts are
  // needed for the load that is initially assumed for the large host and one
  // small one.
  CHECK(Found.size() == 5);
  CHECK(Found.front() == Big);
}

TEST_CASE_FIXTURE(ViewFixture,
                  "small hosts serve when no large one is available") {
  add("z1", "r", 500, MemberState::Failed);
  add("z1", "r", 500, MemberState::Leaving);
  Endpoint Small = add("z1", "r", 120);
  CHECK(ask("z1", "r") == List{Small});
}

TEST_CASE_FIXTURE(ViewFixture,
                  "a zone without hosts is served by its region, then any") {
  Endpoint Near = add("z2", "r", 120);
  Endpoint Far = add("z3", "q", 500);
  CHECK(ask("z1", "r") == List{Near});
  CHECK(ask("z9", "p") == List{Far, Near});
  CHECK(ask("", "") == List{Far, Near});
}

TEST_CASE_FIXTURE(
    ViewFixture,
    "suspected daemons are returned only when no other is available") {
  Endpoint Doubtful = add("z1", "r", 250, MemberState::Suspect);
  CHECK(ask("z1", "r") == List{Doubtful});
  Endpoint Far = add("z3", "q", 250);
  CHECK(ask("z1", "r") == List{Far});
}

TEST_CASE_FIXTURE(ViewFixture,
                  "a reply has no more addresses than callers use") {
  for (int I = 0; I < 100; ++I)
    add("z1", "r", 100);
  for (Member &M : View.Members)
    M.Load = 90; // All hosts are needed.
  CHECK(ask("z1", "r").size() == MaxEntryAddresses);
  CHECK(ask("z1", "q").size() == MaxEntryAddresses);
}

TEST_CASE_FIXTURE(ViewFixture,
                  "connections and most retries are shared by entry hosts") {
  for (const char *Zone : {"z1", "z2"}) {
    add(Zone, "r", 500);
    add(Zone, "r", 500);
    for (int I = 0; I < 8; ++I)
      add(Zone, "r", 120);
  }
  add("z3", "q", 500);
  FleetShare S = sharingAmongEntryHosts(View, HostId("h1"), Region("r"));
  // Four fifths of the retries are for the five entry hosts, the rest for the
  // other 16.
  CHECK(S == FleetShare{4, 1, 0.8 / 5});
  HostId Other("h3");
  CHECK(sharingAmongEntryHosts(View, Other, Region("r")).RetryShare ==
        0.2 / 16);
  CHECK(equalRetryPart(View, Other) == 1.0 / 21);
  // 63 connections: 9 for each of four entry hosts; with twenty entry hosts,
  // one each.
  CHECK(connectionShare(63, Distance::SameZone, S) == 9);
  CHECK(connectionShare(63, Distance::SameZone, {20, 1, 1}) == 1);
}

TEST_CASE_FIXTURE(
    ViewFixture,
    "small hosts take over the shares of large hosts that are gone") {
  add("z1", "r", 500, MemberState::Failed);
  add("z1", "r", 500, MemberState::Leaving);
  for (int I = 0; I < 3; ++I)
    add("z1", "r", 120);
  // The leaving host still holds its connections.
  CHECK(sharingAmongEntryHosts(View, HostId("h3"), Region("r")) ==
        FleetShare{4, 0, 1.0 / 4});
  // The requesting daemon is counted even if it gets no callers.
  add("z1", "r", 500);
  add("z1", "r", 500);
  CHECK(sharingAmongEntryHosts(View, HostId("h3"), Region("r")) ==
        FleetShare{4, 0, 0.2 / 3});
}

TEST_CASE_FIXTURE(ViewFixture, "callers in a region without daemons are sent "
                               "to an allowed region") {
  Endpoint Allowed = add("z1", "r1", 250);
  Endpoint Other = add("z2", "r2", 250);
  Location Caller{AvailabilityZone("z3"), Region("r3")};
  auto In = [](const char *R) { return AllowedRegions::only({Region(R)}); };
  CHECK(entryAddresses(View, Caller, In("r1")) == List{Allowed});
  CHECK(entryAddresses(View, Caller, In("r2")) == List{Other});
  // No daemon is left in that region. Any daemon forwards to allowed replicas
  // only.
  CHECK(entryAddresses(View, Caller, In("r4")) == List{Allowed, Other});
  Location InThird{AvailabilityZone("z2"), Region("r2")};
  CHECK(entryAddresses(View, InThird, In("r1")) == List{Other});
}
