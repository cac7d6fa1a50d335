// Datagrams are filled by an estimate of their encoded size. If it were too
// low, datagrams would be fragmented or not sent at all, but only while many
// updates are queued.
#include "FleetBag.h"
#include "peer/DatagramReading.h"
#include "peer/generated/Peer.capnp.h"
#include "shallotshift/peer.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

TEST_CASE("no datagram exceeds its estimate or loses anything") {
  FleetBag Bag(40, 12);
  Bag.startAll();
  Bag.Faults.Loss = 0.2;
  std::size_t Checked = 0;
  std::size_t Largest = 0;
  for (int T = 0; T < 300; ++T) {
    Bag.run(Millis(100));
    if (T == 150)
      Bag.crash(7);
    Instant Soon = Bag.Now + Millis(100);
    for (const GossipSend &S : Bag.Nodes[5].Machine->onTick(Soon).Sends) {
      std::vector<std::byte> Bytes = encodeGossip(S.Message);
      CHECK(Bytes.size() <= wireBytes(S.Message));
      CHECK(Bytes.size() <= MaxGossipBytes);
      auto Back = attempt([&] { return decodeGossip(Bytes); });
      REQUIRE(Back);
      CHECK(*Back == S.Message);
      Largest = std::max(Largest, Bytes.size());
      ++Checked;
    }
  }
  CHECK(Checked > 50);
  CHECK(Largest > 1000);
}

TEST_CASE("an update with the longest names fits its estimate") {
  GossipMessage M;
  M.Kind = GossipKind::SyncRequest;
  M.Digests.assign(GossipBuckets, 7);
  for (std::size_t Length = 1; Length <= MaxNameBytes; ++Length) {
    std::string Name(Length, 'n');
    MemberUpdate &U = M.Sender;
    U.Who.Id = {HostId(Name), 1};
    U.Who.Zone = AvailabilityZone(Name);
    U.Who.Reg = Region(Name);
    U.Who.Gossip = {"10.0.0.1", 1};
    U.Accuser = HostId(Name);
    M.Target = {HostId(Name), 1};
    CHECK(encodeGossip(M).size() <= wireBytes(M));
  }
}

TEST_CASE("access to the store is told, and unknown from other versions") {
  GossipMessage M;
  M.Sender.Who.Id = {HostId("entry-a"), 1};
  M.Sender.Who.Zone = AvailabilityZone("a");
  M.Sender.Who.Reg = Region("r");
  M.Sender.Who.Gossip = {"10.0.0.1", 1};
  for (StoreAccess A :
       {StoreAccess::Untried, StoreAccess::Reads, StoreAccess::Refused}) {
    M.Sender.Who.Store = A;
    auto Back = attempt([&] { return decodeGossip(encodeGossip(M)); });
    REQUIRE(Back);
    CHECK(Back->Sender.Who.Store == A);
  }
  // A later version may know more values.
  capnp::MallocMessageBuilder Later;
  auto Sender = Later.initRoot<wire::Gossip>().initSender();
  Sender.setHost("entry-a");
  Sender.setGossipPort(1);
  Sender.setStoreAccess(77);
  auto Back =
      attempt([&] { return decodeGossip(internal::datagramOf(Later)); });
  REQUIRE(Back);
  CHECK(Back->Sender.Who.Store == StoreAccess::Untried);
}
