// Guards against a fleet that exceeds a quota or refuses what lies within it.
#include "QuotaFleet.h"

#include <doctest/doctest.h>
#include <numeric>

using namespace shallot;
using namespace shallot::test;

namespace {

std::vector<std::size_t> all(std::size_t Count) {
  std::vector<std::size_t> Found(Count);
  std::iota(Found.begin(), Found.end(), 0);
  return Found;
}

QuotaFleetOptions withSeed(std::uint64_t Seed) {
  QuotaFleetOptions O;
  O.Seed = Seed;
  return O;
}

} // namespace

TEST_CASE("requests within the quota start wherever they arrive") {
  for (Quota Limit : {Quota{40, 40}, Quota{4, 4}, Quota{1.5, 2}}) {
    QuotaFleetOptions O = withSeed(1);
    O.Limit = Limit;
    QuotaFleet F(O);
    for (const auto &At : {std::vector<std::size_t>{3}, all(12), {5, 7}}) {
      F.run(Seconds(20), 0.7 * Limit.Rate, At);
    }
    CAPTURE(Limit.Rate);
    CHECK(F.refused() <= F.offered() / 100);
    CHECK(F.offered() > 30);
  }
}

TEST_CASE("an organisation far above its quota is held to it and gets it") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    QuotaFleet F(withSeed(Seed));
    F.run(Seconds(20), 300, all(12));
    CHECK(F.mostInWindow() <= F.bound());
    CHECK(double(F.started()) >= 0.95 * 20 * 40);
  }
}

TEST_CASE("a token that is not used soon serves another daemon") {
  QuotaFleetOptions O = withSeed(1);
  O.Limit = {5, 5};
  QuotaFleet F(O);
  F.run(Seconds(10), 4, all(12));
  F.run(Seconds(2), 0, {});
  F.resetCounts();
  F.run(Seconds(1), 8, {4});
  CHECK(F.refused() == 0);
}

TEST_CASE("the bound holds when owners are killed and start again") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    QuotaFleet F(withSeed(Seed));
    for (int I = 0; I < 3; ++I) {
      F.run(Seconds(4), 300, all(12));
      std::size_t Owner = F.ownerSeenBy(0);
      F.kill(Owner);
      F.run(Millis(400) * (1 + I * 5), 300, all(12));
      F.start(Owner);
    }
    F.run(Seconds(10), 300, all(12));
    CAPTURE(Seed);
    CHECK(F.mostInWindow() <= F.bound());
  }
}

TEST_CASE("the bound holds while an owner is cut off and serves callers") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    QuotaFleet F(withSeed(Seed));
    F.run(Seconds(4), 300, all(12));
    F.cutOff({F.ownerSeenBy(0)});
    F.run(Seconds(12), 300, all(12));
    F.heal();
    F.run(Seconds(12), 300, all(12));
    CAPTURE(Seed);
    CHECK(F.mostInWindow() <= F.bound());
  }
}

TEST_CASE("the bound holds while regions are partitioned") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    QuotaFleet F(withSeed(Seed));
    F.run(Seconds(4), 300, all(12));
    F.cutOff({0, 3, 6, 9});
    F.cutOff({1, 4, 7, 10});
    F.run(Seconds(25), 300, all(12));
    F.heal();
    F.run(Seconds(12), 300, all(12));
    CAPTURE(Seed);
    CHECK(F.mostInWindow() <= F.bound());
  }
}

TEST_CASE("a daemon that rejoined as a later incarnation gets tokens") {
  QuotaFleet F(withSeed(1));
  std::size_t Other = (F.ownerSeenBy(0) + 1) % 12;
  F.rejoin(Other);
  F.run(Seconds(3), 0, {});
  F.run(Seconds(3), 10, {Other});
  CHECK(F.refused() == 0);
  CHECK(F.started() > 20);
}

TEST_CASE("requests are served again soon after their owner is lost") {
  struct Load {
    double Rate;
    Duration For;
  };
  for (Load L : {Load{2, Seconds(6)}, Load{1, Seconds(8)}}) {
    std::size_t Refused = 0;
    std::size_t Offered = 0;
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      QuotaFleetOptions O = withSeed(Seed);
      O.Limit = {4, 4};
      QuotaFleet F(O);
      F.run(Seconds(4), L.Rate, all(12));
      F.kill(F.ownerSeenBy(0));
      F.resetCounts();
      F.run(L.For, L.Rate, all(12));
      Refused += F.refused();
      Offered += F.offered();
    }
    CAPTURE(L.Rate);
    CAPTURE(Refused);
    CHECK(Refused <= Offered / 20);
  }
}

TEST_CASE("a lost owner is replaced before the views show its loss") {
  std::size_t Offered = 0;
  std::size_t Started = 0;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    QuotaFleet F(withSeed(Seed));
    F.run(Seconds(4), 28, all(12));
    F.kill(F.ownerSeenBy(0));
    F.run(OwnerLease + Millis(200), 28, all(12));
    F.resetCounts();
    F.run(Millis(600), 28, all(12));
    Offered += F.offered();
    Started += F.started();
  }
  CHECK(double(Started) >= 0.9 * double(Offered));
}
