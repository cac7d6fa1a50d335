// All daemons must converge to the same members soon after faults end, whatever
// loss, delay, duplication, pauses, crashes and restarts came before.
#include "FleetBag.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

/// 80 mean probe periods of 750 ms. Detecting a failed member takes about ten,
/// a daemon that was slowed down by faults several times as many.
constexpr Duration Bound = 80 * Millis(750);

void randomFault(FleetBag &Bag) {
  std::size_t N = below(Bag.Rng, Bag.Nodes.size());
  switch (below(Bag.Rng, 5)) {
  case 0:
    return Bag.crash(N);
  case 1:
    return Bag.start(N);
  case 2:
    return Bag.pause(N, Millis(200 + below(Bag.Rng, 15000)));
  case 3:
    Bag.Faults.Loss = 0.3 * uniform01(Bag.Rng);
    Bag.Faults.Duplicate = 0.3 * uniform01(Bag.Rng);
    Bag.Faults.MaxWay = Millis(2 + below(Bag.Rng, 400));
    return;
  default:
    std::size_t Side = 1 + below(Bag.Rng, 4);
    Bag.Faults.Cut = [Side](std::size_t A, std::size_t B) {
      return (A % 5 < Side) != (B % 5 < Side);
    };
  }
}

void stopFaults(FleetBag &Bag) {
  Bag.Faults = {};
  for (std::size_t N = 0; N < Bag.Nodes.size(); ++N) {
    Bag.Nodes[N].PausedUntil = Instant();
    if (!Bag.up(N) && N < 3)
      Bag.start(N); // The seeds; other members may stay down.
  }
}

} // namespace

TEST_CASE("all live members converge after any faults") {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    Random Sizes(Seed);
    FleetBag Bag(3 + below(Sizes, 38), Seed);
    CAPTURE(Bag.Nodes.size());
    Bag.startAll();
    for (int F = 0; F < 25; ++F) {
      randomFault(Bag);
      Bag.run(Millis(below(Bag.Rng, 4000)));
    }
    stopFaults(Bag);
    CHECK(Bag.untilAgreed(Bound) < Bound);
    for (std::size_t N = 0; N < Bag.Nodes.size(); ++N)
      if (Bag.up(N))
        CHECK(Bag.at(N).mayAct(Bag.Now));
  }
}

TEST_CASE("merging updates is independent of order and repetition") {
  Random Rng(5);
  std::vector<MemberUpdate> Facts;
  for (std::uint64_t Incarnation : {1, 2})
    for (std::uint64_t Version : {0, 1, 2}) {
      MemberUpdate U;
      U.Who.Id = {HostId("h"), Incarnation};
      U.Who.Gossip = {"10.0.0.9", 7946};
      U.Who.State = Version == 2 ? MemberState::Leaving : MemberState::Alive;
      U.Version = Version;
      Facts.push_back(U);
      U.ObservedHealth = Health::Suspect;
      U.Accuser = HostId("a");
      Facts.push_back(U);
    }
  FleetBag Bag(1, 1);
  for (int Round = 0; Round < 200; ++Round) {
    Bag.start(0);
    std::vector<MemberUpdate> Shuffled = Facts;
    Shuffled.insert(Shuffled.end(), Facts.begin(), Facts.end());
    for (std::size_t N = Shuffled.size(); N > 1; --N)
      std::swap(Shuffled[N - 1], Shuffled[below(Rng, N)]);
    for (const MemberUpdate &U : Shuffled) {
      GossipMessage M;
      M.Sender.Who = Bag.member(0);
      M.Sender.Who.Id = {HostId("other"), 1};
      M.Updates.push_back(U);
      Bag.Nodes[0].Machine->onMessage(M, Bag.Now);
    }
    const auto &Members = Bag.at(0).view().Members;
    REQUIRE(Members.size() == 3);
    CHECK(Members[1].Id == DaemonId{HostId("h"), 2});
    CHECK(Members[1].State == MemberState::Leaving);
  }
}

TEST_CASE(
    "an announcement sends the configuration to the named peers at once") {
  FleetBag Bag(4, 1);
  Bag.startMet();
  Membership &M = *Bag.Nodes[0].Machine;
  M.setConfig(17, 0xabc);
  DaemonId Unknown{HostId("nobody"), 1};
  auto Out = M.announce({Bag.member(2).Id, Unknown}, Bag.Now);
  REQUIRE(Out.Sends.size() == 1);
  CHECK(Out.Sends[0].To == Bag.member(2).Gossip);
  Bag.Nodes[2].Machine->onMessage(Out.Sends[0].Message, Bag.Now);
  for (const PeerConfig &P : Bag.at(2).peerConfigs())
    CHECK(P.Generation == (P.Who == Bag.member(0).Id ? 17 : 0));
}
