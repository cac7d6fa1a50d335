//===- GossipMessage.h - What members say to each other ---------*- C++ -*-===//
//
// The messages of the membership protocol as plain values; package peer turns
// them into datagrams and back. Every message carries the sender's word on
// itself and a few of its newest member updates, so that news spreads on the
// probes that are sent anyway and costs no messages of its own.
//
// Facts about one member are ordered by (incarnation, version, health): the
// incarnation changes at every start, the version is raised by the member
// itself whenever its state changes or it refutes an accusation, and health is
// what others think. The largest wins wherever it is heard, in any order and
// any number of times, so that lost, late and repeated messages do no harm.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FLEET_GOSSIPMESSAGE_H
#define SHALLOTSHIFT_FLEET_GOSSIPMESSAGE_H

#include "shallotshift/base.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace shallot {

/// The largest datagram, in bytes: it passes every link without being cut
/// into fragments, of which one lost loses all.
inline constexpr std::size_t MaxGossipBytes = 1200;

/// The most member updates in one message; the bytes usually bind first.
inline constexpr std::size_t MaxGossipUpdates = 24;

/// The table of members is compared in this many parts, one bit each in
/// GossipMessage::Buckets. 64 parts of 27 members at 1,700.
inline constexpr std::size_t GossipBuckets = 64;

enum class GossipKind : std::uint8_t {
  Probe,         ///< Are you there? Answered by Ack.
  Ack,           ///< Answers a Probe, or passes on the answer to a helper.
  IndirectProbe, ///< Probe Target for me; answered by Ack or Nack.
  Nack,          ///< I am there, but Target did not answer me either.
  SyncRequest,   ///< Here are my digests; send what differs.
  SyncReply,     ///< Members of the parts that differ, in Updates.
  SyncPush,      ///< The other half: the asker's members of those parts.
  Notice,        ///< News that needs no answer.
};

/// What others think of a member.
enum class Health : std::uint8_t { Trusted, Suspect, Failed };

/// One fact about one member. Who.State is what the member last said of
/// itself (Starting, Alive, Leaving or Left), never Suspect or Failed.
struct MemberUpdate {
  Member Who;
  std::uint64_t Version = 0;
  Health ObservedHealth = Health::Trusted;
  HostId Accuser; ///< Who thinks so; empty when Trusted.

  friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/// How far a daemon has read what the store holds beside the configuration.
struct StoreRevisions {
  std::uint64_t Quarantine = 0; ///< Requests that crash replicas.
  std::uint64_t Evacuations = 0;

  friend bool operator==(const StoreRevisions &,
                         const StoreRevisions &) = default;
};

struct GossipMessage {
  GossipKind Kind = GossipKind::Notice;
  MemberUpdate Sender; ///< The sender's word on itself.
  /// Matches a reply to what it answers; unique for one run of the asker.
  std::uint64_t Sequence = 0;
  /// Probe, IndirectProbe, Nack and passed-on Ack: the member that is meant.
  /// An empty host means whoever listens there.
  DaemonId Target;
  /// IndirectProbe: where Target listens.
  Endpoint TargetGossip;
  /// The configuration that the sender has in force.
  std::uint64_t ConfigGeneration = 0;
  std::uint64_t ConfigHead = 0; ///< Hash of its head.
  StoreRevisions Revisions;     ///< That the sender has read.
  /// SyncReply: parts that differ and that the replier wants in return.
  /// SyncPush: parts that are sent.
  std::uint64_t Buckets = 0;
  /// SyncRequest: GossipBuckets digests; otherwise empty.
  std::vector<std::uint32_t> Digests;
  std::vector<MemberUpdate> Updates; ///< At most MaxGossipUpdates.

  friend bool operator==(const GossipMessage &,
                         const GossipMessage &) = default;
};

/// The bytes of \p U in a datagram, never less than the codec's (unpacked
/// Cap'n Proto, addresses as numbers).
std::size_t wireBytes(const MemberUpdate &U);

/// The bytes of \p M as a datagram, never less than the codec's.
std::size_t wireBytes(const GossipMessage &M);

/// What anyone can check of a message from outside: bounded lists, a named
/// sender, states that members say of themselves. Fails with PeerBadMessage.
Result<void> checkMessage(const GossipMessage &M);

/// Orders two facts about the same host: incarnation, version, health.
std::strong_ordering newer(const MemberUpdate &A, const MemberUpdate &B);

} // namespace shallot

#endif // SHALLOTSHIFT_FLEET_GOSSIPMESSAGE_H
