//===- QuotaLedger.h - Grants the tokens of quotas --------------*- C++ -*-===//
//
// The accounts that a daemon keeps as the owner or the standby of organisations
// (QuotaOwners.h). For each organisation a token bucket holds what the quota
// allows. Other daemons ask for a few tokens in advance and return those that
// they do not use (QuotaTokens.h).
//
// The bound: tokens in the bucket and tokens that daemons hold never exceed the
// burst and OwnerExcessShare together, and the bucket fills at the rate. In any
// window, at most Rate x Window + Burst + OwnerExcessShare requests run on the
// tokens of one owner.
//
//   - A daemon that says nothing for LeaseTime loses its tokens; they count as
//     spent. It has stopped to use them before that (TokenLifetime).
//   - A new owner starts with an empty bucket, and only when no other daemon
//     acts as the owner: after ViewPropagationTime, or when the former owner
//     has released the account.
//   - Until then, and as the standby of an owner that does not answer, a daemon
//     grants at most StandbyExcessShare in a window. Two of them, in different
//     views, stay within the bound.
//   - On the side of a partition that sees a part of the zones, rate and burst
//     are that part of the quota's.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_QUOTALEDGER_H
#define SHALLOTSHIFT_LIMITS_QUOTALEDGER_H

#include "limits/HandoverGuard.h"
#include "limits/Quota.h"
#include "limits/QuotaMessages.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace shallot {

/// How long a daemon uses tokens after the owner has last confirmed them.
inline constexpr Duration TokenLifetime = Seconds(2);
/// How long an owner keeps the tokens of a silent daemon. Twice TokenLifetime,
/// which also covers a clock that runs at another speed.
inline constexpr Duration LeaseTime = 2 * TokenLifetime;

/// Fractions of QuotaTolerance::excess(). The owner's lets daemons hold tokens
/// of organisations whose burst is smaller than the number of daemons.
inline constexpr double OwnerExcessShare = 0.25;
inline constexpr double StandbyExcessShare = 0.375;
static_assert(OwnerExcessShare + 2 * StandbyExcessShare <= 1);

/// What the bound rests on. Only the model checker uses other values than these
/// defaults, to show that each is needed.
struct QuotaPolicy {
  /// How long a new owner waits until no other daemon acts as the owner.
  Duration OwnerWait = ViewPropagationTime;
  Duration Lifetime = TokenLifetime;
  Duration Lease = LeaseTime;
  double StandbyShare = StandbyExcessShare;
  /// Fraction of the capacity in the bucket of a new owner.
  double InitialFill = 0;
};

/// This daemon's part in the account of one organisation.
struct QuotaRole {
  /// Since when it may grant as the owner; nothing if it is not the owner or
  /// another daemon may still act as one.
  std::optional<Instant> OwnerSince;
  /// The former owner has released the account to it.
  bool Released = false;
  /// It may grant while there is no such owner.
  bool Standby = false;
  double Fraction = 1; ///< QuotaOwners::zonesInReach().
};

class QuotaLedger {
public:
  explicit QuotaLedger(QuotaTolerance Tolerated, QuotaPolicy Policy = {})
      : Tolerated(Tolerated), Policy(Policy) {}

  /// Handles an ask of \p From about an organisation with the quota \p Q.
  QuotaGrant grant(const DaemonId &From, const QuotaAsk &A, const Quota &Q,
                   const QuotaRole &Role, Instant Now);
  /// Applies what the former owner has released.
  void accept(const QuotaRelease &R, Instant Now);
  /// Ends the account of an organisation that this daemon no longer owns;
  /// nothing if it does not act as the owner.
  std::optional<QuotaRelease> release(const Tenant &Name, Instant Now);
  /// Releases the account, if there is one, to a daemon that claims it. This
  /// daemon does not act as the owner before yieldedUntil(): its view may not
  /// show the other one yet.
  QuotaRelease yield(const Tenant &Name, Instant Now);
  Instant yieldedUntil(const Tenant &Name) const;
  /// Whether the owner in waiting may send another claim now.
  bool tryClaim(const Tenant &Name, Instant Now);
  /// The organisations with an account.
  std::vector<Tenant> names() const;
  /// When a former owner last released the account to this daemon, if one did.
  std::optional<Instant> acceptedAt(const Tenant &Name) const;
  /// Removes accounts that are full and that no daemon uses.
  void removeIdle(Instant Now);

private:
  struct Lease {
    std::uint64_t Granted = 0;
    std::uint64_t Spent = 0; ///< Including returned tokens.
    std::uint64_t Returned = 0;
    Instant HeardAt;

    std::uint64_t outstanding() const { return Granted - Spent; }
  };
  struct Account {
    bool Active = false; ///< Acts as the owner.
    double Level = 0;    ///< Tokens that are left.
    double Rate = 0;     ///< Of this daemon's part of the quota.
    double Capacity = 0;
    Instant FilledAt;
    /// Tokens at daemons that a former owner granted, until ReservedUntil.
    double Reserved = 0;
    Instant ReservedUntil;
    std::optional<Instant> AcceptedAt;
    Instant YieldedUntil;
    Instant ClaimedAt;
    double StandbyLevel = 0; ///< Tokens to grant while not the owner.
    Instant StandbyAt;
    std::map<DaemonId, Lease> Leases;
  };

  static Lease &report(Account &A, const DaemonId &From, const QuotaAsk &Ask,
                       Instant Now);
  static double outstanding(const Account &A, Instant Now);
  void activate(Account &A, const Quota &Q, const QuotaRole &Role,
                Instant Now) const;
  void fill(Account &A, Instant Now) const;
  void fillStandby(Account &A, const Quota &Q, const QuotaRole &Role,
                   Instant Now) const;
  static void grantAsOwner(Account &A, Lease &L, const QuotaAsk &Ask,
                           QuotaGrant &G);
  static void grantAsStandby(Account &A, Lease &L, const QuotaAsk &Ask);

  QuotaTolerance Tolerated;
  QuotaPolicy Policy;
  std::unordered_map<Tenant, Account> Accounts;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_QUOTALEDGER_H
