// Where callers are sent: to the largest hosts of their zone, to all of equal
// ones, and elsewhere only when their zone has none.
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

TEST_CASE_FIXTURE(ViewFixture, "equal hosts of the zone all serve") {
  Endpoint A = add("z1", "r", 250), B = add("z1", "r", 250);
  Endpoint C = add("z1", "r", 250);
  add("z2", "r", 250);
  CHECK(ask("z1", "r") == List{A, B, C});
}

TEST_CASE_FIXTURE(ViewFixture, "large hosts carry a zone of mixed sizes") {
  Endpoint Big1 = add("z1", "r", 500), Big2 = add("z1", "r", 500);
  for (int I = 0; I < 10; ++I)
    add("z1", "r", 120);
  CHECK(ask("z1", "r") == List{Big1, Big2});
}

TEST_CASE_FIXTURE(ViewFixture,
                  "one large host alone does not carry many small") {
  Endpoint Big = add("z1", "r", 1000);
  for (int I = 0; I < 20; ++I)
    add("z1", "r", 250);
  List Found = ask("z1", "r");
  CHECK(Found.size() == 21);
  CHECK(Found.front() == Big);
}

TEST_CASE_FIXTURE(ViewFixture, "without large ones the small ones serve") {
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
  CHECK(ask("z9", "p") == List{Far});
  CHECK(ask("", "") == List{Far});
}

TEST_CASE_FIXTURE(ViewFixture, "suspects serve only when nobody else does") {
  Endpoint Doubtful = add("z1", "r", 250, MemberState::Suspect);
  CHECK(ask("z1", "r") == List{Doubtful});
  Endpoint Far = add("z3", "q", 250);
  CHECK(ask("z1", "r") == List{Far});
}

TEST_CASE_FIXTURE(ViewFixture, "no answer names more than callers use") {
  for (int I = 0; I < 100; ++I)
    add("z1", "r", 100);
  CHECK(ask("z1", "r").size() == MaxEntryAddresses);
  CHECK(ask("z1", "q").size() == MaxEntryAddresses);
}
