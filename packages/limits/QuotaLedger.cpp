//===- QuotaLedger.cpp ----------------------------------------------------===//
#include "limits/QuotaLedger.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

/// Tokens are granted in advance only while more than this fraction of the
/// capacity is left: the last ones are for requests that are waiting.
constexpr double AdvanceFraction = 0.5;
/// A claim is sent again after this time: more than two round trips between
/// regions.
constexpr Duration ClaimPeriod = Millis(40);

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
  double Sum = Now < A.ReservedUntil ? A.Reserved : 0;
  for (const auto &[Who, L] : A.Leases)
    Sum += double(L.outstanding());
  return Sum;
}

void QuotaLedger::activate(Account &A, const Quota &Q, const QuotaRole &Role,
                           Instant Now) const {
  A.Rate = Q.Rate * Role.Fraction;
  A.Capacity = std::max(
      1.0, Role.Fraction * (Q.Burst + OwnerExcessShare * Tolerated.excess(Q)));
  if (!Role.OwnerSince) {
    A.Active = false;
    return;
  }
  if (!A.Active) {
    A.Level = Role.Released ? A.Level : Policy.InitialFill * A.Capacity;
    A.FilledAt = *Role.OwnerSince;
    A.Active = true;
  }
  fill(A, Now);
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
  double Half = Role.Fraction * Policy.StandbyShare * Tolerated.excess(Q) / 2;
  double Passed = std::max(0.0, secondsOf(Now - A.StandbyAt));
  if (A.StandbyAt == Instant())
    A.StandbyLevel = Half;
  double Rate = Half / secondsOf(Tolerated.Window);
  A.StandbyLevel = std::min(Half, A.StandbyLevel + Rate * Passed);
  A.StandbyAt = Now;
}

void QuotaLedger::grantAsOwner(Account &A, Lease &L, const QuotaAsk &Ask,
                               QuotaGrant &G) {
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
    grantAsOwner(A, L, Ask, G);
  } else if (Role.Standby) {
    fillStandby(A, Q, Role, Now);
    grantAsStandby(A, L, Ask);
  }
  G.Granted = L.Granted;
  return G;
}

void QuotaLedger::accept(const QuotaRelease &R, Instant Now) {
  Account &A = Accounts[R.Name];
  if (A.Active)
    return;
  A.Level = R.Level;
  A.Reserved = R.Outstanding;
  A.ReservedUntil = Now + Policy.Lifetime;
  A.AcceptedAt = Now;
}

std::optional<QuotaRelease> QuotaLedger::release(const Tenant &Name,
                                                 Instant Now) {
  auto At = Accounts.find(Name);
  if (At == Accounts.end())
    return std::nullopt;
  Account &A = At->second;
  A.AcceptedAt.reset();
  if (!std::exchange(A.Active, false))
    return std::nullopt;
  fill(A, Now);
  return QuotaRelease{Name, std::exchange(A.Level, 0), outstanding(A, Now)};
}

QuotaRelease QuotaLedger::yield(const Tenant &Name, Instant Now) {
  Accounts[Name].YieldedUntil = Now + Policy.OwnerWait;
  return release(Name, Now).value_or(QuotaRelease{Name});
}

Instant QuotaLedger::yieldedUntil(const Tenant &Name) const {
  auto At = Accounts.find(Name);
  return At == Accounts.end() ? Instant() : At->second.YieldedUntil;
}

bool QuotaLedger::tryClaim(const Tenant &Name, Instant Now) {
  Account &A = Accounts[Name];
  if (Now - A.ClaimedAt < ClaimPeriod)
    return false;
  A.ClaimedAt = Now;
  return true;
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

void QuotaLedger::removeIdle(Instant Now) {
  for (auto &[Name, A] : Accounts)
    if (A.Active)
      fill(A, Now);
  std::erase_if(Accounts, [&](const auto &Item) {
    const Account &A = Item.second;
    bool Used = !A.Leases.empty() || Now < A.ReservedUntil ||
                Now < A.YieldedUntil || A.AcceptedAt ||
                Now - A.StandbyAt < Tolerated.Window;
    return !Used && (!A.Active || A.Level >= A.Capacity);
  });
}

} // namespace shallot
