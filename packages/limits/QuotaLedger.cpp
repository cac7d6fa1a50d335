//===- QuotaLedger.cpp ----------------------------------------------------===//
#include "limits/QuotaLedger.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

/// Tokens are granted in advance only while more than this fraction of the
/// capacity is left: the last ones are for requests that are waiting.
constexpr double AdvanceFraction = 0.3;
/// A claim is sent again after this time, which doubles up to the longest: more
/// than two round trips between regions.
constexpr Duration ClaimPeriod = Millis(25);
constexpr Duration MaxClaimPeriod = Millis(80);

double secondsOf(Duration D) { return toMillisF(D) / 1000; }

Duration timeFor(double Tokens, double Rate) {
  return fromMillisF(1000 * Tokens / Rate);
}

} // namespace

/// Applies the totals that \p From reports. Totals above those of the lease
/// come from tokens of an earlier lease, which count as spent.
QuotaLedger::Lease &QuotaLedger::report(Account &A, const DaemonId &From,
                                        const QuotaAsk &Ask, Instant Now) {
  auto [At, IsNew] = A.Leases.try_emplace(From);
  Lease &L = At->second;
  if (IsNew || Ask.Spent > L.Granted)
    L = {Ask.Spent, Ask.Spent, Ask.Returned, Now};
  std::uint64_t Returned = std::max(L.Returned, Ask.Returned) - L.Returned;
  if (A.Active)
    A.Level += double(std::min(Returned, L.outstanding()));
  L.Returned += Returned;
  L.Spent = std::max(L.Spent, Ask.Spent);
  L.HeardAt = Now;
  return L;
}

double QuotaLedger::outstanding(const Account &A, Instant Now) {
  double Sum = (Now < A.ReservedUntil ? A.Reserved : 0) +
               (Now < A.WithheldUntil ? A.Withheld : 0);
  for (const auto &[Who, L] : A.Leases)
    Sum += double(L.outstanding());
  return Sum;
}

void QuotaLedger::activate(Account &A, const Quota &Q, const QuotaRole &Role,
                           Instant Now) const {
  A.Fraction = Role.Fraction;
  A.Rate = Q.Rate * Role.Fraction;
  A.Capacity = std::max(
      1.0, Role.Fraction * (Q.Burst + OwnerExcessShare * Tolerated.excess(Q)));
  if (!Role.OwnerSince) {
    A.Active = false;
    return;
  }
  if (!A.Active)
    open(A, Q, Role);
  fill(A, Now);
}

void QuotaLedger::open(Account &A, const Quota &Q,
                       const QuotaRole &Role) const {
  A.Active = true;
  A.FilledAt = Role.IdleSince.value_or(*Role.OwnerSince);
  bool Told = Role.Evidence == QuotaEvidence::Released && !A.AcceptedSeveral;
  if (!Told)
    A.Level = Policy.InitialFill * A.Capacity;
  if (Told || Role.Evidence == QuotaEvidence::Waited || Policy.InitialFill > 0)
    return;
  double Usable =
      std::max(1.0, Role.Fraction * EarlyExcessShare * Tolerated.excess(Q));
  A.Withheld = std::max(0.0, A.Capacity - Usable);
  A.WithheldUntil = *Role.OwnerSince + Policy.Lifetime;
}

void QuotaLedger::fill(Account &A, Instant Now) const {
  std::erase_if(A.Leases, [&](const auto &Item) {
    return Item.second.HeardAt + Policy.Lease < Now;
  });
  double Room = std::max(0.0, A.Capacity - outstanding(A, Now));
  double Passed = std::max(0.0, secondsOf(Now - A.FilledAt));
  A.Level = std::min(Room, A.Level + A.Rate * Passed);
  A.FilledAt = std::max(A.FilledAt, Now);
}

void QuotaLedger::fillStandby(Account &A, const Quota &Q, const QuotaRole &Role,
                              Instant Now) const {
  // A bucket that holds half of the share and fills with the other half in one
  // window grants at most the share in any window.
  if (Role.Fraction == 0)
    return;
  double Half = Role.Fraction * Policy.StandbyShare * Tolerated.excess(Q) / 2;
  double Passed = std::max(0.0, secondsOf(Now - A.StandbyAt));
  if (A.StandbyAt == Instant())
    A.StandbyLevel = Half;
  double Rate = Half / secondsOf(Tolerated.Window);
  A.StandbyLevel = std::min(Half, A.StandbyLevel + Rate * Passed);
  A.StandbyAt = Now;
}

