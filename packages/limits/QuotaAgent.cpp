//===- QuotaAgent.cpp -----------------------------------------------------===//
#include "limits/QuotaAgent.h"

#include <algorithm>

namespace shallot {

namespace {

/// An owner that has not answered for this long is joined by the standby: the
/// second ask goes to both. More than the round trip between regions.
constexpr Duration StandbyAfter = Millis(20);
/// Period in which accounts and tokens out of use are removed.
constexpr Duration CleanupPeriod = Seconds(1);

std::uint64_t sequenceOf(Instant At) {
  return static_cast<std::uint64_t>(At.time_since_epoch().count());
}

Instant timeOf(std::uint64_t Sequence) {
  return Instant(Duration(static_cast<std::int64_t>(Sequence)));
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
  if (May && !MayGrant)
    MayGrantSince = Now;
  MayGrant = May;
  if (!May)
    for (const Tenant &Name : Ledger.names())
      Ledger.release(Name, Now);
}

QuotaOutput QuotaAgent::update(const FleetView &View, Instant Now) {
  QuotaOutput Out;
  Members = View.Members;
  if (!Owners.update(View, Now))
    return Out;
  Batches To;
  for (const Tenant &Name : Ledger.names()) {
    const Member *Owner = Owners.owner(Name);
    if (!Owner || Owner->Id.Host == Self.Host)
      continue;
    if (auto Released = Ledger.release(Name, Now))
      batchTo(*Owner, To, Now).Releases.push_back(std::move(*Released));
  }
  append(To, Out.Sends);
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
  if (!Since)
    return R;
  Instant Begin = std::max(*Since, MayGrantSince);
  std::optional<Instant> Accepted = Ledger.acceptedAt(Name);
  R.Released = Accepted && *Accepted >= Begin - Policy.OwnerWait;
  Instant From =
      R.Released ? std::max(*Accepted, Begin) : Begin + Policy.OwnerWait;
  From = std::max(From, Ledger.yieldedUntil(Name));
  if (From <= Now)
    R.OwnerSince = From;
  return R;
}

QuotaGrant QuotaAgent::grantTo(const DaemonId &From, const QuotaAsk &A,
                               Batches &Out, Instant Now) {
  auto Q = Quotas.find(A.Name);
  if (Q == Quotas.end())
    return {A.Name, A.Spent, {}, {}};
  QuotaRole Role = roleIn(A.Name, Now);
  const Member *Standby = Owners.standby(A.Name);
  bool Waits = !Role.OwnerSince && Owners.ownedSince(A.Name);
  if (Waits && Standby && Ledger.tryClaim(A.Name, Now))
    batchTo(*Standby, Out, Now).Claims.push_back({A.Name});
  return Ledger.grant(From, A, Q->second, Role, Now);
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
  const Member *From = findMember(M.From);
  if (From && MayGrant) {
    // The reply repeats the sequence number, so it has no other entries.
    QuotaSend Reply{*From, {Self, M.Sequence, {}, {}, {}, {}}};
    for (const QuotaAsk &A : M.Asks)
      Reply.Message.Grants.push_back(grantTo(M.From, A, To, Now));
    for (const QuotaClaim &C : M.Claims)
      Reply.Message.Releases.push_back(Ledger.yield(C.Name, Now));
    appendParts(Reply, Out.Sends);
  }
  for (const QuotaRelease &R : M.Releases)
    Ledger.accept(R, Now);
  Instant SentAt = std::min(Now, timeOf(M.Sequence));
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
  return Out;
}

QuotaOutput QuotaAgent::tick(Instant Now) {
  QuotaOutput Out;
  Batches To;
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
  if (Now >= NextCleanup) {
    NextCleanup = Now + CleanupPeriod;
    std::erase_if(Held,
                  [&](const auto &Item) { return Item.second.idle(Now); });
    Ledger.removeIdle(Now);
  }
  append(To, Out.Sends);
  return Out;
}

} // namespace shallot
