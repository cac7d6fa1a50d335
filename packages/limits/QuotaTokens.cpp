//===- QuotaTokens.cpp ----------------------------------------------------===//
#include "limits/QuotaTokens.h"

#include <algorithm>
#include <cmath>

namespace shallot {

namespace {

/// Tokens are held in advance for the requests of this time.
constexpr Duration AdvanceTime = Millis(500);
/// Time constant of the estimate of the demand.
constexpr double DemandSeconds = 1;
/// Tokens that were not needed for this long are returned.
constexpr Duration IdleTime = Seconds(1);
/// Unused tokens are confirmed in this period, so that two lost messages do not
/// end them.
constexpr Duration RenewPeriod = TokenLifetime / 4;
/// An ask is sent again after this time, more than the round trip between
/// regions.
constexpr Duration AskAgain = Millis(25);
/// The most tokens that are asked for in advance.
constexpr double MaxAdvance = 1000;

/// Where the totals of a line begin: above those of any earlier line to the
/// same granter, which may still have them in a lease. No daemon uses a million
/// tokens per second.
std::uint64_t firstTotal(Instant Now) {
  using Micros = std::chrono::microseconds;
  auto Passed = std::chrono::duration_cast<Micros>(Now.time_since_epoch());
  return static_cast<std::uint64_t>(Passed.count());
}

} // namespace

/// Spends a token of the line that was renewed last.
bool QuotaTokens::spend(Instant Now) {
  dropExpired(Now);
  Line *Best = nullptr;
  for (auto &[Who, L] : Lines)
    if (L.held() > 0 && (!Best || L.RenewedAt > Best->RenewedAt))
      Best = &L;
  if (!Best)
    return false;
  ++Best->Spent;
  return true;
}

/// The granter may give expired tokens to others; here they count as spent.
void QuotaTokens::dropExpired(Instant Now) {
  for (auto &[Who, L] : Lines)
    if (L.RenewedAt + Policy.Lifetime <= Now)
      L.Spent = L.Granted;
}

void QuotaTokens::recordDemand(Instant Now) {
  double Passed = std::max(0.0, toMillisF(Now - UsedAt) / 1000);
  Demand = Demand * std::exp(-Passed / DemandSeconds) + 1 / DemandSeconds;
  UsedAt = Now;
}

AdmissionDecision QuotaTokens::offer(TicketId Id, Instant Expires,
                                     Instant Now) {
  recordDemand(Now);
  if (Waiting.empty() && spend(Now))
    return AdmissionDecision::start();
  Instant Expected =
      EmptyUntil + Interval * static_cast<std::int64_t>(Waiting.size());
  if (Now < EmptyUntil && Expected >= Expires)
    return refusal(Now);
  Waiting.push_back({Id, Expires, Now});
  return AdmissionDecision::wait();
}

/// Each refused caller is given a time of its own, an interval after the one
/// before.
AdmissionDecision QuotaTokens::refusal(Instant Now) {
  NextReturn = std::max(NextReturn, std::max(Now, EmptyUntil)) + Interval;
  return AdmissionDecision::refuse(ResultCode::QuotaExceeded,
                                   clampRetryAfter(NextReturn - Now));
}

bool QuotaTokens::cancel(TicketId Id) {
  return std::erase_if(Waiting, [&](const Waiter &W) { return W.Id == Id; }) >
         0;
}

void QuotaTokens::putBack() {
  for (auto &[Who, L] : Lines)
    if (L.Spent > L.Reported) {
      --L.Spent;
      return;
    }
}

std::uint64_t QuotaTokens::target(Instant Now) const {
  if (Now - UsedAt > IdleTime)
    return 0;
  double Expected = Demand * toMillisF(AdvanceTime) / 1000;
  return 1 + static_cast<std::uint64_t>(std::min(Expected, MaxAdvance));
}

QuotaAsk QuotaTokens::ask(const DaemonId &Granter, const Tenant &Name,
                          QuotaNeed Need, Instant Now) {
  dropExpired(Now);
  auto [At, IsNew] = Lines.try_emplace(Granter);
  Line &L = At->second;
  if (IsNew)
    L.Granted = L.Spent = L.Returned = L.Reported = firstTotal(Now);
  std::uint64_t Target = target(Now);
  if ((Target == 0 || L.Prompt) && Waiting.empty()) {
    L.Returned += L.held();
    L.Spent = L.Granted;
  }
  L.Reported = L.Spent;
  L.AskedAt = Now;
  L.UnansweredSince = std::min(L.UnansweredSince, Now);
  QuotaAsk A;
  A.Name = Name;
  A.Spent = L.Spent;
  A.Returned = L.Returned;
  if (Need != QuotaNeed::None)
    A.Needed = static_cast<std::uint32_t>(Waiting.size());
  if (Need == QuotaNeed::Expected)
    A.Wanted = static_cast<std::uint32_t>(Target);
  return A;
}

void QuotaTokens::granted(const DaemonId &Granter, const QuotaGrant &G,
                          Instant SentAt, Instant Now) {
  auto At = Lines.find(Granter);
  if (At == Lines.end())
    return; // Answers an ask to another incarnation of the granter.
  Line &L = At->second;
  L.ConfirmedAt = std::max(L.ConfirmedAt, SentAt);
  L.UnansweredSince = Instant::max();
  bool FromOwner = G.Interval != Duration(0);
  // A lower total shows a granter that does not know of the tokens held.
  if (G.Granted > L.Granted || (FromOwner && G.Granted == L.Granted))
    L.RenewedAt = std::max(L.RenewedAt, SentAt);
  L.Granted = std::max(L.Granted, G.Granted);
  L.Prompt = G.Prompt;
  L.DeclinedAt = FromOwner ? Instant() : Now;
  if (!FromOwner)
    return;
  Interval = G.Interval;
  EmptyUntil = Now + G.Wait;
  if (G.Wait > Duration(0))
    DeniedAt = Now;
}

AdmissionEvents QuotaTokens::poll(Instant Now) {
  AdmissionEvents Out;
  while (!Waiting.empty() && spend(Now)) {
    Out.push_back({Waiting.front().Id, AdmissionDecision::start()});
    Waiting.pop_front();
  }
  std::int64_t Ahead = 0;
  std::erase_if(Waiting, [&](const Waiter &W) {
    bool Empty = Now < EmptyUntil;
    if (Empty && EmptyUntil + Interval * Ahead >= W.Expires) {
      Out.push_back({W.Id, refusal(Now)});
      return true;
    }
    ++Ahead;
    if (W.Expires > Now)
      return false;
    bool Denied = DeniedAt >= W.Since;
    Out.push_back(
        {W.Id, Denied ? refusal(Now)
                      : AdmissionDecision::refuse(ResultCode::QuotaUnknown,
                                                  MinRetryAfter)});
    return true;
  });
  return Out;
}

bool QuotaTokens::mustReport() const {
  return std::ranges::any_of(Lines, [&](const auto &Item) {
    const Line &L = Item.second;
    return L.Prompt && (L.Spent != L.Reported || isUnneeded(L));
  });
}

Duration QuotaTokens::silence(const DaemonId &Granter, Instant Now) const {
  auto At = Lines.find(Granter);
  return At == Lines.end() || At->second.UnansweredSince > Now
             ? Duration(0)
             : Now - At->second.UnansweredSince;
}

bool QuotaTokens::declined(const DaemonId &Granter, Instant Now) const {
  auto At = Lines.find(Granter);
  return At != Lines.end() && Now - At->second.DeclinedAt < 2 * AskAgain;
}

bool QuotaTokens::mustAsk(Instant Now) const {
  if (Waiting.empty() || Now < EmptyUntil)
    return false;
  return std::ranges::none_of(Lines, [&](const auto &Item) {
    const Line &L = Item.second;
    return L.ConfirmedAt < L.AskedAt && Now - L.AskedAt < AskAgain;
  });
}

/// Whether other daemons lack the tokens of \p L, which no request here needs.
bool QuotaTokens::isUnneeded(const Line &L) const {
  return L.Prompt && L.held() > 0 && Waiting.empty();
}

std::vector<DaemonId> QuotaTokens::outdated(Instant Now) const {
  std::vector<DaemonId> Found;
  for (const auto &[Who, L] : Lines) {
    bool Unreported = L.Spent != L.Reported;
    bool Ends = L.held() > 0 &&
                (Now - L.AskedAt >= RenewPeriod || Now - UsedAt > IdleTime);
    if (Unreported || Ends || isUnneeded(L))
      Found.push_back(Who);
  }
  return Found;
}

bool QuotaTokens::idle(Instant Now) const {
  return Waiting.empty() && held(Now) == 0 && Now - UsedAt > Policy.Lease;
}

std::uint64_t QuotaTokens::held(Instant Now) const {
  std::uint64_t Sum = 0;
  for (const auto &[Who, L] : Lines)
    if (L.RenewedAt + Policy.Lifetime > Now)
      Sum += L.held();
  return Sum;
}

} // namespace shallot