void QuotaLedger::grantAsOwner(Account &A, Lease &L, const QuotaAsk &Ask,
                               QuotaGrant &G, Instant Now) {
  auto Held = L.outstanding();
  auto Missing = Ask.Needed > Held ? Ask.Needed - Held : 0;
  auto Given = std::min<std::uint64_t>(Missing, std::uint64_t(A.Level));
  double Spare = A.Level - double(Given) - AdvanceFraction * A.Capacity;
  std::uint64_t Target = std::uint64_t(Ask.Needed) + Ask.Wanted;
  std::uint64_t Advance = Target > Held + Given ? Target - Held - Given : 0;
  if (Given == Missing && Spare >= 1)
    Given += std::min(Advance, std::uint64_t(Spare));
  L.Granted += Given;
  A.Level -= double(Given);
  if (Given > 0)
    A.GrantedAt = Now;
  G.Prompt = Now < A.WithheldUntil && A.Withheld > 0;
  G.Interval =
      timeFor(double(std::max<std::size_t>(1, A.Leases.size())), A.Rate);
  if (Given < Missing)
    G.Wait = std::max(Duration(1), timeFor(1 - std::fmod(A.Level, 1), A.Rate));
}

void QuotaLedger::grantAsStandby(Account &A, Lease &L, const QuotaAsk &Ask) {
  auto Held = L.outstanding();
  auto Missing = Ask.Needed > Held ? Ask.Needed - Held : 0;
  auto Given = std::min<std::uint64_t>(Missing, std::uint64_t(A.StandbyLevel));
  L.Granted += Given;
  A.StandbyLevel -= double(Given);
}

QuotaGrant QuotaLedger::grant(const DaemonId &From, const QuotaAsk &Ask,
                              const Quota &Q, const QuotaRole &Role,
                              Instant Now) {
  Account &A = Accounts[Ask.Name];
  activate(A, Q, Role, Now);
  Lease &L = report(A, From, Ask, Now);
  QuotaGrant G;
  G.Name = Ask.Name;
  if (A.Active) {
    fill(A, Now);
    grantAsOwner(A, L, Ask, G, Now);
  } else if (Role.Standby) {
    fillStandby(A, Q, Role, Now);
    grantAsStandby(A, L, Ask);
  }
  G.Granted = L.Granted;
  return G;
}

void QuotaLedger::accept(const QuotaRelease &R, const DaemonId &From,
                         Instant Now) {
  Account &A = Accounts[R.Name];
  if (A.Active)
    return;
  if (!A.AcceptedAt || *A.AcceptedAt + Policy.Lease < Now)
    A.AcceptedSeveral = false;
  else if (A.AcceptedFrom != From)
    A.AcceptedSeveral = true;
  A.AcceptedFrom = From;
  A.AcceptedFraction = R.Fraction;
  A.Level = R.Level;
  A.Reserved = R.Outstanding;
  A.ReservedUntil = Now + Policy.Lifetime;
  A.Withheld = R.Withheld;
  A.WithheldUntil = Now + std::min<Duration>(R.WithheldFor, Policy.Lifetime);
  A.AcceptedAt = Now;
}

void QuotaLedger::agree(const Tenant &Name, const DaemonId &From,
                        const Agreement &A) {
  Agreement &Last = Accounts[Name].Agreed[From];
  if (A.SentAt >= Last.SentAt)
    Last = A;
}

const QuotaLedger::Agreement *QuotaLedger::agreed(const Tenant &Name,
                                                  const DaemonId &From,
                                                  Instant Since) const {
  auto At = Accounts.find(Name);
  if (At == Accounts.end())
    return nullptr;
  auto By = At->second.Agreed.find(From);
  bool Is = By != At->second.Agreed.end() && By->second.SentAt >= Since;
  return Is ? &By->second : nullptr;
}

Instant QuotaLedger::agreedSince(const Tenant &Name) const {
  Instant First = Instant::max();
  if (auto At = Accounts.find(Name); At != Accounts.end())
    for (const auto &[Who, A] : At->second.Agreed)
      First = std::min(First, A.SentAt);
  return First;
}

Instant QuotaLedger::idleSince(const Tenant &Name) const {
  Instant Last = Instant::min();
  if (auto At = Accounts.find(Name); At != Accounts.end())
    for (const auto &[Who, A] : At->second.Agreed)
      Last = std::max({Last, A.IdleSince, A.CountsAt});
  return Last;
}

