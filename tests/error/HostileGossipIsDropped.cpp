// A datagram that is cut, changed, oversize or garbage is dropped and counted;
// the daemon lives and understands the next one. Whatever is accepted passes
// the checks that every message passes.
#include "PeerFixture.h"

#include <asio/ip/udp.hpp>
#include <cstring>

using namespace shallot;

namespace {

MemberUpdate update(const std::string &Host) {
  MemberUpdate U;
  U.Who = peerMember(Host, 41042, 77);
  U.Who.Http = {"127.0.15.1", 8080};
  U.Who.Gossip = {"127.0.15.1", 41041};
  U.Version = 3;
  U.ObservedHealth = Health::Suspect;
  U.Accuser = HostId("entry-z");
  return U;
}

GossipMessage message() {
  GossipMessage M;
  M.Kind = GossipKind::IndirectProbe;
  M.Sender = update("entry-a");
  M.Sender.ObservedHealth = Health::Trusted;
  M.Sender.Accuser = {};
  M.Sequence = 0x1122334455667788;
  M.Target = {HostId("entry-b"), 9};
  M.TargetGossip = {"127.0.15.9", 41049};
  M.ConfigGeneration = 12;
  M.ConfigHead = 0xfeed;
  M.Buckets = 5;
  M.Updates = {update("entry-b"), update("entry-c")};
  return M;
}

} // namespace

TEST_CASE("a message survives the way, and never exceeds its estimate") {
  GossipMessage M = message();
  auto Bytes = encodeGossip(M);
  auto Back = attempt([&] { return decodeGossip(Bytes); });
  REQUIRE_MESSAGE(Back, Back.error().Detail);
  CHECK(*Back == M);
  CHECK(Bytes.size() <= wireBytes(M));
  M.Kind = GossipKind::SyncRequest;
  M.Digests.assign(GossipBuckets, 7);
  M.Updates.clear();
  Bytes = encodeGossip(M);
  CHECK(Bytes.size() <= MaxGossipBytes);
  CHECK(Bytes.size() <= wireBytes(M));
}

TEST_CASE("no change of bits gets more through than a checked message") {
  Random Rng(20260301);
  const auto Good = encodeGossip(message());
  int Accepted = 0;
  for (int Round = 0; Round < 200000; ++Round) {
    auto Bytes = Good;
    for (std::uint64_t Flips = 1 + below(Rng, 8); Flips > 0; --Flips)
      Bytes[below(Rng, Bytes.size())] = std::byte(Rng());
    if (below(Rng, 4) == 0)
      Bytes.resize(below(Rng, Bytes.size() / 8) * 8);
    auto M = attempt([&] { return decodeGossip(Bytes); });
    if (!M) {
      REQUIRE(M.error().Code == ResultCode::PeerBadMessage);
      continue;
    }
    ++Accepted;
    REQUIRE(M->Updates.size() <= MaxGossipUpdates);
    REQUIRE(attempt([&] { return checkMessage(*M); }));
    REQUIRE(encodeGossip(*M).size() <= 2 * wireBytes(*M));
  }
  CHECK(Accepted > 0);
}

TEST_CASE("garbage on the socket is counted, the next message is heard") {
  PeerFixture F;
  std::optional<GossipMessage> Heard;
  auto Open = [&](std::uint16_t Port) {
    auto S = attempt([&] {
      return GossipSocket::open(
          F.Loop, {"127.0.15.1", Port},
          [&](const GossipMessage &M, const Endpoint &) { Heard = M; });
    });
    REQUIRE_MESSAGE(S, S.error().Detail);
    return std::move(*S);
  };
  auto A = Open(41041);
  auto B = Open(41042);
  asio::ip::udp::socket Raw(F.Loop.context(), asio::ip::udp::v4());
  asio::ip::udp::endpoint To(asio::ip::make_address_v4("127.0.15.1"), 41042);
  for (std::size_t Size : {1, 8, 700, 1200, 1208, 9000})
    Raw.send_to(asio::buffer(std::string(Size, '\x7f')), To);
  Raw.send_to(asio::buffer(std::string(64, '\0')), To);
  A->send({"127.0.15.1", 41042}, message());
  F.runUntil([&] { return Heard.has_value(); });
  CHECK(*Heard == message());
  CHECK(B->stats().Malformed == 7);
  CHECK(B->stats().Received == 8);
}

TEST_CASE("an oversize message is not sent") {
  PeerFixture F;
  auto S = attempt([&] {
    return GossipSocket::open(F.Loop, {"127.0.15.1", 41041},
                              [](const GossipMessage &, const Endpoint &) {});
  });
  REQUIRE(S);
  GossipMessage M = message();
  M.Updates.assign(MaxGossipUpdates, update(std::string(90, 'x')));
  (*S)->send({"127.0.15.1", 41042}, M);
  CHECK((*S)->stats().Oversize == 1);
  CHECK((*S)->stats().Sent == 0);
}

TEST_CASE("what waited in the socket during a pause can be thrown away") {
  PeerFixture F;
  int Heard = 0;
  auto S = attempt([&] {
    return GossipSocket::open(
        F.Loop, {"127.0.15.1", 41041},
        [&](const GossipMessage &, const Endpoint &) { ++Heard; });
  });
  REQUIRE(S);
  for (int I = 0; I < 5; ++I)
    (*S)->send({"127.0.15.1", 41041}, message());
  CHECK((*S)->discardWaiting() == 5);
  (*S)->send({"127.0.15.1", 41041}, message());
  F.runUntil([&] { return Heard > 0; });
  F.runFor(Millis(20));
  CHECK(Heard == 1);
}
