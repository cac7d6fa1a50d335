//===- QuotaAgent.cpp -----------------------------------------------------===//
#include "limits/QuotaAgent.h"

#include <algorithm>
#include <utility>

namespace shallot {

namespace {

/// An owner that has not answered for this long is joined by the standby: the
/// second ask goes to both. More than the round trip between regions.
constexpr Duration StandbyAfter = Millis(20);
/// Period in which accounts and tokens out of use are removed.
constexpr Duration CleanupPeriod = Seconds(1);
/// How long the answer to a claim counts.
constexpr Duration AgreementLifetime = Seconds(1);
/// Period in which an owner asks its first witness for support. The second is
/// asked as well when the first has not agreed for two periods.
constexpr Duration RenewalPeriod = Millis(400);
/// The same while it has no support: more than a round trip between regions.
constexpr Duration FirstRenewalPeriod = Millis(25);
/// The most claims that a daemon sends in a second; organisations beyond wait
/// for ViewPropagationTime.
constexpr std::size_t MaxClaimsPerSecond = 4096;
/// The daemons that a silent owner asks for a sign of life in each QuotaTick.
constexpr std::size_t ProbedAtOnce = 3;
/// Only an account that opens within this time after it could is reported, and
/// not one that was removed while it was idle.
constexpr Duration OpeningTime = Seconds(1);

std::uint64_t sequenceOf(Instant At) {
  return static_cast<std::uint64_t>(At.time_since_epoch().count());
}

Instant timeOf(std::uint64_t Sequence) {
  return Instant(Duration(static_cast<std::int64_t>(Sequence)));
}

bool isUp(const Member &M) {
  return M.State != MemberState::Failed && M.State != MemberState::Left;
}

std::size_t entries(const QuotaMessage &M) {
  return M.Asks.size() + M.Grants.size() + M.Claims.size() + M.Releases.size();
}

/// Splits \p S into messages of at most MaxQuotaEntries.
void appendParts(const QuotaSend &S, std::vector<QuotaSend> &Out) {
  QuotaSend Empty{S.To, {S.Message.From, S.Message.Sequence, {}, {}, {}, {}}};
  QuotaSend Part = Empty;
  auto AddAll = [&](auto QuotaMessage::*List) {
    for (const auto &Entry : S.Message.*List) {
      (Part.Message.*List).push_back(Entry);
      if (entries(Part.Message) < MaxQuotaEntries)
        continue;
      Out.push_back(std::move(Part));
      Part = Empty;
    }
  };
  AddAll(&QuotaMessage::Asks);
  AddAll(&QuotaMessage::Grants);
  AddAll(&QuotaMessage::Claims);
  AddAll(&QuotaMessage::Releases);
  if (entries(Part.Message) > 0)
    Out.push_back(std::move(Part));
}

template <typename Batches>
void append(const Batches &From, std::vector<QuotaSend> &Out) {
  for (const auto &[Host, S] : From)
    appendParts(S, Out);
}

} // namespace

QuotaAgent::QuotaAgent(const DaemonId &Self, QuotaTolerance Tolerated,
                       QuotaPolicy Policy)
    : Self(Self), Policy(Policy), Owners(Self.Host), Ledger(Tolerated, Policy) {
}

void QuotaAgent::setQuotas(std::unordered_map<Tenant, Quota> All) {
  Quotas = std::move(All);
}

Quota QuotaAgent::quotaOf(const Tenant &Name) const {
  auto At = Quotas.find(Name);
  return At == Quotas.end() ? Quota() : At->second;
}

/// A daemon that may grant again starts as a new owner: while it was silent
/// others may have taken its place.
void QuotaAgent::setMayGrant(bool May, Instant Now) {
  if (!StartedAt)
    StartedAt = Now;
  if (May && !MayGrant)
    MayGrantSince = Now;
  MayGrant = May;
  if (!May)
    for (const Tenant &Name : Ledger.names())
      Ledger.release(Name, Now);
}

QuotaOutput QuotaAgent::update(const FleetView &View, Instant Now) {
  QuotaOutput Out;
  if (!StartedAt)
    StartedAt = Now;
  Members = View.Members;
  if (!Owners.update(View, Now))
    return Out;
  Batches To;
  for (const Tenant &Name : Ledger.names()) {
    const Member *Owner = Owners.owner(Name);
    if (!Owner || Owner->Id.Host == Self.Host)
      continue;
    auto Settled = Ledger.settlement(Name);
    if (Settled && Settled->Former == Owner->Id)
      continue; // This daemon has replaced it before the view shows it.
    if (auto Released = Ledger.release(Name, Now))
      batchTo(*Owner, To, Now).Releases.push_back(std::move(*Released));
  }
  append(To, Out.Sends);
  Out.Opened = std::exchange(Opened, {});
  return Out;
}

/// An owner waits until no other daemon takes itself for the owner, unless that
/// one has released the account.
QuotaRole QuotaAgent::roleIn(const Tenant &Name, Instant Now) const {
  QuotaRole R;
  R.Fraction = Owners.zonesInReach(Now);
  if (!MayGrant)
    return R;
  const Member *Standby = Owners.standby(Name);
  std::optional<Instant> Since = Owners.ownedSince(Name);
  R.Standby = Since || (Standby && Standby->Id.Host == Self.Host);
  std::optional<QuotaLedger::Settlement> Settled = Ledger.settlement(Name);
  if (Settled && Settled->Evidence == QuotaEvidence::Lapsed) {
    R.Evidence = QuotaEvidence::Lapsed;
    if (R.Fraction > 0 && supported(Name, Now))
      R.OwnerSince = Settled->At;
    return R;
  }
  if (!Since)
    return R;
  Instant Begin = *ownerSince(Name);
  std::optional<Instant> Accepted = Ledger.acceptedAt(Name);
  bool Released = Accepted && *Accepted >= Begin - Policy.OwnerWait;
  Instant From =
      Released ? std::max(*Accepted, Begin) : Begin + Policy.OwnerWait;
  From = std::max(From, Ledger.yieldedUntil(Name));
  if (Released) {
    R.Evidence = QuotaEvidence::Released;
    if (Now - *Accepted < ViewPropagationTime)
      R.Fraction = std::max(R.Fraction, std::min(Ledger.acceptedFraction(Name),
                                                 Owners.zonesInView()));
  }
  if (Settled && Settled->At >= Begin) {
    if (!Released)
      R.Evidence = Settled->Evidence;
    From = std::min(From, Settled->At);
    bool AllZones = Settled->Evidence == QuotaEvidence::All;
    if (AllZones && Now - Settled->At < ViewPropagationTime)
      R.Fraction = Owners.zonesInView();
  }
  if (From <= Now && R.Fraction > 0 && supported(Name, Now))
    R.OwnerSince = From;
  return R;
}

/// Whether a witness keeps the others from the account meanwhile.
bool QuotaAgent::supported(const Tenant &Name, Instant Now) const {
  return Ledger.supportedUntil(Name) > Now ||
         Owners.witnesses(Name, Self.Host, Now).empty();
}

/// Asks the witnesses to support this daemon as the owner.
void QuotaAgent::renew(const Tenant &Name, Batches &Out, Instant Now) {
  bool Supported = Ledger.supportedUntil(Name) > Now;
  if (!Ledger.tryRenew(Name, Supported ? RenewalPeriod : FirstRenewalPeriod,
                       Now))
    return;
  auto Witnesses = Owners.witnesses(Name, Self.Host, Now);
  if (Witnesses.empty())
    Ledger.support(Name, Self, Now);
  for (const Member *M : Witnesses)
    batchTo(*M, Out, Now).Claims.push_back({Name});
}

/// An owner without support may have been replaced.
void QuotaAgent::endUnsupported(const Tenant &Name, Instant Now) {
  if (Ledger.acts(Name) && !supported(Name, Now))
    Ledger.lapse(Name, Now);
}

Duration QuotaAgent::uptime(Instant Now) const {
  return StartedAt ? Now - *StartedAt : Duration(0);
}

std::optional<Instant> QuotaAgent::ownerSince(const Tenant &Name) const {
  std::optional<Instant> Since = Owners.ownedSince(Name);
  if (!Since || !MayGrant)
    return std::nullopt;
  return std::max({*Since, MayGrantSince, Ledger.lapsedAt(Name)});
}

/// Asks all that have not agreed lately.
void QuotaAgent::claim(const Tenant &Name, Batches &Out, Instant Now) {
  if (Now - ClaimsCountedAt >= Seconds(1)) {
    ClaimsCountedAt = Now;
    ClaimsSent = 0;
  }
  if (ClaimsSent >= MaxClaimsPerSecond || !Ledger.tryClaim(Name, Now))
    return;
  const Member *Standby = Owners.standby(Name);
  for (const Member &M : Members) {
    if (M.Id.Host == Self.Host || !isUp(M))
      continue;
    if (!Owners.knowsZones() && (!Standby || M.Id != Standby->Id))
      continue;
    if (Ledger.agreed(Name, M.Id, Now - AgreementLifetime / 2))
      continue;
    batchTo(M, Out, Now).Claims.push_back({Name});
    ++ClaimsSent;
  }
}

/// Any answer to a claim shows that this daemon is not cut off.
void QuotaAgent::probe(Batches &Out, Instant Now) {
  if (HeardAt >= Now - OwnerProbeAfter || !MayGrant || Members.size() < 2)
    return;
  std::optional<Tenant> Name = Ledger.anyActive();
  for (std::size_t I = 0; Name && I < ProbedAtOnce; ++I) {
    const Member &M = Members[NextProbed++ % Members.size()];
    if (M.Id.Host != Self.Host && isUp(M))
      batchTo(M, Out, Now).Claims = {{*Name}};
  }
}

/// One that acts as the owner, or claims the account itself, yields to a
/// claimer that ranks higher, also if its view does not show it yet. The others
/// consent: they do not act as the owner unless the claimer consents to that.
QuotaRelease QuotaAgent::answer(const QuotaClaim &C, const DaemonId &From,
                                Instant Now) {
  const Member *Owner = Owners.owner(C.Name);
  QuotaRelease R;
  R.Name = C.Name;
  R.Idle = true;
  bool Acts =
      Ledger.acts(C.Name) || (ownerSince(C.Name) && Ledger.claims(C.Name, Now));
  if (isFailed(From) || supportsAnother(C.Name, From, Now) ||
      (Acts && !QuotaOwners::outranks(C.Name, From.Host, Self.Host))) {
    R.Answer = QuotaAnswer::Refused;
  } else {
    R = Ledger.yield(C.Name, From, Now);
    R.Answer = QuotaAnswer::Agreed;
  }
  const Member *Rival =
      Owner && Owner->Id.Host == From.Host ? Owners.standby(C.Name) : Owner;
  R.Rival = Rival ? hash64(Rival->Id.Host.str()) : 0;
  R.UptimeMillis = static_cast<std::uint32_t>(
      std::min<std::int64_t>(toMillis(uptime(Now)), UINT32_MAX));
  return R;
}

/// Whether the others take \p Id for failed: they do not ask it for tokens.
bool QuotaAgent::isFailed(const DaemonId &Id) const {
  auto At = std::ranges::find_if(
      Members, [&](const Member &M) { return M.Id.Host == Id.Host; });
  return At != Members.end() && !isUp(*At) &&
         At->Id.Incarnation >= Id.Incarnation;
}

/// Whether the process of \p Id has ended for certain.
bool QuotaAgent::hasEnded(const DaemonId &Id) const {
  auto At = std::ranges::find_if(
      Members, [&](const Member &M) { return M.Id.Host == Id.Host; });
  if (At == Members.end() || At->Id.Incarnation < Id.Incarnation)
    return false;
  // A daemon that runs gets a later incarnation when it was taken for failed.
  bool Restarted = At->State == MemberState::Starting && At->Id != Id;
  return Restarted || At->State == MemberState::Left;
}

/// Whether this daemon has lately agreed that one that ranks higher than
/// \p Claimer is the owner.
bool QuotaAgent::supportsAnother(const Tenant &Name, const DaemonId &Claimer,
                                 Instant Now) const {
  return std::ranges::any_of(Ledger.yielded(Name, Now), [&](const auto &Item) {
    const auto &[Who, At] = Item;
    return Now < At + Policy.WitnessSupport && Who.Host != Claimer.Host &&
           QuotaOwners::outranks(Name, Who.Host, Claimer.Host) &&
           !hasEnded(Who);
  });
}

/// Whether the daemon \p Id runs and is not cut off.
bool QuotaAgent::mayStillAct(const DaemonId &Id) const {
  const Member *M = findMember(Id);
  return M && isUp(*M);
}

bool QuotaAgent::allAgree(const Tenant &Name, Instant Since,
                          Instant Now) const {
  if (!Owners.knowsZones() || Owners.zonesInView() < 1 || !ViewComplete ||
      uptime(Now) < RestartGuard)
    return false;
  std::set<std::uint64_t> Rivals = Ledger.rivals(Name, Since, Now);
  std::size_t Others = 0;
  for (const Member &M : Members) {
    bool IsSelf = M.Id.Host == Self.Host;
    if (!IsSelf && !isUp(M))
      continue;
    const QuotaLedger::Agreement *A = Ledger.agreed(Name, M.Id, Since);
    if (!IsSelf && (!A || A->CountsAt > Now))
      return false;
    Rivals.erase(hash64(M.Id.Host.str()));
    Others += IsSelf ? 0 : 1;
  }
  return Others > 0 && Rivals.empty();
}

/// The standby would be the owner without this daemon. If this daemon has seen
/// all changes, no other can have become the owner.
bool QuotaAgent::standbyAgrees(const Tenant &Name, const DaemonId &From,
                               Instant Now) const {
  const Member *Standby = Owners.standby(Name);
  if (!Standby || Standby->Id != From ||
      uptime(Now) < 2 * ViewPropagationTime ||
      Now - MayGrantSince < ViewPropagationTime ||
      supportsAnother(Name, Self, Now) ||
      std::ranges::any_of(Ledger.yielded(Name, Now), [&](const auto &Item) {
        return mayStillAct(Item.first);
      }))
    return false;
  return std::ranges::none_of(
      Owners.formerOwners(Name, ViewPropagationTime, Now),
      [&](const DaemonId &Id) { return mayStillAct(Id); });
}

/// Whether \p Id keeps others from an account of this daemon.
bool QuotaAgent::isWitness(const Tenant &Name, const DaemonId &Id,
                           Instant Now) const {
  return std::ranges::any_of(Owners.witnesses(Name, Self.Host, Now),
                             [&](const Member *M) { return M->Id == Id; });
}

/// Whether the owner in the view had the support of this daemon, and has it no
/// more: it has ended, or it has stopped to act if the second witness does not
/// support it either.
bool QuotaAgent::ownerLapsed(const Tenant &Name, Instant Now) const {
  const Member *Owner = Owners.owner(Name);
  if (!Owner || Owner->Id.Host == Self.Host || !MayGrant ||
      Now - MayGrantSince < ViewPropagationTime ||
      uptime(Now) < 2 * ViewPropagationTime)
    return false;
  auto Witnesses = Owners.witnesses(Name, Owner->Id.Host, Now);
  if (Witnesses.size() < WitnessesOfOwner ||
      Witnesses.front()->Id.Host != Self.Host)
    return false;
  std::map<DaemonId, Instant> Yielded = Ledger.yielded(Name, Now);
  return Yielded.contains(Owner->Id) &&
         std::ranges::all_of(Yielded, [&](const auto &Item) {
           return Item.second + Policy.WitnessSupport <= Now;
         });
}

/// Whether the second witness of a lapsed owner has agreed to a claim.
bool QuotaAgent::succeeds(const QuotaRelease &R, const DaemonId &From,
                          Instant SentAt, Instant Now) const {
  if (!ownerLapsed(R.Name, SentAt) || !ownerLapsed(R.Name, Now))
    return false;
  const Member *Owner = Owners.owner(R.Name);
  return Owners.witnesses(R.Name, Owner->Id.Host, Now).back()->Id == From &&
         Millis(R.UptimeMillis) >= Policy.WitnessSupport;
}

void QuotaAgent::heard(const QuotaRelease &R, const DaemonId &From,
                       Instant SentAt, Instant Now) {
  if (!R.Idle)
    Ledger.accept(R, From, Now);
  if (R.Answer != QuotaAnswer::Agreed || SentAt <= Ledger.yieldedAt(R.Name))
    return;
  if (isWitness(R.Name, From, Now))
    Ledger.support(R.Name, From, SentAt);
  if (succeeds(R, From, SentAt, Now))
    return Ledger.settle(
        R.Name, {Now, QuotaEvidence::Lapsed, Owners.owner(R.Name)->Id});
  std::optional<Instant> Begin = ownerSince(R.Name);
  if (!Begin || SentAt < *Begin || roleIn(R.Name, Now).OwnerSince)
    return;
  if (standbyAgrees(R.Name, From, Now))
    return Ledger.settle(R.Name, {Now, QuotaEvidence::Standby, {}});
  Instant CountsAt = Now - Millis(R.UptimeMillis) + RestartGuard;
  Ledger.agree(R.Name, From, {SentAt, CountsAt, R.Rival});
  settle(R.Name, *Begin, Now);
}

void QuotaAgent::settle(const Tenant &Name, Instant Begin, Instant Now) {
  if (!allAgree(Name, std::max(Begin, Now - AgreementLifetime), Now))
    return;
  // Whoever is a witness from now on has agreed.
  Ledger.support(Name, Self, Ledger.agreedSince(Name));
  Ledger.settle(Name, {Now, QuotaEvidence::All, {}});
}

QuotaGrant QuotaAgent::grantTo(const DaemonId &From, const QuotaAsk &A,
                               Batches &Out, Instant Now) {
  auto Q = Quotas.find(A.Name);
  if (Q == Quotas.end())
    return {A.Name, A.Spent, {}, {}};
  endUnsupported(A.Name, Now);
  QuotaRole Role = roleIn(A.Name, Now);
  std::optional<Instant> Begin = ownerSince(A.Name);
  if (Begin && !Role.OwnerSince) {
    claim(A.Name, Out, Now);
    settle(A.Name, *Begin, Now);
    Role = roleIn(A.Name, Now);
  } else if (!Begin && ownerLapsed(A.Name, Now) &&
             Ledger.tryRenew(A.Name, FirstRenewalPeriod, Now)) {
    const Member *Owner = Owners.owner(A.Name);
    batchTo(*Owners.witnesses(A.Name, Owner->Id.Host, Now).back(), Out, Now)
        .Claims.push_back({A.Name});
  }
  bool Acted = Ledger.acts(A.Name);
  QuotaGrant G = Ledger.grant(From, A, Q->second, Role, Now);
  if (!Acted && Role.OwnerSince && Now - *Role.OwnerSince < OpeningTime)
    Opened.push_back({A.Name, Role.Evidence, Now - Begin.value_or(Now)});
  return G;
}

QuotaMessage &QuotaAgent::batchTo(const Member &To, Batches &Out,
                                  Instant Now) const {
  QuotaSend &S = Out[To.Id.Host];
  S.To = To;
  S.Message.From = Self;
  S.Message.Sequence = sequenceOf(Now);
  return S.Message;
}

const Member *QuotaAgent::findMember(const DaemonId &Id) const {
  auto At = std::ranges::lower_bound(Members, Id, {}, &Member::Id);
  return At != Members.end() && At->Id == Id ? &*At : nullptr;
}

/// Also of a later incarnation than the view shows.
std::optional<Member> QuotaAgent::addressOf(const DaemonId &Id) const {
  auto At = std::ranges::find_if(
      Members, [&](const Member &M) { return M.Id.Host == Id.Host; });
  if (At == Members.end() || At->Id.Incarnation > Id.Incarnation)
    return std::nullopt;
  Member Found = *At;
  Found.Id = Id;
  return Found;
}

void QuotaAgent::askOne(const Member &Granter, const Tenant &Name,
                        QuotaTokens &T, QuotaNeed Need, Batches &Out,
                        Instant Now) {
  QuotaAsk A = T.ask(Granter.Id, Name, Need, Now);
  if (Granter.Id.Host != Self.Host) {
    batchTo(Granter, Out, Now).Asks.push_back(std::move(A));
    return;
  }
  if (MayGrant)
    T.granted(Granter.Id, grantTo(Granter.Id, A, Out, Now), Now, Now);
}

void QuotaAgent::askFor(const Tenant &Name, QuotaTokens &T, Batches &Out,
                        Instant Now) {
  const Member *Owner = Owners.owner(Name);
  if (!Owner)
    return;
  askOne(*Owner, Name, T, QuotaNeed::Expected, Out, Now);
  const Member *Standby = Owners.standby(Name);
  if (Standby && T.silence(Owner->Id, Now) >= StandbyAfter)
    askOne(*Standby, Name, T, QuotaNeed::Waiting, Out, Now);
}

void QuotaAgent::collect(QuotaTokens &T, AdmissionEvents &Out, Instant Now) {
  AdmissionEvents Some = T.poll(Now);
  Waiters -= Some.size();
  MustReport = MustReport || T.mustReport();
  Out.insert(Out.end(), Some.begin(), Some.end());
}

AdmissionDecision QuotaAgent::offer(const Tenant &Name, TicketId Id,
                                    Instant Expires, QuotaOutput &Out,
                                    Instant Now) {
  auto Q = Quotas.find(Name);
  if (Q == Quotas.end() || !Q->second.limited())
    return AdmissionDecision::start();
  QuotaTokens &T = Held.try_emplace(Name, Policy).first->second;
  AdmissionDecision Decision = T.offer(Id, Expires, Now);
  MustReport = MustReport || T.mustReport();
  if (Decision.What != AdmissionAction::Wait)
    return Decision;
  ++Waiters;
  if (T.mustAsk(Now)) {
    Batches To;
    askFor(Name, T, To, Now);
    append(To, Out.Sends);
  }
  // This daemon may be the owner itself.
  AdmissionEvents Events;
  collect(T, Events, Now);
  for (const AdmissionEvent &E : Events) {
    if (E.Id == Id)
      Decision = E.Final;
    else
      Out.Events.push_back(E);
  }
  return Decision;
}

void QuotaAgent::cancel(const Tenant &Name, TicketId Id) {
  auto At = Held.find(Name);
  if (At != Held.end() && At->second.cancel(Id))
    --Waiters;
}

void QuotaAgent::putBack(const Tenant &Name) {
  auto At = Held.find(Name);
  if (At != Held.end())
    At->second.putBack();
}

QuotaOutput QuotaAgent::receive(const QuotaMessage &M, Instant Now) {
  QuotaOutput Out;
  Batches To;
  if (std::optional<Member> From = addressOf(M.From)) {
    // The reply repeats the sequence number, so it has no other entries.
    QuotaSend Reply{*From, {Self, M.Sequence, {}, {}, {}, {}}};
    if (MayGrant && findMember(M.From))
      for (const QuotaAsk &A : M.Asks)
        Reply.Message.Grants.push_back(grantTo(M.From, A, To, Now));
    for (const QuotaClaim &C : M.Claims)
      Reply.Message.Releases.push_back(answer(C, M.From, Now));
    appendParts(Reply, Out.Sends);
  }
  Instant SentAt = std::min(Now, timeOf(M.Sequence));
  for (const QuotaRelease &R : M.Releases)
    heard(R, M.From, SentAt, Now);
  for (const QuotaGrant &G : M.Grants) {
    auto At = Held.find(G.Name);
    if (At == Held.end())
      continue;
    At->second.granted(M.From, G, SentAt, Now);
    collect(At->second, Out.Events, Now);
    if (At->second.mustAsk(Now))
      askFor(G.Name, At->second, To, Now);
  }
  append(To, Out.Sends);
  Out.Opened = std::exchange(Opened, {});
  return Out;
}

QuotaOutput QuotaAgent::tick(Instant Now) {
  QuotaOutput Out;
  Batches To;
  MustReport = false;
  for (auto &[Name, T] : Held) {
    if (T.mustAsk(Now))
      askFor(Name, T, To, Now);
    const Member *Owner = Owners.owner(Name);
    for (const DaemonId &Who : T.outdated(Now)) {
      const Member *Granter = findMember(Who);
      bool IsOwner = Owner && Owner->Id == Who;
      if (Granter)
        askOne(*Granter, Name, T,
               IsOwner ? QuotaNeed::Expected : QuotaNeed::None, To, Now);
      else
        T.forget(Who);
    }
    collect(T, Out.Events, Now);
  }
  for (const Tenant &Name : Ledger.names()) {
    endUnsupported(Name, Now);
    if (Ledger.acts(Name))
      renew(Name, To, Now);
  }
  probe(To, Now);
  if (Now >= NextCleanup) {
    NextCleanup = Now + CleanupPeriod;
    std::erase_if(Held,
                  [&](const auto &Item) { return Item.second.idle(Now); });
    Ledger.removeIdle(Now);
  }
  append(To, Out.Sends);
  Out.Opened = std::exchange(Opened, {});
  return Out;
}

} // namespace shallot
