// Entry addresses are near the caller, evenly spread and stable, name no member
// that takes no new work, and spread evenly over the rest when a zone fails.
#include "shallotshift/fleet.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace shallot;

namespace {

constexpr int Callers = 30000;

Member member(int N, int Zones, int Regions) {
  std::string Ip = "10.2.0." + std::to_string(N + 1);
  return {{HostId("entry-" + std::to_string(N)), 1},
          AvailabilityZone("z" + std::to_string(N % Zones)),
          Region("r" + std::to_string(N % Zones % Regions)),
          {Ip, 8080},
          {Ip, 1},
          {Ip, 2},
          MemberState::Alive};
}

FleetView fleet(int Members, int Zones, int Regions) {
  FleetView View;
  for (int N = 0; N < Members; ++N)
    View.Members.push_back(member(N, Zones, Regions));
  std::ranges::sort(View.Members, {}, &Member::Id);
  return View;
}

EntryDirectory directory() {
  return attempt([] { return EntryDirectory::make({}); }).value();
}

std::string caller(int N) { return "caller-" + std::to_string(N); }

/// Maximum number of callers per member divided by the mean, for one address.
double maxToMeanRatio(const FleetView &View, const AvailabilityZone &Zone,
                      std::size_t Place, std::size_t Members) {
  std::map<DaemonId, int> Load;
  EntryDirectory D = directory();
  for (int C = 0; C < Callers; ++C)
    ++Load[D.answer(View, caller(C), Zone).Addresses.at(Place).Id];
  int Most = 0;
  for (const auto &[Id, Count] : Load)
    Most = std::max(Most, Count);
  return Most * static_cast<double>(Members) / Callers;
}

} // namespace

TEST_CASE("near members first, and the last address in another zone") {
  FleetView View = fleet(12, 3, 1);
  EntryAnswer A = directory().answer(View, "x", AvailabilityZone("z1"));
  REQUIRE(A.Addresses.size() == 3);
  CHECK(A.Addresses[0].Zone.str() == "z1");
  CHECK(A.Addresses[0].Why == "same zone");
  CHECK(A.Addresses[1].Zone.str() == "z1");
  CHECK(A.Addresses[2].Zone.str() != "z1");
  CHECK(A.Addresses[2].Why == "same region");
}

TEST_CASE("only members that take new work, suspects last") {
  FleetView View = fleet(6, 3, 1);
  View.Members[0].State = MemberState::Leaving;
  View.Members[1].State = MemberState::Failed;
  View.Members[2].State = MemberState::Starting;
  View.Members[3].State = MemberState::Suspect;
  for (int C = 0; C < 200; ++C) {
    EntryAnswer A = directory().answer(View, caller(C), View.Members[3].Zone);
    REQUIRE(A.Addresses.size() == 3);
    CHECK(A.Addresses[2].Id == View.Members[3].Id);
  }
  for (Member &M : View.Members)
    M.State = MemberState::Left;
  CHECK(directory().answer(View, "x", {}).Addresses.empty());
}

TEST_CASE("a caller keeps its addresses when another member fails") {
  FleetView View = fleet(30, 3, 1);
  EntryDirectory D = directory();
  FleetView Without = View;
  Without.Members[7].State = MemberState::Failed;
  int Moved = 0;
  for (int C = 0; C < 3000; ++C) {
    auto Before = D.answer(View, caller(C), {}).Addresses[0].Id;
    auto After = D.answer(Without, caller(C), {}).Addresses[0].Id;
    CHECK((Before == After || Before == Without.Members[7].Id));
    Moved += Before != After;
  }
  CHECK(Moved > 50);
  CHECK(Moved < 150); // One in thirty.
}

TEST_CASE("callers are spread evenly within a zone and after its failure") {
  FleetView View = fleet(30, 3, 1);
  CHECK(maxToMeanRatio(View, AvailabilityZone("z1"), 0, 10) < 1.1);
  // Fail-over to the last address, without asking again.
  CHECK(maxToMeanRatio(View, AvailabilityZone("z1"), 2, 20) < 1.15);
  for (Member &M : View.Members)
    if (M.Zone.str() == "z1")
      M.State = MemberState::Failed;
  CHECK(maxToMeanRatio(View, AvailabilityZone("z1"), 0, 20) < 1.15);
}

TEST_CASE("callers of a failed zone stay in their region if it has members") {
  FleetView View = fleet(60, 6, 2);
  for (Member &M : View.Members)
    if (M.Zone.str() == "z1")
      M.State = MemberState::Failed;
  for (int C = 0; C < 200; ++C)
    for (const EntryAddress &A :
         directory().answer(View, caller(C), AvailabilityZone("z1")).Addresses)
      CHECK(A.Why == "same region");
}

TEST_CASE("validity varies by caller within a quarter and is stable") {
  FleetView View = fleet(6, 3, 1);
  EntryDirectory D = directory();
  std::set<std::int64_t> Different;
  for (int C = 0; C < 1000; ++C) {
    Duration V = D.answer(View, caller(C), {}).Validity;
    CHECK(V >= Seconds(15));
    CHECK(V <= longestValidity(D.options()));
    CHECK(V == D.answer(View, caller(C), {}).Validity);
    Different.insert(toMillis(V));
  }
  CHECK(Different.size() > 900);
}

TEST_CASE("a new member gains callers gradually, and so does a whole zone") {
  FleetView View = fleet(30, 3, 1);
  EntryDirectory D = directory();
  auto Share = [&](double Warmth, bool WholeZone) {
    int Count = 0;
    AvailabilityZone Z = View.Members[0].Zone;
    auto Cold = [&](const Member &M) {
      return WholeZone ? M.Zone == Z : M.Id == View.Members[0].Id;
    };
    auto Weight = [&](const DaemonId &Id) {
      auto M = std::ranges::find(View.Members, Id, &Member::Id);
      return Cold(*M) ? Warmth : 1.0;
    };
    for (int C = 0; C < 5000; ++C) {
      auto First = D.answer(View, caller(C), Z, Weight).Addresses[0].Id;
      Count += Cold(*std::ranges::find(View.Members, First, &Member::Id));
    }
    return Count / 5000.0;
  };
  for (bool WholeZone : {false, true}) {
    double Full = Share(1, WholeZone);
    CHECK(Full == doctest::Approx(WholeZone ? 1.0 : 0.1).epsilon(0.1));
    CHECK(Share(0.1, WholeZone) < 0.2 * Full);
    CHECK(Share(0.5, WholeZone) > 0.4 * Full);
    CHECK(Share(0.5, WholeZone) < 0.75 * Full);
  }
}
