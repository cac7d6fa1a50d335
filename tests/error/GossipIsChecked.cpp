// Datagrams may come from anyone: a message that no member would send is
// rejected with an error and changes nothing.
#include "FleetBag.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

ResultCode codeOf(const GossipMessage &M) {
  return attempt([&] { return checkMessage(M); }).error().Code;
}

} // namespace

TEST_CASE("an invalid message is rejected and ignored") {
  FleetBag Bag(3, 1);
  Bag.startMet();
  GossipMessage Good;
  Good.Sender.Who = Bag.member(1);
  CHECK(codeOf(Good) == ResultCode::Ok);

  GossipMessage TooMany = Good;
  TooMany.Updates.assign(MaxGossipUpdates + 1, Good.Sender);
  CHECK(codeOf(TooMany) == ResultCode::PeerBadMessage);
  GossipMessage NoHost = Good;
  NoHost.Sender.Who.Id.Host = HostId();
  CHECK(codeOf(NoHost) == ResultCode::BadName);
  GossipMessage Digests = Good;
  Digests.Digests.assign(3, 0);
  CHECK(codeOf(Digests) == ResultCode::PeerBadMessage);
  GossipMessage SaysFailed = Good;
  SaysFailed.Sender.Who.State = MemberState::Failed;
  CHECK(codeOf(SaysFailed) == ResultCode::PeerBadMessage);
  GossipMessage NoAddress = Good;
  NoAddress.Updates.push_back(Good.Sender);
  NoAddress.Updates[0].Who.Gossip.Port = 0;
  CHECK(codeOf(NoAddress) == ResultCode::PeerBadMessage);

  FleetView Before = Bag.at(0).view();
  for (const GossipMessage &M :
       {TooMany, NoHost, Digests, SaysFailed, NoAddress}) {
    MembershipOutput Out = Bag.Nodes[0].Machine->onMessage(M, Bag.Now);
    CHECK(Out.Sends.empty());
  }
  CHECK(Bag.at(0).view() == Before);
}

TEST_CASE("every datagram stays within its size limit, also with long names") {
  FleetBag Bag(30, 1);
  Bag.startAll();
  for (std::size_t N = 0; N < 30; ++N) {
    GossipMessage M;
    M.Sender.Who = Bag.member(N);
    M.Sender.Who.Id.Host = HostId(std::string(90, 'h') + std::to_string(N));
    M.Sender.Who.Zone = AvailabilityZone(std::string(96, 'z'));
    Bag.Nodes[0].Machine->onMessage(M, Bag.Now);
  }
  std::size_t Largest = 0;
  for (int T = 0; T < 200; ++T) {
    Bag.Now += Millis(100);
    for (const GossipSend &S : Bag.Nodes[0].Machine->onTick(Bag.Now).Sends)
      Largest = std::max(Largest, wireBytes(S.Message));
  }
  CHECK(Largest > 800);
  CHECK(Largest <= MaxGossipBytes);
}

TEST_CASE("an error for an invalid option names the values") {
  FleetBag Bag(1, 1);
  MembershipOptions Options;
  Options.MaxPeriod = Millis(10);
  auto Made = attempt([&] {
    return Membership::make(Options, Bag.member(0), {}, Bag.Rng, Bag.Now);
  });
  CHECK(Made.error().Code == ResultCode::SettingsInvalid);
  CHECK(Made.error().Detail.find("500 to 10 ms") != std::string::npos);
}
