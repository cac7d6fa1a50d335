// The table of who uses the capacity names the largest organisations and sums
// up the others, and stays small with 10,000 of them.
#include "shallotshift/limits.h"

#include <doctest/doctest.h>
#include <set>

using namespace shallot;

TEST_CASE("the largest are named, the others are summed up") {
  OrganisationTally T;
  Random Rng(1);
  double Cost = 0;
  unsigned Tries = 0;
  for (int I = 0; I < 100'000; ++I) {
    std::uint64_t Who = below(Rng, 4) == 0 ? below(Rng, 3) : below(Rng, 10'000);
    Tenant Name("org-" + std::to_string(Who));
    ++Tries;
    if (I % 3 == 0) {
      T.refused(Name);
      continue;
    }
    T.started(Name, 2);
    Cost += 2;
  }
  CHECK(T.anyRefused());
  auto Rows = T.take(5);
  REQUIRE(Rows.size() == 6);
  std::set<Tenant> Names;
  for (const OrganisationCount &C : Rows) {
    Names.insert(C.Organisation);
    Cost -= C.Cost;
    Tries -= C.Started + C.Refused;
  }
  CHECK(Cost == 0);
  CHECK(Tries == 0);
  for (const char *Hot : {"org-0", "org-1", "org-2"})
    CHECK(Names.contains(Tenant(Hot)));
  CHECK(Rows.back().Organisation.empty());
  CHECK(Rows[0].Cost >= Rows[1].Cost);
  CHECK_FALSE(T.anyRefused());
  CHECK(T.take(5).size() == 1);
}

TEST_CASE("requests without an organisation are counted with the others") {
  OrganisationTally T;
  T.started(Tenant(), 4);
  T.refused(Tenant());
  T.started(Tenant("north"), 1);
  auto Rows = T.take(5);
  REQUIRE(Rows.size() == 2);
  CHECK(Rows[0] == OrganisationCount{Tenant("north"), 1, 1, 0});
  CHECK(Rows[1] == OrganisationCount{Tenant(), 4, 1, 1});
}
