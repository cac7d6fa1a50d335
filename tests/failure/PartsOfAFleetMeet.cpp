// Guards against daemons that take themselves for the whole fleet for good.
#include "RendezvousFleet.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr Duration Seconds5 = Seconds(5);

/// A fleet that has run for some seconds.
struct OldFleet : RendezvousFleet {
  OldFleet(std::size_t Running, std::size_t Count, std::uint64_t Seed)
      : RendezvousFleet(Count, Seed) {
    for (std::size_t N = 0; N < Running; ++N)
      start(N);
    run(Seconds(8));
    REQUIRE(Bag.agreed());
  }
};

} // namespace

TEST_CASE("daemons that are added after the loss of their seeds") {
  for (std::uint64_t Seed : {1, 2, 3, 4, 5}) {
    OldFleet F(6, 8, Seed);
    for (std::size_t N : {0, 1, 2})
      F.crash(N);
    F.run(Seconds(1));
    F.start(6);
    F.start(7);
    CHECK(F.untilAgreed(Seconds(20)) < Seconds(10));
  }
}

TEST_CASE("a replacement of all, each with the seeds of the first") {
  OldFleet F(6, 18, 1);
  for (std::size_t N = 0; N < 12; ++N) {
    F.start(N + 6);
    F.run(Seconds(4));
    F.crash(N);
    F.run(Seconds(4));
  }
  CHECK(F.untilAgreed(Seconds(10)) < Seconds5);
  CHECK(F.Bag.at(17).peersKnown() == 5);
}

TEST_CASE("groups that have forgotten each other") {
  OldFleet F(12, 12, 1);
  F.Bag.Faults.Cut = [](std::size_t A, std::size_t B) {
    return A % 2 != B % 2;
  };
  F.run(Seconds(30));
  // As if the tombstones had expired.
  for (std::size_t N = 0; N < 12; ++N)
    F.start(N);
  F.run(Seconds(30));
  CHECK_FALSE(F.Bag.agreed());
  unsigned Before = F.Writes;
  F.run(Seconds(60));
  CHECK(F.Writes - Before <= 4);
  F.Bag.Faults.Cut = nullptr;
  CHECK(F.untilAgreed(Seconds(20)) < Seconds(10));
}

TEST_CASE("two that start at once without seeds meet, and only one acts "
          "before") {
  for (std::uint64_t Seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    RendezvousFleet F(8, Seed);
    F.start(4);
    F.start(5);
    for (int N = 0; N < 100 && !F.Bag.agreed(); ++N) {
      F.run(Millis(100));
      CHECK_FALSE((F.confirmedAlone(4) && F.confirmedAlone(5)));
    }
    CHECK(F.Bag.agreed());
  }
}

TEST_CASE("a daemon that is alone knows it within 3.7 s of its start") {
  RendezvousFleet F(6, 1);
  F.start(4);
  F.run(Millis(2100));
  // A look for others is a call of the cheap kind.
  CHECK(F.StaleReads > 0);
  CHECK(F.Reads == 0);
  F.run(Millis(1600));
  CHECK(F.confirmedAlone(4));
  CHECK(F.Writes == 1);
  // And so does the next, at whose start the record names the one before.
  F.crash(4);
  F.start(5);
  F.run(Millis(3700));
  CHECK(F.confirmedAlone(5));
}

TEST_CASE("one that outlives all others knows it") {
  OldFleet F(6, 6, 1);
  for (std::size_t N : {0, 1, 2, 3, 4})
    F.crash(N);
  F.run(Seconds(20));
  CHECK(F.confirmedAlone(5));
}

TEST_CASE("a daemon that is cut off from a fleet is not alone") {
  OldFleet F(6, 7, 1);
  F.Bag.Faults.Cut = [](std::size_t A, std::size_t B) {
    return (A == 6) != (B == 6);
  };
  F.start(6);
  for (int N = 0; N < 600; ++N) {
    F.run(Millis(100));
    CHECK_FALSE(F.confirmedAlone(6));
  }
  CHECK(F.Writes < 30);
  F.Bag.Faults.Cut = nullptr;
  CHECK(F.untilAgreed(Seconds(10)) < Seconds5);
}

TEST_CASE("a daemon that was cut off from a fleet and outlives it knows it") {
  OldFleet F(6, 7, 1);
  F.Bag.Faults.Cut = [](std::size_t A, std::size_t B) {
    return (A == 6) != (B == 6);
  };
  F.start(6);
  F.run(Seconds(70));
  for (std::size_t N = 0; N < 6; ++N)
    F.crash(N);
  F.run(Seconds(12));
  CHECK(F.confirmedAlone(6));
}

TEST_CASE("without the store nobody is known to be alone, and a fleet that "
          "runs stays whole") {
  OldFleet F(6, 7, 1);
  F.Reaches = [](std::size_t) { return false; };
  for (std::size_t N : {0, 1, 2})
    F.crash(N);
  F.start(6);
  F.run(Seconds(30));
  CHECK_FALSE(F.confirmedAlone(6));
  CHECK(F.Bag.at(3).peersKnown() == 2);
  F.Reaches = [](std::size_t) { return true; };
  CHECK(F.untilAgreed(Seconds(20)) < Seconds5);
}

TEST_CASE("a record that was restored from a copy splits nobody, and joins "
          "none of another name") {
  OldFleet F(6, 7, 1);
  RendezvousRecord Copy = *F.Stored;
  // The address is that of a daemon of another fleet by now.
  Copy.Contacts = {
      {HostId("gone"), F.Bag.member(6).Gossip, F.Bag.member(6).Zone, false}};
  F.Bag.start(6);
  auto Alone = attempt([&] {
    return Membership::make({}, F.Bag.member(6), {}, F.Bag.Rng, F.Bag.Now);
  });
  F.Bag.Nodes[6].Machine.emplace(std::move(Alone.value()));
  F.Stored = Copy;
  F.run(Seconds(20));
  CHECK(F.Bag.at(0).peersKnown() == 5);
  CHECK(F.Bag.at(6).peersKnown() == 0);
  CHECK(F.Bag.countEvents(MembershipEventKind::Failed) == 0);
}

TEST_CASE("a large fleet that starts together costs a handful of calls") {
  RendezvousFleet F(200, 1);
  for (std::size_t N = 0; N < 200; ++N)
    F.start(N);
  F.run(Seconds(10));
  REQUIRE(F.Bag.agreed());
  CHECK(F.Writes <= 3);
  // The two regions read, each of them a few times a second here, where a read
  // does not wait for a change.
  CHECK(F.Reads <= 2 * 4 * 5);
}
