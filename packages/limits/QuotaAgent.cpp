//===- QuotaAgent.cpp -----------------------------------------------------===//
#include "limits/QuotaAgent.h"

#include <algorithm>
#include <utility>

namespace shallot {

namespace {

/// An owner that has not answered for this long is joined by the standby: the
/// second ask goes to both. More than the round trip between regions.
constexpr Duration StandbyAfter = Millis(20);
/// The owner in the view joins one that was agreed on after this time. Its
/// claim would end the account of the other, so it is longer.
constexpr Duration OtherOwnerAfter = Millis(50);
/// Period in which accounts and tokens out of use are removed.
constexpr Duration CleanupPeriod = Seconds(1);
/// Only an account that opens within this time after it could is reported, and
/// not one that was removed while it was idle.
constexpr Duration OpeningTime = Seconds(1);

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
  for (const Tenant &Name : Ledger.names())
    releaseForeign(Name, To, Now);
  append(To, Out.Sends);
  Out.Opened = std::exchange(Opened, {});
  return Out;
}

/// Tells the owner that tokens are needed: the view of the daemon that asked
/// this one may be older. The owner ranks higher, so this ends.
void QuotaAgent::passOn(const Tenant &Name, Batches &Out, Instant Now) {
  const Member *Owner = Owners.owner(Name);
  if (!Owner || !QuotaOwners::outranks(Name, Owner->Id.Host, Self.Host))
    return;
  QuotaTokens &T = Held.try_emplace(Name, Policy).first->second;
  askOne(*Owner, Name, T, QuotaNeed::None, Out, Now);
}

QuotaGrant QuotaAgent::grantTo(const DaemonId &From, const QuotaAsk &A,
                               Batches &Out, Instant Now) {
  auto Q = Quotas.find(A.Name);
  if (Q == Quotas.end())
    return {A.Name, A.Spent, {}, {}};
  endUnsupported(A.Name, Now);
  QuotaRole Role = roleIn(A.Name, Now);
  std::optional<Instant> Begin = ownerSince(A.Name, Now);
  if (Role.LacksSupport && Role.Evidence == QuotaEvidence::Waited) {
    renew(A.Name, Out, Now);
  } else if (Begin && !Role.OwnerSince) {
    Ledger.want(A.Name, Now);
    claim(A.Name, Out, Now);
    settle(A.Name, *Begin, Now);
    Role = roleIn(A.Name, Now);
  } else if (!Begin) {
    claimLapsed(A.Name, Out, Now);
  }
  if (!Role.OwnerSince && !Begin && From != Self)
    passOn(A.Name, Out, Now);
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
  const Member *Standby = Owners.standby(Name);
  Duration Patience = StandbyAfter;
  if (const Member *Agreed = agreedOwner(Name, T, Now)) {
    Standby = Owner;
    Owner = Agreed;
    Patience = OtherOwnerAfter;
  }
  askOne(*Owner, Name, T, QuotaNeed::Expected, Out, Now);
  if (Standby && T.silence(Owner->Id, Now) >= Patience)
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
  MustReport = Claiming = false;
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
  tickAccounts(To, Now);
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
