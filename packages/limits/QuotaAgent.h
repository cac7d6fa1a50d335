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
// A new owner starts without a wait when it has proof that no other daemon acts
// as the owner. It claims the account, and
//
//   - the one that acts as the owner releases it; or
//   - each live daemon in the view answers that it knows of no owner that ranks
//     higher, and does not act as one; so does the daemon that any of these
//     would take for the owner otherwise. This needs a live daemon in each
//     zone, and that all have run for RestartGuard, after which one that is cut
//     off and not in the view has stopped to grant; or
//   - the standby answers that it does not act as the owner and supports no
//     other, and this daemon has seen all former owners of the last
//     ViewPropagationTime end; or
//   - it was the first witness of an owner that has lapsed, and the second one
//     supports no other.
//
// An owner acts only while one of its witnesses, the two daemons that would
// follow it, supports it (OwnerLease): one that runs and is taken for failed
// has stopped when another one starts. QuotaSuccession.cpp decides all this.
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

/// An account that this daemon begins to grant from.
struct QuotaOpening {
  Tenant Name;
  QuotaEvidence Evidence = QuotaEvidence::Waited;
  Duration After{}; ///< Since it became the owner in its view.
};

struct QuotaOutput {
  std::vector<QuotaSend> Sends;
  AdmissionEvents Events; ///< Of requests that waited.
  std::vector<QuotaOpening> Opened;
};

/// The driver must not let a daemon grant that has heard from no other for this
/// long. An owner asks others for a sign of life before (OwnerProbeAfter).
inline constexpr Duration MaxOwnerSilence = Millis(500);
inline constexpr Duration OwnerProbeAfter = Millis(200);
/// After all daemons of a view have run for this long, one that is cut off and
/// not in the view has stopped to grant.
inline constexpr Duration RestartGuard = MaxOwnerSilence + Millis(100);

class QuotaAgent {
public:
  QuotaAgent(const DaemonId &Self, QuotaTolerance Tolerated,
             QuotaPolicy Policy = {});

  /// Sets the incarnation of this daemon, which changes if the fleet knows a
  /// later one. Owners answer only the incarnation that they see.
  void setSelf(const DaemonId &Id) { Self = Id; }
  /// Replaces the quotas; organisations without one are not limited.
  void setQuotas(std::unordered_map<Tenant, Quota> All);
  /// Sets the zones of the deployment. Without them, a daemon that restarted
  /// does not start on the word of the others. Requires that the driver keeps
  /// to MaxOwnerSilence.
  void setZones(std::set<AvailabilityZone> All) {
    Owners.setZones(std::move(All));
  }
  /// Whether the view holds all members that ran when this daemon started.
  void setViewComplete(bool Is) { ViewComplete = Is; }
  /// Applies a change of the fleet.
  QuotaOutput update(const FleetView &View, Instant Now);
  /// Whether this daemon may act as an owner or a standby: it must not while it
  /// may be partitioned from the rest of the fleet.
  void setMayGrant(bool May, Instant Now);
  /// When the driver last heard from another daemon.
  void setHeardAt(Instant At) { HeardAt = At; }

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
  bool waiting() const { return Waiters > 0 || MustReport || Claiming; }

  /// The quota in force; without a limit if there is none.
  Quota quotaOf(const Tenant &Name) const;
  const QuotaOwners &owners() const { return Owners; }
  /// Organisations that this daemon holds tokens of or keeps an account for.
  std::size_t size() const { return Held.size(); }

private:
  using Batches = std::map<HostId, QuotaSend>;

  Duration uptime(Instant Now) const;
  std::optional<Instant> ownerSince(const Tenant &Name, Instant Now) const;
  QuotaRole roleIn(const Tenant &Name, Instant Now) const;
  void tickAccounts(Batches &Out, Instant Now);
  void releaseForeign(const Tenant &Name, Batches &Out, Instant Now);
  void setOwner(QuotaRole &R, const Tenant &Name, Instant From,
                Instant Now) const;
  bool supported(const Tenant &Name, Instant Now) const;
  void pursue(const Tenant &Name, Batches &Out, Instant Now);
  void renew(const Tenant &Name, Batches &Out, Instant Now);
  void endUnsupported(const Tenant &Name, Instant Now);
  void claim(const Tenant &Name, Batches &Out, Instant Now);
  void probe(Batches &Out, Instant Now);
  QuotaRelease answer(const QuotaClaim &C, const DaemonId &From, Instant Now);
  void heard(const QuotaRelease &R, const DaemonId &From, Instant SentAt,
             Instant Now);
  bool allAgree(const Tenant &Name, Instant Since, Instant Now) const;
  bool standbyAgrees(const Tenant &Name, const DaemonId &From,
                     Instant Now) const;
  void settle(const Tenant &Name, Instant Begin, Instant Now);
  bool mayStillAct(const DaemonId &Id) const;
  bool isFailed(const DaemonId &Id) const;
  bool hasEnded(const DaemonId &Id) const;
  bool isWitness(const Tenant &Name, const DaemonId &Id, Instant Now) const;
  bool ownerLapsed(const Tenant &Name, Instant Now) const;
  void claimLapsed(const Tenant &Name, Batches &Out, Instant Now);
  bool succeeds(const QuotaRelease &R, const DaemonId &From, Instant SentAt,
                Instant Now) const;
  std::optional<DaemonId> supportedAbove(const Tenant &Name,
                                         const DaemonId &Claimer,
                                         Instant Now) const;
  void passOn(const Tenant &Name, Batches &Out, Instant Now);
  QuotaGrant grantTo(const DaemonId &From, const QuotaAsk &A, Batches &Out,
                     Instant Now);
  const Member *agreedOwner(const Tenant &Name, const QuotaTokens &T,
                            Instant Now) const;
  void askFor(const Tenant &Name, QuotaTokens &T, Batches &Out, Instant Now);
  void askOne(const Member &Granter, const Tenant &Name, QuotaTokens &T,
              QuotaNeed Need, Batches &Out, Instant Now);
  QuotaMessage &batchTo(const Member &To, Batches &Out, Instant Now) const;
  void collect(QuotaTokens &T, AdmissionEvents &Out, Instant Now);
  const Member *findMember(const DaemonId &Id) const;
  std::optional<Member> addressOf(const DaemonId &Id) const;

  DaemonId Self;
  QuotaPolicy Policy;
  QuotaOwners Owners;
  QuotaLedger Ledger;
  std::unordered_map<Tenant, Quota> Quotas;
  std::unordered_map<Tenant, QuotaTokens> Held;
  std::vector<Member> Members; ///< By id.
  bool MayGrant = false;
  Instant MayGrantSince;
  Instant HeardAt = Instant::max();
  std::size_t NextProbed = 0;
  bool ViewComplete = true;
  std::optional<Instant> StartedAt;
  Instant ClaimsCountedAt;
  std::size_t ClaimsSent = 0; ///< Since ClaimsCountedAt.
  std::vector<QuotaOpening> Opened;
  std::size_t Waiters = 0;
  bool MustReport = false;
  bool Claiming = false; ///< A claim is under way.
  Instant NextCleanup;
};

/// Period of reports to owners.
inline constexpr Duration QuotaTick = Millis(100);
/// Period of checks of waiting requests.
inline constexpr Duration QuotaWaitTick = Millis(10);

} // namespace shallot

#endif // SHALLOTSHIFT_LIMITS_QUOTAAGENT_H
