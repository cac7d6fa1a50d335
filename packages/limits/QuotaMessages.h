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
  /// Few tokens may be out at a time, so used ones are to be reported at once.
  bool Prompt = false;

  friend bool operator==(const QuotaGrant &, const QuotaGrant &) = default;
};

/// From a new owner that needs proof that no other daemon acts as the owner.
/// Answered by QuotaRelease.
struct QuotaClaim {
  Tenant Name;

  friend bool operator==(const QuotaClaim &, const QuotaClaim &) = default;
};

/// What a daemon answers to a claim.
enum class QuotaAnswer : std::uint8_t {
  Unasked, ///< No answer.
  Refused, ///< The sender acts as the owner, or claims, and ranks higher.
  Agreed,  ///< It does not act as the owner before the receiver agrees.
};

/// To a new owner: the sender does not act as the owner any more, or what it
/// knows of the claim.
struct QuotaRelease {
  Tenant Name;
  double Level = 0;       ///< Tokens that are left.
  double Outstanding = 0; ///< Tokens granted and not yet reported as spent.
  /// Tokens of owners before the sender, that may be used for WithheldFor.
  double Withheld = 0;
  Duration WithheldFor{};
  /// The sender did not act as the owner, so it has released nothing.
  bool Idle = false;
  /// Of rate and burst, that the sender granted as the owner.
  double Fraction = 0;
  QuotaAnswer Answer = QuotaAnswer::Unasked;
  std::uint32_t UptimeMillis = 0; ///< Of the sender's process.
  /// hash64() of the host that is the owner in the sender's view if the
  /// receiver is left out; 0: none.
  std::uint64_t Rival = 0;
  /// The sender is a witness of the rival, which may act as the owner.
  bool SupportsRival = false;
  /// How long the sender has granted nothing as the owner, or has run.
  std::uint32_t IdleMillis = 0;

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
