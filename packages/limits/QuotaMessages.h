//===- QuotaMessages.h - What daemons say of quotas -------------*- C++ -*-===//
//
// A daemon asks the owner of an organisation for tokens and reports what became
// of earlier ones. All counts are totals since the start of the daemon that
// sends them, so that lost, late and duplicate messages do no harm.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_QUOTAMESSAGES_H
#define SHALLOTSHIFT_LIMITS_QUOTAMESSAGES_H

#include "shallotshift/base.h"

#include <vector>

namespace shallot {

/// To the owner: one organisation's tokens at the sender.
struct QuotaAsk {
  Tenant Name;
  std::uint64_t Spent = 0;    ///< Tokens used or no longer usable.
  std::uint64_t Returned = 0; ///< Tokens given back unused.
  std::uint32_t Needed = 0;   ///< For requests that are waiting.
  std::uint32_t Wanted = 0;   ///< For requests that are expected.

  friend bool operator==(const QuotaAsk &, const QuotaAsk &) = default;
};

/// The owner's reply.
struct QuotaGrant {
  Tenant Name;
  std::uint64_t Granted = 0; ///< All tokens granted to the receiver.
  /// The time until a token is expected, if fewer were granted than needed.
  Duration Wait{};
  /// The usual time between two tokens for the receiver while all daemons that
  /// hold tokens need more.
  Duration Interval{};

  friend bool operator==(const QuotaGrant &, const QuotaGrant &) = default;
};

/// From a new owner to the daemon that would be the owner without it, and may
/// not know of it yet. Answered by QuotaRelease.
struct QuotaClaim {
  Tenant Name;

  friend bool operator==(const QuotaClaim &, const QuotaClaim &) = default;
};

/// To a new owner, which need not wait any longer: the sender does not act as
/// the owner any more.
struct QuotaRelease {
  Tenant Name;
  double Level = 0;       ///< Tokens that are left.
  double Outstanding = 0; ///< Tokens granted and not yet reported as spent.

  friend bool operator==(const QuotaRelease &, const QuotaRelease &) = default;
};

struct QuotaMessage {
  DaemonId From;
  /// Chosen by the sender of asks and repeated in the reply to them.
  std::uint64_t Sequence = 0;
  std::vector<QuotaAsk> Asks;
  std::vector<QuotaGrant> Grants;
  std::vector<QuotaClaim> Claims;
  std::vector<QuotaRelease> Releases;

  friend bool operator==(const QuotaMessage &, const QuotaMessage &) = default;
};

/// The most entries of one message, which then fits into one datagram.
inline constexpr std::size_t MaxQuotaEntries = 6;

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_QUOTAMESSAGES_H
