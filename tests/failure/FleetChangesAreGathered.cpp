// Guards against shares and sources that are computed anew for each new member.
#include "FrontFixture.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace shallot;
using namespace shallot::test;

TEST_CASE_FIXTURE(FrontFixture,
                  "many changes of the fleet are applied at once") {
  start();
  constexpr int Joining = 200;
  int Applied = 0;
  Daemon->onFleetChanged([&] { ++Applied; });
  auto Sender = attempt([&] {
    return GossipSocket::open(Loop, freeEndpoint(ownLoopbackIp()),
                              [](const GossipMessage &, const Endpoint &) {});
  });
  REQUIRE(Sender);
  Instant Began = Loop.now();
  for (int N = 0; N < Joining; ++N) {
    GossipMessage M;
    M.Sender.Who.Id = {HostId(fmt::format("joining-{:03}", N)), 1};
    M.Sender.Who.Zone = Set.Here.Zone;
    M.Sender.Who.Reg = Set.Here.Reg;
    M.Sender.Who.Gossip = {"127.0.0.1", 9};
    (*Sender)->send(Set.Gossip, M);
  }
  runUntil([&] { return Daemon->view().Members.size() > Joining; });
  runFor(Millis(200));
  auto Periods = (Loop.now() - Began) / Millis(100);
  CHECK(Applied <= Periods + 2);
  CHECK(Applied >= 2);
}
