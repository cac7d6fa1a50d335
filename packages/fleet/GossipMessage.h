//===- GossipMessage.h - Messages of the membership protocol ----*- C++ -*-===//
//
// The messages of the membership protocol as plain values; package peer encodes
// and decodes datagrams. Every message carries the sender's own state and a few
// recent member updates, so that updates are piggybacked on probes. Only fresh
// updates are also sent in messages of their own (Notice).
//
// Updates about one member are ordered by (incarnation, version, health). The
// incarnation changes at every start. The member itself raises the version
// when its state changes or it refutes an accusation. Health is what others
// observed. The largest update wins in any order and with any repetition, so
// lost, late and duplicate messages do no harm.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_GOSSIPMESSAGE_H
#define SHALLOTSHIFT_FLEET_GOSSIPMESSAGE_H

#include "shallotshift/base.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace shallot {

/// The largest datagram in bytes. It passes every link without fragmentation;
/// the loss of a single fragment would lose the whole datagram.
inline constexpr std::size_t MaxGossipBytes = 1200;

/// The most member updates per message; usually MaxGossipBytes binds first.
inline constexpr std::size_t MaxGossipUpdates = 24;

/// The number of buckets in which member tables are compared, one bit each in
/// GossipMessage::Buckets. With 1,700 members, each of the 64 has about 27.
inline constexpr std::size_t GossipBuckets = 64;

enum class GossipKind : std::uint8_t {
  Probe,         ///< Checks that the target is alive; answered by Ack.
  Ack,           ///< Answers a Probe, directly or relayed by a helper.
  IndirectProbe, ///< Asks a helper to probe Target; answered by Ack or Nack.
  Nack,          ///< The helper is alive, but Target did not answer it.
  SyncRequest,   ///< Sends digests and asks for the buckets that differ.
  SyncReply,     ///< Sends members of the buckets that differ, in Updates.
  SyncPush,      ///< Sends the requester's members of these buckets back.
  Notice,        ///< Sends updates; not answered.
};

/// The health of a member as observed by others.
enum class Health : std::uint8_t { Trusted, Suspect, Failed };

/// An update about one member. Who.State is what the member last announced
/// (Starting, Alive, Leaving or Left), never Suspect or Failed.
struct MemberUpdate {
  Member Who;
  std::uint64_t Version = 0;
  Health ObservedHealth = Health::Trusted;
  HostId Accuser; ///< The member that observed it; empty when Trusted.

  friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/// The revisions that a daemon has read of the objects that the store holds
/// besides the configuration.
struct StoreRevisions {
  std::uint64_t HeadEpoch = 0; ///< Of GossipMessage::ConfigHead, if a revision.
  StoreRevision Quarantine;    ///< Of the requests that crash replicas.
  StoreRevision Evacuations;

  friend bool operator==(const StoreRevisions &,
                         const StoreRevisions &) = default;
};

struct GossipMessage {
  GossipKind Kind = GossipKind::Notice;
  MemberUpdate Sender; ///< The sender's own state.
  /// Matches replies to requests; unique within one run of the requester.
  std::uint64_t Sequence = 0;
  /// Probe, IndirectProbe, Nack and relayed Ack: the member that is probed. An
  /// empty host matches any daemon at the endpoint.
  DaemonId Target;
  /// IndirectProbe: the endpoint of Target.
  Endpoint TargetGossip;
  /// The configuration in force at the sender.
  std::uint64_t ConfigGeneration = 0;
  /// Hash of the configuration head, or a revision's number.
  std::uint64_t ConfigHead = 0;
  StoreRevisions Revisions; ///< Read by the sender.
  /// SyncReply: buckets that differ, requested in return. SyncPush: buckets
  /// sent.
  std::uint64_t Buckets = 0;
  /// SyncRequest: GossipBuckets digests; otherwise empty.
  std::vector<std::uint32_t> Digests;
  std::vector<MemberUpdate> Updates; ///< At most MaxGossipUpdates.

  friend bool operator==(const GossipMessage &,
                         const GossipMessage &) = default;
};

/// Upper bound of the encoded size of \p U (unpacked Cap'n Proto, addresses as
/// numbers).
std::size_t wireBytes(const MemberUpdate &U);

/// Upper bound of the size of \p M as a datagram.
std::size_t wireBytes(const GossipMessage &M);

/// Checks what can be checked of a message without context: the sizes of lists
/// and, of the sender and each update, the host name, the announced state and
/// the gossip port. Fails with BadName for a host name, otherwise with
/// PeerBadMessage.
Result<void> checkMessage(const GossipMessage &M);

/// Orders updates about one host by incarnation, version and health.
std::strong_ordering newer(const MemberUpdate &A, const MemberUpdate &B);

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_GOSSIPMESSAGE_H