/// An account that is gone has been without grants for as long as a lease
/// lasts.
Duration QuotaLedger::idleTime(const Tenant &Name, Instant Now) const {
  auto At = Accounts.find(Name);
  if (At == Accounts.end())
    return Policy.Lease;
  Instant Last = At->second.GrantedAt;
  return Last == Instant::min() ? Policy.Lease : Now - Last;
}

std::set<std::uint64_t> QuotaLedger::rivals(const Tenant &Name, Instant Since,
                                            Instant Now) const {
  std::set<std::uint64_t> Found;
  auto At = Accounts.find(Name);
  if (At == Accounts.end())
    return Found;
  for (const auto &[Who, When] : yielded(Name, Now))
    Found.insert(hash64(Who.Host.str()));
  for (const auto &[Who, A] : At->second.Agreed)
    if (A.SentAt >= Since && A.Rival != 0)
      Found.insert(A.Rival);
  return Found;
}

void QuotaLedger::settle(const Tenant &Name, const Settlement &S) {
  Account &A = Accounts[Name];
  A.Settled = S;
  A.Agreed.clear();
}

std::optional<QuotaLedger::Settlement>
QuotaLedger::settlement(const Tenant &Name) const {
  auto At = Accounts.find(Name);
  return At == Accounts.end() ? std::nullopt : At->second.Settled;
}

std::optional<QuotaRelease> QuotaLedger::release(const Tenant &Name,
                                                 Instant Now) {
  auto At = Accounts.find(Name);
  if (At == Accounts.end())
    return std::nullopt;
  Account &A = At->second;
  A.AcceptedAt.reset();
  A.Agreed.clear();
  A.Settled.reset();
  A.ClaimWait = {};
  A.ClaimsSince.reset();
  if (!std::exchange(A.Active, false))
    return std::nullopt;
  fill(A, Now);
  QuotaRelease R;
  R.Name = Name;
  R.Level = std::exchange(A.Level, 0);
  R.Outstanding = outstanding(A, Now);
  if (Now < A.WithheldUntil) {
    R.Outstanding -= A.Withheld;
    R.Withheld = A.Withheld;
    R.WithheldFor = A.WithheldUntil - Now;
  }
  R.Fraction = A.Fraction;
  return R;
}

/// An account that was released to this daemon, which has not acted since;
/// Idle without one.
QuotaRelease QuotaLedger::unused(const Account &A, const Tenant &Name,
                                 Instant Now) const {
  QuotaRelease R{Name};
  R.Idle = !A.AcceptedAt || A.AcceptedSeveral ||
           Now - *A.AcceptedAt >= Policy.Lifetime;
  if (R.Idle)
    return R;
  R.Level = A.Level;
  R.Outstanding = A.Reserved;
  R.Withheld = A.Withheld;
  R.WithheldFor = std::max(Duration(0), A.WithheldUntil - Now);
  R.Fraction = A.AcceptedFraction;
  return R;
}

QuotaRelease QuotaLedger::yield(const Tenant &Name, const DaemonId &To,
                                Instant Now) {
  Account &A = Accounts[Name];
  std::erase_if(A.Yielded, [&](const auto &Item) {
    return Item.second + Policy.OwnerWait <= Now;
  });
  A.Yielded[To] = Now;
  QuotaRelease Otherwise = unused(A, Name, Now);
  return release(Name, Now).value_or(Otherwise);
}

Instant QuotaLedger::yieldedUntil(const Tenant &Name) const {
  Instant At = yieldedAt(Name);
  return At == Instant::min() ? At : At + Policy.OwnerWait;
}

Instant QuotaLedger::yieldedAt(const Tenant &Name) const {
  Instant Last = Instant::min();
  if (auto At = Accounts.find(Name); At != Accounts.end())
    for (const auto &[Who, When] : At->second.Yielded)
      Last = std::max(Last, When);
  return Last;
}

std::map<DaemonId, Instant> QuotaLedger::yielded(const Tenant &Name,
                                                 Instant Now) const {
  std::map<DaemonId, Instant> Found;
  if (auto At = Accounts.find(Name); At != Accounts.end())
    Found = At->second.Yielded;
  std::erase_if(Found, [&](const auto &Item) {
    return Item.second + Policy.OwnerWait <= Now;
  });
  return Found;
}

