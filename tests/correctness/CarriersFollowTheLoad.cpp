// Which hosts of a zone carry its callers: as few as the load needs, large ones
// first, more when they are busy, others when they are lost; and the set does
// not swing while it finds its size.
#include "shallotshift/fleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace shallot;

namespace {

constexpr std::size_t Most = 64;

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
    return chooseEntryHosts(Alive, All, Most);
  }
  std::size_t count() const { return choose().size(); }
  Member &host(std::size_t I) { return Hosts[I]; }
};

/// A zone whose carriers share \p Millicores of work evenly, as they say it.
struct LivingZone : ZoneFixture {
  std::vector<LoadLevel> Levels;
  std::set<std::size_t> Sizes; ///< Since the last time it was cleared.
  Instant Now{Seconds(100)};

  void start() {
    for (const Member &M : Hosts)
      Levels.emplace_back(M.Capacity);
  }
  void run(Duration For, double Millicores) {
    for (Instant End = Now + For; Now < End; Now += Seconds(1)) {
      auto Carriers = choose();
      Sizes.insert(Carriers.size());
      for (std::size_t I = 0; I < Hosts.size(); ++I) {
        bool Carries = std::ranges::find(Carriers, &Hosts[I]) != Carriers.end();
        double Share = Millicores / double(Carriers.size());
        double Use = Carries ? Share / Hosts[I].Capacity : 0;
        bool Served = Carries || Hosts[I].Load > 0;
        Announced[I] = Levels[I].observe(Use, Served, Now);
      }
      for (std::size_t I = 0; I < Hosts.size(); ++I)
        Hosts[I].Load = Announced[I];
    }
  }
  std::map<std::size_t, std::uint32_t> Announced;
};

} // namespace

TEST_CASE_FIXTURE(ZoneFixture, "two or three equal hosts all carry") {
  add(2, 250);
  CHECK(count() == 2);
  add(1, 250);
  CHECK(count() == 3);
}

TEST_CASE_FIXTURE(ZoneFixture,
                  "large hosts carry, small ones do not join them") {
  add(40, 120);
  add(2, 500);
  auto Chosen = choose();
  REQUIRE(Chosen.size() == 2);
  CHECK(Chosen[0]->Capacity == 500);
  CHECK(Chosen[1]->Capacity == 500);
}

TEST_CASE_FIXTURE(ZoneFixture,
                  "one large host among many small carries with its like") {
  // Callers pick at random: with small ones beside it, it gets no more than
  // they do, so the set holds as many times the smallest.
  add(1, 1000);
  add(20, 250);
  // A fifth of 6000 is the first guess; five of them hold 1250.
  CHECK(count() == 5);
}

TEST_CASE_FIXTURE(ZoneFixture, "equal hosts carry as many as the load needs") {
  add(49, 120);
  CHECK(count() == 10); // A fifth, until they have said what it takes.
  for (std::size_t I = 0; I < 10; ++I)
    host(I).Load = 7; // 70 thousandths: 470 at the use that is aimed at.
  CHECK(count() == 4);
  for (std::size_t I = 0; I < 10; ++I)
    host(I).Load = 60; // Half used.
  CHECK(count() == 34);
}

TEST_CASE_FIXTURE(ZoneFixture, "the load of lost carriers stays the zone's") {
  add(3, 500, 100);
  add(40, 120);
  CHECK(count() == 3); // A fifth of them in use: not worth slower hosts.
  for (std::size_t I = 0; I < 3; ++I)
    host(I).State = MemberState::Failed;
  auto Chosen = choose();
  CHECK(Chosen.size() == 17); // 17 x 120 hold 2000.
}

TEST_CASE_FIXTURE(ZoneFixture, "a zone at its limit is carried by all it has") {
  add(30, 120, 119);
  CHECK(count() == 30);
}

TEST_CASE_FIXTURE(ZoneFixture, "another load moves only the last hosts") {
  add(49, 120, 5);
  auto Few = choose();
  for (Member &M : Hosts)
    M.Load = 9;
  auto More = choose();
  REQUIRE(More.size() > Few.size());
  CHECK(std::equal(Few.begin(), Few.end(), More.begin()));
}

TEST_CASE_FIXTURE(LivingZone, "equal hosts find their size and keep it") {
  add(49, 120);
  start();
  run(Seconds(60), 72);
  Sizes.clear();
  run(Seconds(120), 72);
  CHECK(Sizes.size() == 1);
  CHECK(*Sizes.begin() >= 3);
  CHECK(*Sizes.begin() <= 6);
}

TEST_CASE_FIXTURE(LivingZone, "the set does not swing while it shrinks") {
  // A wide set at the start, then fewer; never fewer than the load needs.
  add(49, 120);
  start();
  run(Seconds(60), 72);
  CHECK(*Sizes.rbegin() == 10);
  CHECK(*Sizes.begin() >= 3);
}

TEST_CASE_FIXTURE(LivingZone, "a burst by eight finds more hosts in seconds") {
  add(49, 120);
  start();
  run(Seconds(60), 72);
  Sizes.clear();
  run(Seconds(5), 8 * 72);
  // 576 thousandths fit into 5 hosts; with room for the work to come in turns.
  CHECK(count() >= 15);
  run(Seconds(60), 72);
  CHECK(count() <= 6);
}

TEST_CASE_FIXTURE(LivingZone,
                  "a burst of three seconds that fits moves nobody") {
  add(3, 500);
  add(46, 120);
  start();
  run(Seconds(60), 72);
  Sizes.clear();
  run(Seconds(3), 6 * 72);
  run(Seconds(30), 72);
  CHECK(Sizes == std::set<std::size_t>{3});
}

TEST_CASE_FIXTURE(LivingZone,
                  "a busy fleet that starts has enough within 10 s") {
  // 81 hosts that need half of what they have: all must carry.
  add(81, 1000);
  start();
  run(Seconds(10), 81 * 500);
  CHECK(count() == Most);
}
