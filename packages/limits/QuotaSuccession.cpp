//===- QuotaSuccession.cpp - Who acts as the owner of a quota -------------===//
#include "limits/QuotaAgent.h"

#include <algorithm>
#include <utility>

namespace shallot {

namespace {

/// How long the answer to a claim counts.
constexpr Duration AgreementLifetime = Seconds(1);
/// Period in which an owner asks its witnesses for support.
constexpr Duration RenewalPeriod = Millis(400);
/// The same while it has no support: more than a round trip between regions.
constexpr Duration FirstRenewalPeriod = Millis(25);
/// How long daemons ask the one whose claim they agreed to, and it acts, when
/// their views show another owner: while many daemons start, views differ and
/// change the owner again and again. Those that agreed act as the owner no
/// sooner than ViewPropagationTime after the claim.
constexpr Duration AgreedOwnerTime = ViewPropagationTime - AgreementLifetime;
/// The most claims that a daemon sends in a second; organisations beyond wait
/// for ViewPropagationTime.
constexpr std::size_t MaxClaimsPerSecond = 4096;
/// The daemons that a silent owner asks for a sign of life in each QuotaTick.
constexpr std::size_t ProbedAtOnce = 3;

/// Whether all have agreed that this daemon is the owner and ask it for tokens,
/// whatever their views show.
bool isAgreedOn(const QuotaLedger::Settlement &S, Instant Now) {
  return S.Evidence == QuotaEvidence::All && Now < S.At + AgreedOwnerTime;
}

/// Whether that has just ended, and the owner in the view is due to follow. A
/// later change of the view releases the account by itself.
bool agreementHasEnded(const QuotaLedger::Settlement &S, Instant Now) {
  return S.Evidence == QuotaEvidence::All && Now >= S.At + AgreedOwnerTime &&
         Now < S.At + AgreedOwnerTime + Seconds(1);
}

} // namespace

/// Releases an account that this daemon does not own in its view, but not while
/// the others ask it because they agreed to its claim, nor when it has replaced
/// an owner that the view still shows.
void QuotaAgent::releaseForeign(const Tenant &Name, Batches &Out, Instant Now) {
  const Member *Owner = Owners.owner(Name);
  if (!Owner || Owner->Id.Host == Self.Host)
    return;
  auto Settled = Ledger.settlement(Name);
  if (Settled && (Settled->Former == Owner->Id || isAgreedOn(*Settled, Now)))
    return;
  if (!Ledger.acts(Name) && Ledger.claimsSince(Name, Now))
    return;
  if (auto Released = Ledger.release(Name, Now))
    batchTo(*Owner, Out, Now).Releases.push_back(std::move(*Released));
}

/// Renews or ends what this daemon does as the owner, and goes on with claims.
void QuotaAgent::tickAccounts(Batches &Out, Instant Now) {
  for (const Tenant &Name : Ledger.engaged(Now)) {
    endUnsupported(Name, Now);
    auto Settled = Ledger.settlement(Name);
    if (Settled && agreementHasEnded(*Settled, Now))
      releaseForeign(Name, Out, Now);
    if (Ledger.acts(Name))
      renew(Name, Out, Now);
    else
      pursue(Name, Out, Now);
  }
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
  if (Settled && (Settled->Evidence == QuotaEvidence::Lapsed ||
                  isAgreedOn(*Settled, Now))) {
    std::optional<Instant> Told = Ledger.acceptedAt(Name);
    bool Released = Told && *Told >= Settled->At - Policy.OwnerWait;
    R.Evidence = Released ? QuotaEvidence::Released : Settled->Evidence;
    if (!Released)
      R.IdleSince = Settled->IdleSince;
    if (Settled->Evidence == QuotaEvidence::All)
      R.Fraction = Owners.zonesInView();
    setOwner(R, Name, Settled->At, Now);
    return R;
  }
  if (!Since)
    return R;
  Instant Begin = *ownerSince(Name, Now);
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
  if (Settled && (Settled->At >= Begin || Ledger.acts(Name))) {
    if (!Released)
      R.Evidence = Settled->Evidence;
    From = std::min(From, Settled->At);
    bool AllZones = Settled->Evidence == QuotaEvidence::All;
    if (AllZones && Now - Settled->At < ViewPropagationTime)
      R.Fraction = Owners.zonesInView();
  }
  setOwner(R, Name, From, Now);
  return R;
}

/// Makes this daemon the owner from \p From on, if a witness supports it.
void QuotaAgent::setOwner(QuotaRole &R, const Tenant &Name, Instant From,
                          Instant Now) const {
  if (From > Now || R.Fraction == 0)
    return;
  if (supported(Name, Now))
    R.OwnerSince = From;
  else
    R.LacksSupport = true;
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

/// A daemon that has begun to claim goes on when its view changes: many may
/// have agreed already, and ask it.
std::optional<Instant> QuotaAgent::ownerSince(const Tenant &Name,
                                              Instant Now) const {
  if (!MayGrant)
    return std::nullopt;
  std::optional<Instant> Since = Owners.ownedSince(Name);
  if (!Since)
    Since = Ledger.claimsSince(Name, Now);
  if (!Since)
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
  Claiming = true;
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

/// Goes on with a claim whether or not more requests wait meanwhile.
void QuotaAgent::pursue(const Tenant &Name, Batches &Out, Instant Now) {
  std::optional<Instant> Begin = ownerSince(Name, Now);
  bool Claims = Begin && Ledger.claimsSince(Name, Now) &&
                Now < Ledger.wantedAt(Name) + AgreementLifetime;
  if (!Claims || roleIn(Name, Now).OwnerSince)
    return;
  Claiming = true;
  claim(Name, Out, Now);
  settle(Name, *Begin, Now);
}

/// Any answer to a claim shows that this daemon is not cut off.
void QuotaAgent::probe(Batches &Out, Instant Now) {
  if (HeardAt >= Now - OwnerProbeAfter || !MayGrant || Members.size() < 2)
    return;
  std::optional<Tenant> Name = Ledger.anyActive();
  for (std::size_t I = 0; Name && I < ProbedAtOnce; ++I) {
    const Member &M = Members[NextProbed++ % Members.size()];
    if (M.Id.Host != Self.Host && isUp(M))
      batchTo(M, Out, Now).Claims.push_back({*Name});
  }
}

/// A daemon that acts as the owner, or claims the account itself, yields to a
/// claimer that ranks higher, also if its view does not show it yet. The others
/// consent: they do not act as the owner unless the claimer consents to that.
QuotaRelease QuotaAgent::answer(const QuotaClaim &C, const DaemonId &From,
                                Instant Now) {
  const Member *Owner = Owners.owner(C.Name);
  QuotaRelease R;
  R.Name = C.Name;
  R.Idle = true;
  bool Acts = Ledger.acts(C.Name) ||
              (ownerSince(C.Name, Now) && Ledger.claimsSince(C.Name, Now));
  bool Owns = Owner && Owner->Id.Host == From.Host;
  std::optional<DaemonId> Supported = supportedAbove(C.Name, From, Now);
  bool Ranks = QuotaOwners::outranks(C.Name, From.Host, Self.Host);
  if (isFailed(From) || (Acts && !Owns && !Ranks)) {
    R.Answer = QuotaAnswer::Refused;
  } else {
    R = Ledger.yield(C.Name, From, Now);
    R.Answer = QuotaAnswer::Agreed;
  }
  const Member *Next = Owns ? Owners.standby(C.Name) : Owner;
  std::optional<HostId> Rival;
  if (Supported)
    Rival = Supported->Host;
  else if (Next)
    Rival = Next->Id.Host;
  R.Rival = Rival ? hash64(Rival->str()) : 0;
  R.SupportsRival = Supported.has_value();
  auto MillisOf = [](Duration D) {
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(toMillis(D), 0, UINT32_MAX));
  };
  R.UptimeMillis = MillisOf(uptime(Now));
  R.IdleMillis = MillisOf(std::min(uptime(Now), Ledger.idleTime(C.Name, Now)));
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

/// The daemon that ranks higher than \p Claimer and that this one supports, or
/// nothing.
std::optional<DaemonId> QuotaAgent::supportedAbove(const Tenant &Name,
                                                   const DaemonId &Claimer,
                                                   Instant Now) const {
  for (const auto &[Who, At] : Ledger.yielded(Name, Now))
    if (Now < At + Policy.WitnessSupport && Who.Host != Claimer.Host &&
        QuotaOwners::outranks(Name, Who.Host, Claimer.Host) && !hasEnded(Who))
      return Who;
  return std::nullopt;
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
      supportedAbove(Name, Self, Now) ||
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

/// Asks the second witness of a lapsed owner, as its first.
void QuotaAgent::claimLapsed(const Tenant &Name, Batches &Out, Instant Now) {
  if (!ownerLapsed(Name, Now) ||
      !Ledger.tryRenew(Name, FirstRenewalPeriod, Now))
    return;
  const Member *Owner = Owners.owner(Name);
  const Member *Second = Owners.witnesses(Name, Owner->Id.Host, Now).back();
  batchTo(*Second, Out, Now).Claims.push_back({Name});
}

void QuotaAgent::heard(const QuotaRelease &R, const DaemonId &From,
                       Instant SentAt, Instant Now) {
  if (!R.Idle)
    Ledger.accept(R, From, Now);
  if (R.Answer != QuotaAnswer::Agreed || SentAt <= Ledger.yieldedAt(R.Name))
    return;
  bool Supports = !R.SupportsRival;
  if (Supports && isWitness(R.Name, From, Now))
    Ledger.support(R.Name, From, SentAt);
  if (Supports && succeeds(R, From, SentAt, Now))
    return Ledger.settle(
        R.Name, {Now, QuotaEvidence::Lapsed, Owners.owner(R.Name)->Id, {}});
  std::optional<Instant> Begin = ownerSince(R.Name, Now);
  if (!Begin || SentAt < *Begin || roleIn(R.Name, Now).OwnerSince)
    return;
  if (Supports && standbyAgrees(R.Name, From, Now))
    return Ledger.settle(R.Name, {Now, QuotaEvidence::Standby, {}, {}});
  Instant CountsAt = Now - Millis(R.UptimeMillis) + RestartGuard;
  Ledger.agree(R.Name, From,
               {SentAt, CountsAt, R.Rival, Now - Millis(R.IdleMillis)});
  settle(R.Name, *Begin, Now);
}

void QuotaAgent::settle(const Tenant &Name, Instant Begin, Instant Now) {
  Instant Since = std::max(Begin, Now - AgreementLifetime);
  if (!allAgree(Name, Since, Now))
    return;
  // Whoever is a witness from now on has agreed, and so have those that the
  // witnesses support.
  Ledger.support(Name, Self, Ledger.agreedSince(Name));
  Instant IdleSince =
      std::max({Ledger.idleSince(Name), Now - Ledger.idleTime(Name, Now),
                *StartedAt + RestartGuard});
  Ledger.settle(Name, {Now, QuotaEvidence::All, {}, std::min(IdleSince, Now)});
}

/// This daemon if it acts as the owner, else the highest of those whose claims
/// it agreed to; null if that is the owner in the view.
const Member *QuotaAgent::agreedOwner(const Tenant &Name, const QuotaTokens &T,
                                      Instant Now) const {
  const Member *Found = nullptr;
  if (Ledger.acts(Name))
    Found = findMember(Self);
  else
    for (const auto &[Who, At] : Ledger.yielded(Name, Now)) {
      const Member *M = findMember(Who);
      bool Asked = Now < At + AgreedOwnerTime && !T.declined(Who, Now);
      if (M && isUp(*M) && Asked &&
          (!Found || QuotaOwners::outranks(Name, M->Id.Host, Found->Id.Host)))
        Found = M;
    }
  return Found && !Owners.isOwner(Name, Found->Id.Host) ? Found : nullptr;
}

} // namespace shallot