void QuotaLedger::support(const Tenant &Name, const DaemonId &By,
                          Instant SentAt) {
  Instant &Last = Accounts[Name].Supported[By];
  Last = std::max(Last, SentAt);
}

Instant QuotaLedger::supportedUntil(const Tenant &Name) const {
  Instant Last = Instant::min();
  if (auto At = Accounts.find(Name); At != Accounts.end())
    for (const auto &[Who, When] : At->second.Supported)
      Last = std::max(Last, When + Policy.Support);
  return Last;
}

void QuotaLedger::lapse(const Tenant &Name, Instant Now) {
  release(Name, Now);
  Accounts[Name].LapsedAt = Now;
}

Instant QuotaLedger::lapsedAt(const Tenant &Name) const {
  auto At = Accounts.find(Name);
  return At == Accounts.end() ? Instant::min() : At->second.LapsedAt;
}

bool QuotaLedger::tryRenew(const Tenant &Name, Duration Period, Instant Now) {
  Account &A = Accounts[Name];
  if (Now - A.RenewedAt < Period)
    return false;
  A.RenewedAt = Now;
  std::erase_if(A.Supported, [&](const auto &Item) {
    return Item.second + Policy.Support <= Now;
  });
  return true;
}

bool QuotaLedger::acts(const Tenant &Name) const {
  auto At = Accounts.find(Name);
  return At != Accounts.end() && At->second.Active;
}

std::optional<Tenant> QuotaLedger::anyActive() const {
  auto At = std::ranges::find_if(
      Accounts, [](const auto &Item) { return Item.second.Active; });
  return At == Accounts.end() ? std::nullopt : std::optional(At->first);
}

bool QuotaLedger::tryClaim(const Tenant &Name, Instant Now) {
  Account &A = Accounts[Name];
  if (Now - A.ClaimedAt < A.ClaimWait)
    return false;
  if (!claimsSince(Name, Now))
    A.ClaimsSince = Now;
  A.ClaimedAt = Now;
  A.ClaimWait = std::clamp(2 * A.ClaimWait, ClaimPeriod, MaxClaimPeriod);
  return true;
}

std::optional<Instant> QuotaLedger::claimsSince(const Tenant &Name,
                                                Instant Now) const {
  auto At = Accounts.find(Name);
  bool Lately =
      At != Accounts.end() && Now - At->second.ClaimedAt < 2 * MaxClaimPeriod;
  return Lately ? At->second.ClaimsSince : std::nullopt;
}

Instant QuotaLedger::wantedAt(const Tenant &Name) const {
  auto At = Accounts.find(Name);
  return At == Accounts.end() ? Instant() : At->second.WantedAt;
}

std::vector<Tenant> QuotaLedger::engaged(Instant Now) const {
  std::vector<Tenant> Found;
  for (const auto &[Name, A] : Accounts)
    if (A.Active || Now - A.ClaimedAt < 2 * MaxClaimPeriod)
      Found.push_back(Name);
  return Found;
}

std::vector<Tenant> QuotaLedger::names() const {
  std::vector<Tenant> Found;
  for (const auto &[Name, A] : Accounts)
    Found.push_back(Name);
  return Found;
}

std::optional<Instant> QuotaLedger::acceptedAt(const Tenant &Name) const {
  auto At = Accounts.find(Name);
  return At == Accounts.end() ? std::nullopt : At->second.AcceptedAt;
}

double QuotaLedger::acceptedFraction(const Tenant &Name) const {
  auto At = Accounts.find(Name);
  return At == Accounts.end() || At->second.AcceptedSeveral
             ? 0
             : At->second.AcceptedFraction;
}

void QuotaLedger::removeIdle(Instant Now) {
  for (auto &[Name, A] : Accounts) {
    if (A.Active)
      fill(A, Now);
    std::erase_if(A.Yielded, [&](const auto &Item) {
      return Item.second + Policy.OwnerWait <= Now;
    });
  }
  std::erase_if(Accounts, [&](const auto &Item) {
    const Account &A = Item.second;
    bool Used = !A.Leases.empty() || Now < A.ReservedUntil ||
                Now < A.WithheldUntil || !A.Yielded.empty() || A.AcceptedAt ||
                Now < A.LapsedAt + Policy.OwnerWait ||
                (A.Settled && Now - A.Settled->At < Policy.OwnerWait) ||
                Now - A.StandbyAt < Tolerated.Window;
    return !Used && (!A.Active || A.Level >= A.Capacity);
  });
}

} // namespace shallot
