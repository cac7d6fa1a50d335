//===- FairQueue.cpp ------------------------------------------------------===//
#include "limits/FairQueue.h"

#include <algorithm>
#include <tuple>

namespace shallot::internal {

namespace {

/// An organisation that started while nobody waited is at most this many
/// requests above the level. More would make it pay long for room that was
/// idle.
constexpr double MaxDebtRequests = 8;

/// Accounts are looked through for settled ones from this number on.
constexpr std::size_t MinSweepSize = 64;

} // namespace

/// The newest request that was not promised a place, or the newest of all.
std::uint64_t FairQueue::newest(const Account &A) {
  for (auto It = A.Waiting.rbegin(); It != A.Waiting.rend(); ++It)
    if (!It->second.Promised)
      return It->first;
  return A.Waiting.rbegin()->first;
}

double FairQueue::tagOfNewest(const Account &A) {
  double Newest = A.Waiting.at(newest(A)).Cost;
  return A.Served + (A.WaitingCost - Newest) / A.Weight;
}

double FairQueue::startTag(const Account *A) const {
  if (!A)
    return Level;
  if (A->Waiting.empty())
    return std::max(Level, A->Served);
  return A->Served + A->WaitingCost / A->Weight;
}

bool FairQueue::contended(Instant Now) const {
  return Waiting > 0 || (EverWaited && Now - LastWaiting <= ContentionMemory);
}

const FairQueue::Account *FairQueue::find(const Tenant &Organisation) const {
  auto It = Accounts.find(Organisation);
  return It == Accounts.end() ? nullptr : &It->second;
}

FairQueue::Account &FairQueue::account(const FairClaim &C) {
  if (Accounts.size() >= std::max(SweepAt, MinSweepSize))
    sweep();
  Account &A = Accounts[C.Organisation];
  if (A.Organisation != C.Organisation)
    A.Organisation = C.Organisation;
  A.Weight = C.Weight;
  return A;
}

/// Drops accounts that say nothing: nobody waits, and the level has passed
/// them.
void FairQueue::sweep() {
  std::erase_if(Accounts, [&](const auto &Row) {
    return Row.second.Waiting.empty() && Row.second.Served <= Level;
  });
  SweepAt = 2 * Accounts.size();
}

/// The usual case: nobody else waits.
bool FairQueue::onlyOwnWaits(const Account *Own) const {
  return Backlogged.empty() ||
         (Backlogged.size() == 1 && Backlogged.front() == Own);
}

Duration FairQueue::ownWait(const FairClaim &C, Instant Now) const {
  const Account *Own = find(C.Organisation);
  // Without a waiting request the rate would not be measured any more.
  if (!Own || Own->Waiting.empty() || Accounts.size() == 1)
    return Duration{0};
  double Rate = Own->Rate.perSecond(Now);
  return Rate > 0 ? fromMillisF(double(Own->Waiting.size() + 1) * 1000 / Rate)
                  : Duration{0};
}

std::size_t FairQueue::ahead(const FairClaim &C) const {
  const Account *Own = find(C.Organisation);
  if (onlyOwnWaits(Own))
    return Waiting;
  double Tag = startTag(Own);
  std::size_t Count = PromisedOrder.size();
  if (Own)
    for (const auto &[Arrival, W] : Own->Waiting)
      Count += W.Promised ? 0 : 1;
  for (const Account *A : Backlogged) {
    if (A == Own)
      continue;
    double Other = A->Served;
    for (const auto &[Arrival, W] : A->Waiting) {
      if (W.Promised)
        continue;
      if (Other > Tag)
        break;
      ++Count;
      Other += W.Cost / A->Weight;
    }
  }
  return Count;
}

FairQueue::Place FairQueue::push(const FairClaim &C, std::uint64_t Arrival,
                                 const Waiter &W, Instant Now) {
  if (!contended(Now)) {
    // Use from before this overload is forgotten.
    Accounts.clear();
    Level = 0;
  }
  Account &A = account(C);
  if (A.Waiting.empty()) {
    A.Served = std::max(A.Served, Level);
    Backlogged.push_back(&A);
    A.Rate.setWaiting(true, Now);
  }
  A.Waiting[Arrival] = W;
  A.WaitingCost += W.Cost;
  if (W.Promised)
    PromisedOrder[Arrival] = &A;
  ++Waiting;
  EverWaited = true;
  LastWaiting = Now;
  return {&A, Arrival};
}

FairQueue::Waiter FairQueue::remove(Place At, Instant Now) {
  Account &A = *At.In;
  auto It = A.Waiting.find(At.Arrival);
  Waiter W = It->second;
  A.Waiting.erase(It);
  if (W.Promised)
    PromisedOrder.erase(At.Arrival);
  A.WaitingCost = A.Waiting.empty() ? 0 : A.WaitingCost - W.Cost;
  if (A.Waiting.empty()) {
    std::erase(Backlogged, &A);
    A.Rate.setWaiting(false, Now);
  }
  --Waiting;
  LastWaiting = std::max(LastWaiting, Now);
  return W;
}

FairQueue::Waiter FairQueue::startNext(Instant Now) {
  Place At = next();
  Account &A = *At.In;
  if (!At.waiter().Promised)
    Level = std::max(Level, A.Served);
  A.Rate.started();
  A.Rate.update(Now);
  Waiter W = remove(At, Now);
  A.Served += W.Cost / A.Weight;
  return W;
}

void FairQueue::startedAtOnce(const FairClaim &C, Instant Now) {
  if (!contended(Now))
    return;
  charge(C, 1, Now);
  double Debt = MaxDebtRequests * C.Cost / C.Weight;
  Level = std::max(Level, account(C).Served - Debt);
}

void FairQueue::charge(const FairClaim &C, double Times, Instant Now) {
  if (!contended(Now))
    return;
  Account &A = account(C);
  A.Served = std::max(A.Served, Level) + Times * C.Cost / C.Weight;
}

FairQueue::Place FairQueue::next() const {
  if (!PromisedOrder.empty())
    return {PromisedOrder.begin()->second, PromisedOrder.begin()->first};
  Account *Best = nullptr;
  for (Account *A : Backlogged)
    if (!Best || A->Served < Best->Served ||
        (A->Served == Best->Served &&
         A->Waiting.begin()->first < Best->Waiting.begin()->first))
      Best = A;
  return {Best, Best->Waiting.begin()->first};
}

FairQueue::Place FairQueue::last() const {
  Account *Worst = nullptr;
  auto Order = [](const Account &A) {
    std::uint64_t Arrival = newest(A);
    // Those with a promise are the last to be refused.
    return std::tuple(!A.Waiting.at(Arrival).Promised, tagOfNewest(A), Arrival);
  };
  for (Account *A : Backlogged)
    if (!Worst || Order(*A) > Order(*Worst))
      Worst = A;
  return {Worst, newest(*Worst)};
}

double FairQueue::shareOf(const FairClaim &C, double PerSecond,
                          Instant Now) const {
  const Account *Own = find(C.Organisation);
  double Weights = C.Weight;
  for (const Account *A : Backlogged)
    if (A != Own)
      Weights += A->Weight;
  double Share = PerSecond * C.Weight / Weights;
  double Measured = Own ? Own->Rate.perSecond(Now) : 0;
  return Measured > 0 ? std::min(Share, Measured) : Share;
}

} // namespace shallot::internal
