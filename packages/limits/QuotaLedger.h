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
//   - A new owner starts with an empty bucket, which fills from the moment on
//     from which nobody has granted, and only when no other daemon acts as the
//     owner: after ViewPropagationTime, when the former owner has released the
//     account or lapsed, or when the others agree (QuotaAgent.h).
//   - Those that agree do not tell which tokens of a former owner are still at
//     daemons. Until they have expired, tokens in the bucket and at daemons
//     together are at most EarlyExcessShare.
//   - Until it starts, and as the standby of an owner that does not answer, a
//     daemon grants at most StandbyExcessShare in a window. Two of them, in
//     different views, stay within the bound.
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
#include <set>
#include <unordered_map>

namespace shallot {

/// How long a daemon uses tokens after the owner has last confirmed them.
inline constexpr Duration TokenLifetime = Seconds(2);
/// How long an owner keeps the tokens of a silent daemon. Twice TokenLifetime,
/// which also covers a clock that runs at another speed.
inline constexpr Duration LeaseTime = 2 * TokenLifetime;

/// Fractions of QuotaTolerance::excess(). The owner's lets daemons hold tokens
/// of organisations whose burst is smaller than the number of daemons.
inline constexpr double OwnerExcessShare = 0.125;
inline constexpr double EarlyExcessShare = 0.125;
inline constexpr double StandbyExcessShare = 0.375;
/// How long an owner acts after it sent a claim that a witness agreed to, and
/// how long a witness supports no other daemon after that. Less than the time
/// in which a lost daemon is taken for failed, so that its successor need not
/// wait; more than two periods of renewal.
inline constexpr Duration OwnerLease = Millis(1500);

static_assert(OwnerExcessShare + EarlyExcessShare + 2 * StandbyExcessShare <=
              1);

/// Why a new owner may start.
enum class QuotaEvidence : std::uint8_t {
  Waited,   ///< ViewPropagationTime has passed.
  Released, ///< The former owner has released the account.
  Standby,  ///< The former owners are gone, and the standby agrees.
  All,      ///< All daemons in the view agree.
  Lapsed,   ///< No witness has supported the owner for OwnerLease.
};

/// What the bound rests on. Only the model checker uses other values than these
/// defaults, to show that each is needed.
struct QuotaPolicy {
  /// How long a new owner waits until no other daemon acts as the owner.
  Duration OwnerWait = ViewPropagationTime;
  Duration Lifetime = TokenLifetime;
  Duration Lease = LeaseTime;
  /// How long an owner acts on the support of a witness, and how long the
  /// witness keeps to it.
  Duration Support = OwnerLease;
  Duration WitnessSupport = OwnerLease;
  double StandbyShare = StandbyExcessShare;
  /// Fraction of the capacity in the bucket of a new owner.
  double InitialFill = 0;
};

/// This daemon's part in the account of one organisation.
struct QuotaRole {
  /// Since when it may grant as the owner; nothing if it is not the owner or
  /// another daemon may still act as one.
  std::optional<Instant> OwnerSince;
  QuotaEvidence Evidence = QuotaEvidence::Waited;
  /// Since when no daemon has granted as the owner, if that is known.
  std::optional<Instant> IdleSince;
  /// It would be the owner if a witness supported it.
  bool LacksSupport = false;
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
  /// Applies what the former owner \p From has released.
  void accept(const QuotaRelease &R, const DaemonId &From, Instant Now);
  struct Agreement {
    Instant SentAt;          ///< The claim.
    Instant CountsAt;        ///< When it can serve as proof.
    std::uint64_t Rival = 0; ///< As QuotaRelease::Rival.
    Instant IdleSince;       ///< The sender has granted nothing since.
  };
  /// \p From agreed to a claim.
  void agree(const Tenant &Name, const DaemonId &From, const Agreement &A);
  /// Its last agreement to a claim that was sent at \p Since or later, or null.
  const Agreement *agreed(const Tenant &Name, const DaemonId &From,
                          Instant Since) const;
  /// When the claim of the oldest agreement was sent.
  Instant agreedSince(const Tenant &Name) const;
  /// Since when none of those that agreed has granted as the owner.
  Instant idleSince(const Tenant &Name) const;
  /// How long this daemon has granted nothing as the owner.
  Duration idleTime(const Tenant &Name, Instant Now) const;
  /// The rivals of all agreements since \p Since, and the hosts that this
  /// daemon has yielded to.
  std::set<std::uint64_t> rivals(const Tenant &Name, Instant Since,
                                 Instant Now) const;
  /// Enough daemons agree that this one is the owner from \p Now on.
  struct Settlement {
    Instant At;
    QuotaEvidence Evidence = QuotaEvidence::All;
    DaemonId Former; ///< The owner that has lapsed, if one has.
    /// Since when no daemon has granted as the owner, if that is known.
    std::optional<Instant> IdleSince;
  };
  void settle(const Tenant &Name, const Settlement &S);
  std::optional<Settlement> settlement(const Tenant &Name) const;
  /// Ends the account of an organisation that this daemon no longer owns;
  /// nothing if it does not act as the owner.
  std::optional<QuotaRelease> release(const Tenant &Name, Instant Now);
  /// Releases the account, if there is one, to a daemon that claims it. This
  /// daemon does not act as the owner before yieldedUntil(): its view may not
  /// show the other one yet.
  QuotaRelease yield(const Tenant &Name, const DaemonId &To, Instant Now);
  Instant yieldedUntil(const Tenant &Name) const;
  /// When it last did; the earliest instant if it did not.
  Instant yieldedAt(const Tenant &Name) const;
  /// The daemons that it has yielded to within OwnerWait, and when it last did.
  std::map<DaemonId, Instant> yielded(const Tenant &Name, Instant Now) const;
  /// The witness \p By agreed to a claim that was sent at \p SentAt.
  void support(const Tenant &Name, const DaemonId &By, Instant SentAt);
  /// Until when the witnesses support this daemon.
  Instant supportedUntil(const Tenant &Name) const;
  /// Ends the account because no witness supports this daemon.
  void lapse(const Tenant &Name, Instant Now);
  /// When it last did; the earliest instant if it did not.
  Instant lapsedAt(const Tenant &Name) const;
  /// Whether to ask the witnesses now, \p Period after the last time.
  bool tryRenew(const Tenant &Name, Duration Period, Instant Now);
  /// Whether this daemon acts as the owner.
  bool acts(const Tenant &Name) const;
  /// An organisation that it acts for, if any.
  std::optional<Tenant> anyActive() const;
  /// Whether the owner in waiting may send another claim now.
  bool tryClaim(const Tenant &Name, Instant Now);
  /// Since when it has sent claims without a pause or a consent to another
  /// daemon; nothing if it sent none lately.
  std::optional<Instant> claimsSince(const Tenant &Name, Instant Now) const;
  /// Tokens are needed that this daemon may not grant yet.
  void want(const Tenant &Name, Instant Now) { Accounts[Name].WantedAt = Now; }
  /// When they last were.
  Instant wantedAt(const Tenant &Name) const;
  /// The organisations that this daemon acts for or has lately claimed.
  std::vector<Tenant> engaged(Instant Now) const;
  /// The organisations with an account.
  std::vector<Tenant> names() const;
  /// When a former owner last released the account to this daemon, if one did.
  std::optional<Instant> acceptedAt(const Tenant &Name) const;
  /// The fraction of rate and burst that it granted; 0 if several did.
  double acceptedFraction(const Tenant &Name) const;
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
    double Fraction = 0; ///< Of rate and burst.
    double Rate = 0;     ///< Of this daemon's part of the quota.
    double Capacity = 0;
    Instant FilledAt;
    Instant GrantedAt = Instant::min(); ///< Last, as the owner.
    /// Tokens at daemons that a former owner granted, until ReservedUntil.
    double Reserved = 0;
    Instant ReservedUntil;
    /// The same, not known in number, of owners before that one.
    double Withheld = 0;
    Instant WithheldUntil;
    std::optional<Instant> AcceptedAt;
    DaemonId AcceptedFrom;
    double AcceptedFraction = 0;
    /// Several daemons have released the account: the sides of a partition.
    bool AcceptedSeveral = false;
    std::map<DaemonId, Agreement> Agreed;
    std::optional<Settlement> Settled;
    std::map<DaemonId, Instant> Yielded; ///< To whom, and when it last did.
    /// By which witnesses, and when they were asked.
    std::map<DaemonId, Instant> Supported;
    Instant RenewedAt;
    Instant LapsedAt = Instant::min();
    Instant ClaimedAt;
    std::optional<Instant> ClaimsSince;
    Instant WantedAt;
    Duration ClaimWait{};
    double StandbyLevel = 0; ///< Tokens to grant while not the owner.
    Instant StandbyAt;
    std::map<DaemonId, Lease> Leases;
  };

  static Lease &report(Account &A, const DaemonId &From, const QuotaAsk &Ask,
                       Instant Now);
  static double outstanding(const Account &A, Instant Now);
  QuotaRelease unused(const Account &A, const Tenant &Name, Instant Now) const;
  void activate(Account &A, const Quota &Q, const QuotaRole &Role,
                Instant Now) const;
  void open(Account &A, const Quota &Q, const QuotaRole &Role) const;
  void fill(Account &A, Instant Now) const;
  void fillStandby(Account &A, const Quota &Q, const QuotaRole &Role,
                   Instant Now) const;
  static void grantAsOwner(Account &A, Lease &L, const QuotaAsk &Ask,
                           QuotaGrant &G, Instant Now);
  static void grantAsStandby(Account &A, Lease &L, const QuotaAsk &Ask);

  QuotaTolerance Tolerated;
  QuotaPolicy Policy;
  std::unordered_map<Tenant, Account> Accounts;
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_QUOTALEDGER_H
