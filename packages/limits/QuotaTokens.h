//===- QuotaTokens.h - The tokens of one organisation -----------*- C++ -*-===//
//
// The tokens that a daemon holds of one organisation, and the requests that
// wait for one. A request starts at once while there are tokens; asking for a
// few in advance saves it the round trip to the owner. When the owner has none
// left, requests that cannot get one in time are refused, and each is told the
// time at which a token is expected for it, so that callers do not return
// together.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_QUOTATOKENS_H
#define SHALLOTSHIFT_LIMITS_QUOTATOKENS_H

#include "limits/AdmissionDecision.h"
#include "limits/QuotaLedger.h"

#include <deque>
#include <map>

namespace shallot {

/// The requests that a daemon needs tokens for.
enum class QuotaNeed : std::uint8_t {
  None,     ///< Only reports what became of earlier tokens.
  Waiting,  ///< Requests that are waiting.
  Expected, ///< Those, and some that are expected to come.
};

class QuotaTokens {
public:
  explicit QuotaTokens(const QuotaPolicy &Policy = {}) : Policy(Policy) {}

  /// Starts, queues or refuses a request that can wait until \p Expires.
  AdmissionDecision offer(TicketId Id, Instant Expires, Instant Now);
  /// Removes a request; returns false if it does not wait.
  bool cancel(TicketId Id);
  /// Returns the token of a request that was not sent.
  void putBack();

  /// The ask to send to \p Granter: a report, and what this daemon needs.
  QuotaAsk ask(const DaemonId &Granter, const Tenant &Name, QuotaNeed Need,
               Instant Now);
  /// Applies the reply to an ask that was sent at \p SentAt.
  void granted(const DaemonId &Granter, const QuotaGrant &G, Instant SentAt,
               Instant Now);
  /// The daemon \p Granter has ended.
  void forget(const DaemonId &Granter) { Lines.erase(Granter); }
  /// Starts and refusals that are due.
  AdmissionEvents poll(Instant Now);

  bool waiting() const { return !Waiting.empty(); }
  /// Whether used tokens are to be reported at once.
  bool mustReport() const;
  /// How long \p Granter has not answered the asks of this daemon.
  Duration silence(const DaemonId &Granter, Instant Now) const;
  /// Whether \p Granter has just answered that it does not act as the owner.
  bool declined(const DaemonId &Granter, Instant Now) const;
  /// True if waiting requests need an ask now: none is on its way, and the
  /// owner may have a token.
  bool mustAsk(Instant Now) const;
  /// Granters whose tokens need a report or a renewal.
  std::vector<DaemonId> outdated(Instant Now) const;
  /// True if no token is held and no request waits.
  bool idle(Instant Now) const;
  std::uint64_t held(Instant Now) const;

private:
  /// The tokens that one daemon granted.
  struct Line {
    std::uint64_t Granted = 0;
    std::uint64_t Spent = 0;
    std::uint64_t Returned = 0;
    std::uint64_t Reported = 0; ///< Spent in the last ask.
    bool Prompt = false;
    Instant DeclinedAt;  ///< When it last answered without being the owner.
    Instant ConfirmedAt; ///< When the last answered ask was sent.
    /// When the last ask was sent that gave or renewed tokens: those of a
    /// former owner are not renewed, since its successor grants them to others.
    Instant RenewedAt;
    Instant AskedAt;
    /// The first ask since the last reply; the latest instant: all answered.
    Instant UnansweredSince = Instant::max();

    std::uint64_t held() const { return Granted - Spent; }
  };
  struct Waiter {
    TicketId Id = 0;
    Instant Expires;
    Instant Since;
  };

  bool isUnneeded(const Line &L) const;
  bool spend(Instant Now);
  void dropExpired(Instant Now);
  AdmissionDecision refusal(Instant Now);
  void recordDemand(Instant Now);
  std::uint64_t target(Instant Now) const;

  QuotaPolicy Policy;
  std::map<DaemonId, Line> Lines;
  std::deque<Waiter> Waiting;
  double Demand = 0; ///< Requests per second, decaying.
  Instant UsedAt;
  Instant EmptyUntil;  ///< The owner has no token before this.
  Instant DeniedAt;    ///< The owner's last reply with too few tokens.
  Duration Interval{}; ///< Between two tokens while the owner has none left.
  Instant NextReturn;  ///< The earliest return of the next refused caller.
};

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_QUOTATOKENS_H
