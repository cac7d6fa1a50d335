// Checks that messages on quotas survive encoding, fit into a datagram and are
// refused if they are damaged.
#include "shallotshift/fleet.h"
#include "shallotshift/peer.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

QuotaMessage fullMessage(std::size_t NameBytes) {
  Tenant Name(std::string(NameBytes, 'n'));
  QuotaMessage M;
  M.From = {HostId(std::string(NameBytes, 'h')), 7};
  M.Sequence = 42;
  M.Asks = {{Name, 10, 2, 3, 4}, {Name, 1, 0, 0, 0}};
  M.Grants = {{Name, 12, Millis(20), Micros(1), true}, {Name, 1, {}, {}}};
  M.Claims = {{Name}};
  M.Releases = {
      {Name, 2.5, 1, 7.5, Millis(3), true, 0.5, QuotaAnswer::Agreed, 800, 9}};
  return M;
}

bool refused(const QuotaMessage &M) {
  auto Read = attempt([&] { return decodeQuota(encodeQuota(M)); });
  return !Read && Read.error().Code == ResultCode::PeerBadMessage;
}

} // namespace

TEST_CASE("a message on quotas survives encoding and fits into a datagram") {
  for (std::size_t NameBytes : {std::size_t(1), MaxNameBytes}) {
    QuotaMessage M = fullMessage(NameBytes);
    std::vector<std::byte> Bytes = encodeQuota(M);
    CHECK(Bytes.size() <= MaxGossipBytes);
    auto Read = attempt([&] { return decodeQuota(Bytes); });
    REQUIRE(Read);
    CHECK(*Read == M);
  }
}

TEST_CASE("damaged messages on quotas are refused") {
  std::vector<std::byte> Bytes = encodeQuota(fullMessage(9));
  for (std::size_t Size = 0; Size < Bytes.size(); Size += 8)
    CHECK_FALSE(
        attempt([&] { return decodeQuota(std::span(Bytes).first(Size)); }));
  QuotaMessage Many = fullMessage(9);
  Many.Claims.push_back(Many.Claims.front());
  CHECK(refused(Many));
  QuotaMessage Negative = fullMessage(9);
  Negative.Releases[0].Level = -1;
  CHECK(refused(Negative));
  QuotaMessage Whole = fullMessage(9);
  Whole.Releases[0].Fraction = 1.5;
  CHECK(refused(Whole));
  QuotaMessage Unknown = fullMessage(9);
  Unknown.Releases[0].Answer = QuotaAnswer(3);
  CHECK(refused(Unknown));
  QuotaMessage BadName = fullMessage(9);
  BadName.From.Host = HostId("a b");
  CHECK(refused(BadName));
  QuotaMessage LongName = fullMessage(9);
  LongName.Asks[0].Name = Tenant(std::string(MaxNameBytes + 1, 'n'));
  CHECK(refused(LongName));
}
