//===- QuotaCodec.h - Messages on quotas as datagrams -----------*- C++ -*-===//
#ifndef SHALLOTSHIFT_PEER_QUOTACODEC_H
#define SHALLOTSHIFT_PEER_QUOTACODEC_H

#include "shallotshift/base.h"
#include "shallotshift/limits.h"

#include <cstddef>
#include <span>
#include <vector>

namespace shallot {

std::vector<std::byte> encodeQuota(const QuotaMessage &M);

/// Fails with PeerBadMessage, also for more than MaxQuotaEntries entries, names
/// that are not allowed, and numbers that are negative or not finite.
Result<QuotaMessage> decodeQuota(std::span<const std::byte> Datagram);

} // namespace shallot

#endif // SHALLOTSHIFT_PEER_QUOTACODEC_H
