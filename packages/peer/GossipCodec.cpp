#include "peer/GossipCodec.h"

#include "peer/DatagramReading.h"
#include "peer/generated/Peer.capnp.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace shallot {

namespace {

using internal::readName;
using internal::textOf;

/// The address as a number in host order; 0 for an empty one.
std::uint32_t ipNumber(const std::string &Ip) {
  in_addr Address{};
  return inet_pton(AF_INET, Ip.c_str(), &Address) == 1 ? ntohl(Address.s_addr)
                                                       : 0;
}

Endpoint endpoint(std::uint32_t Ip, std::uint16_t Port) {
  if (Ip == 0)
    return {{}, Port};
  in_addr Address{htonl(Ip)};
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Address, Text, sizeof(Text));
  return {Text, Port};
}

template <typename Enum> Enum checked(std::uint8_t Number, Enum Last) {
  KJ_REQUIRE(Number <= static_cast<std::uint8_t>(Last), "unknown value");
  return static_cast<Enum>(Number);
}

/// A value of a later version says nothing that this one can use.
StoreAccess storeAccess(std::uint8_t Number) {
  return Number <= static_cast<std::uint8_t>(StoreAccess::Refused)
             ? static_cast<StoreAccess>(Number)
             : StoreAccess::Untried;
}

void put(const MemberUpdate &U, wire::GossipMember::Builder To) {
  To.setHost(textOf(U.Who.Id.Host.str()));
  To.setIncarnation(U.Who.Id.Incarnation);
  To.setZone(textOf(U.Who.Zone.str()));
  To.setRegion(textOf(U.Who.Reg.str()));
  To.setHttpIp(ipNumber(U.Who.Http.Ip));
  To.setGossipIp(ipNumber(U.Who.Gossip.Ip));
  To.setRpcIp(ipNumber(U.Who.Rpc.Ip));
  To.setHttpPort(U.Who.Http.Port);
  To.setGossipPort(U.Who.Gossip.Port);
  To.setRpcPort(U.Who.Rpc.Port);
  To.setState(static_cast<std::uint8_t>(U.Who.State));
  To.setThought(static_cast<std::uint8_t>(U.ObservedHealth));
  To.setVersion(U.Version);
  To.setCapacity(U.Who.Capacity);
  To.setLoad(U.Who.Load);
  To.setStoreAccess(static_cast<std::uint8_t>(U.Who.Store));
  if (!U.Accuser.empty())
    To.setAccuser(textOf(U.Accuser.str()));
}

MemberUpdate take(wire::GossipMember::Reader From) {
  MemberUpdate U;
  U.Who.Id = {HostId(readName(From.getHost())), From.getIncarnation()};
  U.Who.Zone = AvailabilityZone(readName(From.getZone()));
  U.Who.Reg = Region(readName(From.getRegion()));
  U.Who.Http = endpoint(From.getHttpIp(), From.getHttpPort());
  U.Who.Gossip = endpoint(From.getGossipIp(), From.getGossipPort());
  U.Who.Rpc = endpoint(From.getRpcIp(), From.getRpcPort());
  U.Who.State = checked(From.getState(), MemberState::Left);
  U.Version = From.getVersion();
  U.Who.Capacity = From.getCapacity();
  U.Who.Load = From.getLoad();
  U.Who.Store = storeAccess(From.getStoreAccess());
  U.ObservedHealth = checked(From.getThought(), Health::Failed);
  U.Accuser = HostId(readName(From.getAccuser()));
  return U;
}

void put(const GossipMessage &M, wire::Gossip::Builder To) {
  To.setKind(static_cast<std::uint8_t>(M.Kind));
  put(M.Sender, To.initSender());
  To.setSequence(M.Sequence);
  if (!M.Target.Host.empty())
    To.setTargetHost(textOf(M.Target.Host.str()));
  To.setTargetIncarnation(M.Target.Incarnation);
  To.setTargetIp(ipNumber(M.TargetGossip.Ip));
  To.setTargetPort(M.TargetGossip.Port);
  To.setConfigGeneration(M.ConfigGeneration);
  To.setConfigHead(M.ConfigHead);
  To.setHeadEpoch(M.Revisions.HeadEpoch);
  To.setQuarantineRevision(M.Revisions.Quarantine.Number);
  To.setQuarantineEpoch(M.Revisions.Quarantine.Epoch);
  To.setEvacuationRevision(M.Revisions.Evacuations.Number);
  To.setEvacuationEpoch(M.Revisions.Evacuations.Epoch);
  To.setBuckets(M.Buckets);
  if (!M.Digests.empty())
    To.setDigests(
        kj::ArrayPtr<const std::uint32_t>(M.Digests.data(), M.Digests.size()));
  if (M.Updates.empty())
    return;
  auto Updates = To.initUpdates(static_cast<unsigned>(M.Updates.size()));
  for (unsigned I = 0; I < Updates.size(); ++I)
    put(M.Updates[I], Updates[I]);
}

GossipMessage take(wire::Gossip::Reader From) {
  GossipMessage M;
  M.Kind = checked(From.getKind(), GossipKind::Notice);
  M.Sender = take(From.getSender());
  M.Sequence = From.getSequence();
  M.Target = {HostId(readName(From.getTargetHost())),
              From.getTargetIncarnation()};
  M.TargetGossip = endpoint(From.getTargetIp(), From.getTargetPort());
  M.ConfigGeneration = From.getConfigGeneration();
  M.ConfigHead = From.getConfigHead();
  M.Revisions = {From.getHeadEpoch(),
                 {From.getQuarantineEpoch(), From.getQuarantineRevision()},
                 {From.getEvacuationEpoch(), From.getEvacuationRevision()}};
  M.Buckets = From.getBuckets();
  // Lengths are checked before anything is allocated for them: a list of
  // nothings of any length fits into a few bytes.
  KJ_REQUIRE(From.getDigests().size() <= GossipBuckets, "too many digests");
  KJ_REQUIRE(From.getUpdates().size() <= MaxGossipUpdates, "too many updates");
  for (std::uint32_t Digest : From.getDigests())
    M.Digests.push_back(Digest);
  for (wire::GossipMember::Reader U : From.getUpdates())
    M.Updates.push_back(take(U));
  return M;
}

} // namespace

std::vector<std::byte> encodeGossip(const GossipMessage &M) {
  capnp::MallocMessageBuilder Message(MaxGossipBytes / sizeof(capnp::word));
  put(M, Message.initRoot<wire::Gossip>());
  return internal::datagramOf(Message);
}

Result<GossipMessage> decodeGossip(std::span<const std::byte> Datagram) {
  BOOST_LEAF_AUTO(
      M, internal::readDatagram<wire::Gossip>(
             Datagram, [](wire::Gossip::Reader From) { return take(From); }));
  auto Checked = attempt([&] { return checkMessage(M); });
  if (!Checked)
    return fail(ResultCode::PeerBadMessage, Checked.error().Detail);
  return M;
}

} // namespace shallot
