//===- QuotaCodec.cpp -----------------------------------------------------===//
#include "peer/QuotaCodec.h"

#include "peer/DatagramReading.h"
#include "peer/generated/Peer.capnp.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

using internal::readName;
using internal::textOf;

/// The name of an organisation, which is only compared with known ones.
Tenant readOrganisation(capnp::Text::Reader From) {
  KJ_REQUIRE(From.size() <= MaxNameBytes, "name too long");
  return Tenant(std::string(From.begin(), From.size()));
}

std::uint32_t micros(Duration D) {
  constexpr std::int64_t Max = UINT32_MAX;
  auto Count = std::chrono::duration_cast<Micros>(D).count();
  // A positive time must not become 0, which has a meaning of its own.
  return static_cast<std::uint32_t>(
      D > Duration(0) ? std::clamp<std::int64_t>(Count, 1, Max) : 0);
}

double tokens(double Value) {
  KJ_REQUIRE(std::isfinite(Value) && Value >= 0, "bad number of tokens");
  return Value;
}

double fraction(double Value) {
  KJ_REQUIRE(std::isfinite(Value) && Value >= 0 && Value <= 1, "bad fraction");
  return Value;
}

QuotaAnswer readAnswer(std::uint8_t Value) {
  KJ_REQUIRE(Value <= static_cast<std::uint8_t>(QuotaAnswer::Agreed),
             "unknown answer to a claim");
  return static_cast<QuotaAnswer>(Value);
}

void put(const QuotaAsk &A, wire::QuotaAsk::Builder To) {
  To.setName(textOf(A.Name.str()));
  To.setSpent(A.Spent);
  To.setReturned(A.Returned);
  To.setNeeded(A.Needed);
  To.setWanted(A.Wanted);
}

void put(const QuotaGrant &G, wire::QuotaGrant::Builder To) {
  To.setName(textOf(G.Name.str()));
  To.setGranted(G.Granted);
  To.setWaitMicros(micros(G.Wait));
  To.setIntervalMicros(micros(G.Interval));
  To.setPrompt(G.Prompt);
}

void put(const QuotaRelease &R, wire::QuotaRelease::Builder To) {
  To.setName(textOf(R.Name.str()));
  To.setLevel(R.Level);
  To.setOutstanding(R.Outstanding);
  To.setIdle(R.Idle);
  To.setWithheld(R.Withheld);
  To.setWithheldMicros(micros(R.WithheldFor));
  To.setFraction(R.Fraction);
  To.setRival(R.Rival);
  To.setSupportsRival(R.SupportsRival);
  To.setIdleMillis(R.IdleMillis);
  To.setAnswer(static_cast<std::uint8_t>(R.Answer));
  To.setUptimeMillis(R.UptimeMillis);
}

template <typename Item, typename List>
void putAll(const std::vector<Item> &Items, List To) {
  for (unsigned I = 0; I < To.size(); ++I)
    put(Items[I], To[I]);
}

QuotaAsk take(wire::QuotaAsk::Reader From) {
  return {readOrganisation(From.getName()), From.getSpent(), From.getReturned(),
          From.getNeeded(), From.getWanted()};
}

QuotaGrant take(wire::QuotaGrant::Reader From) {
  return {readOrganisation(From.getName()), From.getGranted(),
          Micros(From.getWaitMicros()), Micros(From.getIntervalMicros()),
          From.getPrompt()};
}

QuotaRelease take(wire::QuotaRelease::Reader From) {
  return {readOrganisation(From.getName()), tokens(From.getLevel()),
          tokens(From.getOutstanding()),    tokens(From.getWithheld()),
          Micros(From.getWithheldMicros()), From.getIdle(),
          fraction(From.getFraction()),     readAnswer(From.getAnswer()),
          From.getUptimeMillis(),           From.getRival(),
          From.getSupportsRival(),          From.getIdleMillis()};
}

QuotaMessage takeMessage(wire::Quotas::Reader From) {
  std::size_t Entries = std::size_t(From.getAsks().size()) +
                        From.getGrants().size() + From.getClaims().size() +
                        From.getReleases().size();
  KJ_REQUIRE(Entries <= MaxQuotaEntries, "too many entries");
  QuotaMessage M;
  M.From = {HostId(readName(From.getHost())), From.getIncarnation()};
  M.Sequence = From.getSequence();
  for (wire::QuotaAsk::Reader A : From.getAsks())
    M.Asks.push_back(take(A));
  for (wire::QuotaGrant::Reader G : From.getGrants())
    M.Grants.push_back(take(G));
  for (capnp::Text::Reader Name : From.getClaims())
    M.Claims.push_back({readOrganisation(Name)});
  for (wire::QuotaRelease::Reader R : From.getReleases())
    M.Releases.push_back(take(R));
  return M;
}

} // namespace

std::vector<std::byte> encodeQuota(const QuotaMessage &M) {
  capnp::MallocMessageBuilder Message;
  auto To = Message.initRoot<wire::Quotas>();
  To.setHost(textOf(M.From.Host.str()));
  To.setIncarnation(M.From.Incarnation);
  To.setSequence(M.Sequence);
  putAll(M.Asks, To.initAsks(static_cast<unsigned>(M.Asks.size())));
  putAll(M.Grants, To.initGrants(static_cast<unsigned>(M.Grants.size())));
  auto Claims = To.initClaims(static_cast<unsigned>(M.Claims.size()));
  for (unsigned I = 0; I < Claims.size(); ++I)
    Claims.set(I, textOf(M.Claims[I].Name.str()));
  putAll(M.Releases, To.initReleases(static_cast<unsigned>(M.Releases.size())));
  return internal::datagramOf(Message);
}

Result<QuotaMessage> decodeQuota(std::span<const std::byte> Datagram) {
  return internal::readDatagram<wire::Quotas>(Datagram, &takeMessage);
}

} // namespace shallot
