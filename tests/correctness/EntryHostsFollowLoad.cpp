// Entry hosts of a zone: as few as the load needs, large hosts first; more when
// the load grows, others when hosts fail. Guards against sets that oscillate
// while they converge.
#include "shallotshift/fleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace shallot;

namespace {

constexpr std::size_t MaxHosts = 64;

struct ZoneFixture {
  std::vector<Member> Hosts;

  void add(std::size_t Count, std::uint32_t Capacity, std::uint32_t Load = 0) {
    for (std::size_t I = 0; I < Count; ++I) {
      Member M;
      M.Id = {HostId("h" + std::to_string(1000 + Hosts.size())), 1};
      M.State = MemberState::Alive;
      M.Capacity = Capacity;
      M.Load = Load;
      Hosts.push_back(M);
    }
  }
  std::vector<const Member *> choose() const {
    std::vector<const Member *> Alive, All;
    for (const Member &M : Hosts) {
      All.push_back(&M);
      if (M.State == MemberState::Alive)
        Alive.push_back(&M);
    }
    return chooseEntryHosts(Alive, All, MaxHosts);
  }
  std::size_t count() const { return choose().size(); }
  Member &host(std::size_t I) { return Hosts[I]; }
};

/// A zone whose entry hosts share \p Millicores of load evenly and announce it.
struct SimulatedZone : ZoneFixture {
  std::vector<LoadLevel> Levels;
  std::set<std::size_t> Sizes; ///< Sizes of the set since it was cleared.
  Instant Now{Seconds(100)};

  void start() {
    for (const Member &M : Hosts)
      Levels.emplace_back(M.Capacity);
  }
  void run(Duration For, double Millicores) {
    for (Instant End = Now + For; Now < End; Now += Seconds(1)) {
      auto Selected = choose();
      Sizes.insert(Selected.size());
      for (std::size_t I = 0; I < Hosts.size(); ++I) {
        bool IsSelected =
            std::ranges::find(Selected, &Hosts[I]) != Selected.end();
        double Share = Millicores / double(Selected.size());
        double Use = IsSelected ? Share / Hosts[I].Capacity : 0;
        bool Served = IsSelected || Hosts[I].Load > 0;
        Announced[I] = Levels[I].observe(Use, Served, Now);
      }
      for (std::size_t I = 0; I < Hosts.size(); ++I)
        Hosts[I].Load = Announced[I];
    }
  }
  std::map<std::size_t, std::uint32_t> Announced;
};

} // namespace

TEST_CASE_FIXTURE(ZoneFixture, "two or three equal hosts are all selected") {
  add(2, 250);
  CHECK(count() == 2);
  add(1, 250);
  CHECK(count() == 3);
}

TEST_CASE_FIXTURE(ZoneFixture, "small hosts are not added to large ones") {
  add(40, 120);
  add(2, 500);
  auto Chosen = choose();
  REQUIRE(Chosen.size() == 2);
  CHECK(Chosen[0]->Capacity == 500);
  CHECK(Chosen[1]->Capacity == 500);
}

TEST_CASE_FIXTURE(ZoneFixture,
                  "a single large host among small ones gets an equal share") {
  // Callers choose at random, so a large host gets no more than the small ones,
  // and the usable capacity is a multiple of the smallest.
  add(1, 1000);
  add(20, 250);
  // The initial set holds a fifth of 6000; five hosts have 1250.
  CHECK(count() == 5);
}

TEST_CASE_FIXTURE(ZoneFixture, "as many equal hosts as the load needs") {
  add(49, 120);
  CHECK(count() == 10); // A fifth, until a load is announced.
  for (std::size_t I = 0; I < 10; ++I)
    host(I).Load = 7; // 70 millicores need 470 at TargetUtilization.
  CHECK(count() == 4);
  for (std::size_t I = 0; I < 10; ++I)
    host(I).Load = 60; // Half utilized.
  CHECK(count() == 34);
}

TEST_CASE_FIXTURE(ZoneFixture, "the load of failed entry hosts still counts") {
  add(3, 500, 100);
  add(40, 120);
  CHECK(count() == 3); // A fifth utilized: smaller hosts would be slower.
  for (std::size_t I = 0; I < 3; ++I)
    host(I).State = MemberState::Failed;
  auto Chosen = choose();
  CHECK(Chosen.size() == 17); // 17 x 120 have 2040 of the 2000 needed.
}

TEST_CASE_FIXTURE(ZoneFixture, "a fully loaded zone uses all of its hosts") {
  add(30, 120, 119);
  CHECK(count() == 30);
}

TEST_CASE_FIXTURE(ZoneFixture, "a change in load moves only the last hosts") {
  add(49, 120, 5);
  auto Few = choose();
  for (Member &M : Hosts)
    M.Load = 9;
  auto More = choose();
  REQUIRE(More.size() > Few.size());
  CHECK(std::equal(Few.begin(), Few.end(), More.begin()));
}

TEST_CASE_FIXTURE(SimulatedZone, "the number of equal hosts converges") {
  add(49, 120);
  start();
  run(Seconds(60), 72);
  Sizes.clear();
  run(Seconds(120), 72);
  CHECK(Sizes.size() == 1);
  CHECK(*Sizes.begin() >= 3);
  CHECK(*Sizes.begin() <= 6);
}

TEST_CASE_FIXTURE(SimulatedZone, "the set shrinks without undershoot") {
  // Starts with the large initial set and never falls below the need.
  add(49, 120);
  start();
  run(Seconds(60), 72);
  CHECK(*Sizes.rbegin() == 10);
  CHECK(*Sizes.begin() >= 3);
}

TEST_CASE_FIXTURE(SimulatedZone,
                  "an eightfold load adds hosts within seconds") {
  add(49, 120);
  start();
  run(Seconds(60), 72);
  Sizes.clear();
  run(Seconds(5), 8 * 72);
  // 576 millicores fit into 5 hosts; more are needed for TargetUtilization.
  CHECK(count() >= 15);
  run(Seconds(60), 72);
  CHECK(count() <= 6);
}

TEST_CASE_FIXTURE(SimulatedZone,
                  "a three-second burst that fits changes nothing") {
  add(3, 500);
  add(46, 120);
  start();
  run(Seconds(60), 72);
  Sizes.clear();
  run(Seconds(3), 6 * 72);
  run(Seconds(30), 72);
  CHECK(Sizes == std::set<std::size_t>{3});
}

TEST_CASE_FIXTURE(SimulatedZone,
                  "a busy fleet has enough entry hosts 10 s after a start") {
  // 81 hosts at half of their capacity: all that are allowed must serve.
  add(81, 1000);
  start();
  run(Seconds(10), 81 * 500);
  CHECK(count() == MaxHosts);
}
