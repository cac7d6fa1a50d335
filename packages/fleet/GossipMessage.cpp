#include "fleet/GossipMessage.h"

#include <fmt/format.h>

namespace shallot {
namespace {

constexpr std::size_t WordBytes = 8;

/// Size of a text in Cap'n Proto: a pointer, and the bytes with a terminating
/// zero, padded to whole words.
std::size_t textBytes(const std::string &Text) {
  return WordBytes + (Text.size() + WordBytes) / WordBytes * WordBytes;
}

/// Numeric fields of an update: incarnation, version, three addresses and
/// ports, state, health, capacity, load and access to the store.
constexpr std::size_t UpdateNumberBytes = 6 * WordBytes;

/// Numeric fields of a message: kind, sequence, the target's incarnation and
/// address, generation, head, buckets, two revisions and three epochs.
constexpr std::size_t MessageNumberBytes = 11 * WordBytes;
/// Pointers to the sender, digests, updates and the root, the tag of the list
/// of updates, and the segment table.
constexpr std::size_t MessagePointerBytes = 6 * WordBytes;

bool isSelfReported(MemberState S) {
  return S != MemberState::Suspect && S != MemberState::Failed;
}

Result<void> checkUpdate(const MemberUpdate &U) {
  auto Host = checkName(U.Who.Id.Host.str(), "gossip: host");
  if (!Host)
    return Host.error();
  if (!isSelfReported(U.Who.State))
    return fail(ResultCode::PeerBadMessage,
                fmt::format("gossip: '{}' announced itself as suspect or "
                            "failed, which only others may report",
                            U.Who.Id.str()));
  if (U.Who.Gossip.Port == 0)
    return fail(
        ResultCode::PeerBadMessage,
        fmt::format("gossip: '{}' has no gossip address", U.Who.Id.str()));
  return {};
}

} // namespace

std::size_t wireBytes(const MemberUpdate &U) {
  return UpdateNumberBytes + textBytes(U.Who.Id.Host.str()) +
         textBytes(U.Who.Zone.str()) + textBytes(U.Who.Reg.str()) +
         textBytes(U.Accuser.str());
}

std::size_t wireBytes(const GossipMessage &M) {
  std::size_t Bytes = MessageNumberBytes + MessagePointerBytes;
  Bytes += wireBytes(M.Sender);
  Bytes += textBytes(M.Target.Host.str());
  Bytes += (M.Digests.size() * sizeof(std::uint32_t) + WordBytes - 1) /
           WordBytes * WordBytes;
  for (const MemberUpdate &U : M.Updates)
    Bytes += wireBytes(U);
  return Bytes;
}

Result<void> checkMessage(const GossipMessage &M) {
  if (M.Updates.size() > MaxGossipUpdates)
    return fail(ResultCode::PeerBadMessage,
                fmt::format("gossip: {} updates, at most {} are allowed",
                            M.Updates.size(), MaxGossipUpdates));
  std::size_t Digests = M.Kind == GossipKind::SyncRequest ? GossipBuckets : 0;
  if (M.Digests.size() != Digests)
    return fail(ResultCode::PeerBadMessage,
                fmt::format("gossip: {} digests, expected {}", M.Digests.size(),
                            Digests));
  auto Sender = checkUpdate(M.Sender);
  if (!Sender)
    return Sender.error();
  for (const MemberUpdate &U : M.Updates) {
    auto Checked = checkUpdate(U);
    if (!Checked)
      return Checked.error();
  }
  return {};
}

std::strong_ordering newer(const MemberUpdate &A, const MemberUpdate &B) {
  if (auto C = A.Who.Id.Incarnation <=> B.Who.Id.Incarnation; std::is_neq(C))
    return C;
  if (auto C = A.Version <=> B.Version; std::is_neq(C))
    return C;
  return A.ObservedHealth <=> B.ObservedHealth;
}

} // namespace shallot
