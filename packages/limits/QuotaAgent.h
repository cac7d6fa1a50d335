//===- QuotaAgent.h - Enforces quotas over the whole fleet ------*- C++ -*-===//
//
// One daemon's part in the enforcement of quotas, without I/O, clock or
// coordinator: its tokens as a sender of requests (QuotaTokens.h), its accounts
// as an owner (QuotaLedger.h), and who the owners are (QuotaOwners.h).
//
// The driver passes requests, messages and the time in, sends the messages that
// come out and carries out the decisions. The time must include suspensions of
// the machine, or tokens would be used after they have expired.
//
//   request --> offer() --> token held? --yes--> starts
//                            |no
//                            v
//                           ask the owner --> grant --> starts, or is refused
//                            |no reply in time
//                            v
//                           ask the standby as well
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_LIMITS_QUOTAAGENT_H
#define SHALLOTSHIFT_LIMITS_QUOTAAGENT_H

#include "limits/QuotaLedger.h"
#include "limits/QuotaOwners.h"
#include "limits/QuotaTokens.h"

#include <functional>

namespace shallot {

struct QuotaSend {
  Member To;
  QuotaMessage Message;
};

struct QuotaOutput {
  std::vector<QuotaSend> Sends;
  AdmissionEvents Events; ///< Of requests that waited.
};

class QuotaAgent {
public:
  QuotaAgent(const DaemonId &Self, QuotaTolerance Tolerated,
             QuotaPolicy Policy = {});

  /// Sets the incarnation of this daemon, which changes if the fleet knows a
  /// later one. Owners answer only the incarnation that they see.
  void setSelf(const DaemonId &Id) { Self = Id; }
  /// Replaces the quotas; organisations without one are not limited.
  void setQuotas(std::unordered_map<Tenant, Quota> All);
  /// Applies a change of the fleet.
  QuotaOutput update(const FleetView &View, Instant Now);
  /// Whether this daemon may act as an owner or a standby: it must not while it
  /// may be partitioned from the rest of the fleet.
  void setMayGrant(bool May, Instant Now);

  /// Start, Wait, or Refuse with QuotaExceeded and the time to return. A
  /// request that waits can start until \p Expires. Adds what there is to send
  /// to \p Out.
  AdmissionDecision offer(const Tenant &Name, TicketId Id, Instant Expires,
                          QuotaOutput &Out, Instant Now);
  /// The caller of a waiting request is gone.
  void cancel(const Tenant &Name, TicketId Id);
  /// A request that was started has not been sent.
  void putBack(const Tenant &Name);
  QuotaOutput receive(const QuotaMessage &M, Instant Now);
  /// Call it every QuotaTick, and every QuotaWaitTick while waiting().
  QuotaOutput tick(Instant Now);
  bool waiting() const { return Waiters > 0; }

  /// The quota in force; without a limit if there is none.
  Quota quotaOf(const Tenant &Name) const;
  const QuotaOwners &owners() const { return Owners; }
  /// Organisations that this daemon holds tokens of or keeps an account for.
  std::size_t size() const { return Held.size(); }

private:
  using Batches = std::map<HostId, QuotaSend>;

  QuotaRole roleIn(const Tenant &Name, Instant Now) const;
  QuotaGrant grantTo(const DaemonId &From, const QuotaAsk &A, Batches &Out,
                     Instant Now);
  void askFor(const Tenant &Name, QuotaTokens &T, Batches &Out, Instant Now);
  void askOne(const Member &Granter, const Tenant &Name, QuotaTokens &T,
              QuotaNeed Need, Batches &Out, Instant Now);
  QuotaMessage &batchTo(const Member &To, Batches &Out, Instant Now) const;
  void collect(QuotaTokens &T, AdmissionEvents &Out, Instant Now);
  const Member *findMember(const DaemonId &Id) const;

  DaemonId Self;
  QuotaPolicy Policy;
  QuotaOwners Owners;
  QuotaLedger Ledger;
  std::unordered_map<Tenant, Quota> Quotas;
  std::unordered_map<Tenant, QuotaTokens> Held;
  std::vector<Member> Members; ///< By id.
  bool MayGrant = false;
  Instant MayGrantSince;
  std::size_t Waiters = 0;
  Instant NextCleanup;
};

/// Period of reports to owners.
inline constexpr Duration QuotaTick = Millis(100);
/// Period of checks of waiting requests.
inline constexpr Duration QuotaWaitTick = Millis(10);

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_QUOTAAGENT_H
