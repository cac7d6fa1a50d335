// Organisations compete for a room that is too small, in virtual time: shares
// of the room with one queue for all (before) and with a queue for each
// organisation (after). Prints the figures of both and checks the latter.
#include "SingleQueueAdmission.h"
#include "performance/FairnessModel.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <doctest/doctest.h>
#include <numeric>

using namespace shallot;
using namespace shallot::bench;

namespace {

constexpr std::uint64_t Seeds = 3;
constexpr Duration WarmUp = Seconds(4);
constexpr Duration Length = Seconds(12);

/// An organisation that asks for less than this part of the room is not judged.
constexpr double SilentDemand = 0.002;

/// Weighted max-min shares of \p Room for \p Demands (water-filling).
std::vector<double> maxMin(const std::vector<ModelOrganisation> &Callers,
                           const std::vector<double> &Demands, double Room) {
  std::vector<double> Shares(Callers.size(), 0);
  std::vector<bool> Full(Callers.size(), false);
  for (bool Changed = true; Changed;) {
    Changed = false;
    double Left = Room;
    double Weights = 0;
    for (std::size_t I = 0; I < Callers.size(); ++I)
      (Full[I] ? Left : Weights) += Full[I] ? -Demands[I] : Callers[I].Weight;
    for (std::size_t I = 0; I < Callers.size(); ++I) {
      if (Full[I])
        continue;
      Shares[I] = Left * Callers[I].Weight / Weights;
      if (Demands[I] > Shares[I])
        continue;
      Shares[I] = Demands[I];
      Full[I] = Changed = true;
    }
  }
  return Shares;
}

struct Fairness {
  double Jain = 0; ///< Of what each got, divided by its max-min share.
  double Least =
      0;           ///< Least-served of those within their share, of their mean.
  double Busy = 0; ///< Part of the slot time in use.
  double LeastAll = 0;     ///< The least-served of all, of its max-min share.
  double LateRefusals = 0; ///< Of all refusals.
  double RefusedAgain = 0; ///< Of the tries at the time that callers were told.
  double Told = 0;         ///< Tries at that time, of all after the first.
  double AnyAgain = 0;     ///< Refused, of all tries after the first.
  double Good = 0;         ///< Answered in time, of the room.
};

Fairness judge(const FairnessLoad &L, const FairnessFigures &F, double Lasted) {
  std::vector<double> Demands;
  double Got = 0;
  for (const OrganisationFigures &O : F.ByCaller) {
    Demands.push_back(O.Asked);
    Got += O.InTime;
  }
  std::vector<double> Shares = maxMin(L.Callers, Demands, Got);
  Fairness R;
  double Sum = 0;
  double Squares = 0;
  std::vector<double> Within;
  double Refused = 0;
  double Late = 0;
  double Told = 0;
  double Again = 0;
  double Any = 0;
  double AnyAgain = 0;
  R.LeastAll = 1e9;
  unsigned Active = 0;
  for (std::size_t I = 0; I < Shares.size(); ++I) {
    const OrganisationFigures &O = F.ByCaller[I];
    Refused += O.Refused;
    Late += O.RefusedLate;
    Told += O.Returned;
    Again += O.RefusedAgain;
    Any += O.AnyReturned;
    AnyAgain += O.AnyRefusedAgain;
    // It fell silent; what it got was asked for before.
    if (O.Asked < SilentDemand * L.room() * Lasted)
      continue;
    ++Active;
    double X = O.InTime / Shares[I];
    Sum += X;
    Squares += X * X;
    R.LeastAll = std::min(R.LeastAll, X);
    if (Demands[I] <= Shares[I] * 1.0001)
      Within.push_back(O.InTime / O.Asked);
  }
  R.Jain = Sum * Sum / (Active * Squares);
  if (!Within.empty())
    R.Least = *std::ranges::min_element(Within) * double(Within.size()) /
              std::accumulate(Within.begin(), Within.end(), 0.0);
  else
    R.Least = 1;
  R.Busy = F.Busy;
  R.LateRefusals = Refused > 0 ? Late / Refused : 0;
  R.Told = Any > 0 ? Told / Any : 0;
  R.AnyAgain = Any > 0 ? AnyAgain / Any : 0;
  R.RefusedAgain = Told > 0 ? Again / Told : 0;
  R.Good = Got / (L.room() * Lasted);
  return R;
}

/// The means over the seeds, but the worst of Least, Jain and Busy.
template <typename Gate, typename Prepare>
Fairness replay(const char *Name, const char *Which, FairnessLoad L,
                Prepare Then) {
  Fairness Mean;
  Mean.Jain = Mean.Least = Mean.Busy = Mean.LeastAll = 1;
  std::vector<double> Got(L.Callers.size(), 0);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    L.Seed = Seed;
    FairnessModel<Gate> M(L);
    M.run(WarmUp);
    Then(M);
    M.take(WarmUp);
    M.run(Length);
    FairnessFigures F = M.take(Length);
    Fairness One = judge(L, F, toMillisF(Length) / 1000);
    Mean.Jain = std::min(Mean.Jain, One.Jain);
    Mean.Least = std::min(Mean.Least, One.Least);
    Mean.Busy = std::min(Mean.Busy, One.Busy);
    Mean.LeastAll = std::min(Mean.LeastAll, One.LeastAll);
    Mean.LateRefusals += One.LateRefusals / Seeds;
    Mean.RefusedAgain += One.RefusedAgain / Seeds;
    Mean.Told += One.Told / Seeds;
    Mean.AnyAgain += One.AnyAgain / Seeds;
    Mean.Good += One.Good / Seeds;
    for (std::size_t I = 0; I < Got.size(); ++I)
      Got[I] += F.ByCaller[I].InTime / F.ByCaller[I].Asked / Seeds;
  }
  std::printf("%-26s %-6s jain %.3f least %.3f least-of-all %.3f busy %.3f "
              "good %.3f late-refusals %.3f told %.3f refused-again %.3f "
              "any-again %.3f first %.3f second %.3f\n",
              Name, Which, Mean.Jain, Mean.Least, Mean.LeastAll, Mean.Busy,
              Mean.Good, Mean.LateRefusals, Mean.Told, Mean.RefusedAgain,
              Mean.AnyAgain, Got[0], Got[1]);
  return Mean;
}

template <typename Prepare>
Fairness compare(const char *Name, const FairnessLoad &L, Prepare Then) {
  Fairness Before =
      replay<fixture::SingleQueueAdmission>(Name, "before", L, Then);
  Fairness After = replay<Admission>(Name, "after", L, Then);
  CHECK(After.Jain >= 0.95);
  CHECK(After.Least >= 0.8);
  CHECK(After.Busy >= 0.95);
  CHECK(After.Good >= 0.98 * Before.Good);
  return After;
}

std::vector<ModelOrganisation> organisations(unsigned Count, double Each) {
  std::vector<ModelOrganisation> All;
  for (unsigned I = 0; I < Count; ++I)
    All.push_back({.Name = "org-" + std::to_string(I), .Demand = Each});
  return All;
}

constexpr auto Nothing = [](auto &) {};

/// The time of an offer at a load of twice the capacity, with all that follows
/// from it. Without organisations if there are 0.
template <typename Gate> double nanosPerOffer(unsigned Organisations) {
  ClassPolicy P;
  P.QueueWait = Millis(30);
  Gate A({{CallerClass("all"), P}}, Millis(18),
         {.Initial = 20, .Min = 20, .Max = 20});
  std::vector<Tenant> Names(1);
  if (Organisations > 0)
    Names.clear();
  for (unsigned I = 0; I < Organisations; ++I)
    Names.emplace_back("org-" + std::to_string(I));
  Random Rng(1);
  Instant Now{Seconds(1)};
  std::deque<std::pair<Instant, TicketId>> Running;
  constexpr unsigned Offers = 200'000;
  auto Began = std::chrono::steady_clock::now();
  for (TicketId Id = 1; Id <= Offers; ++Id) {
    Now += Micros(500);
    while (!Running.empty() && Running.front().first <= Now) {
      A.done(Running.front().second, {.Latency = Millis(20)}, Now);
      Running.pop_front();
    }
    FairClaim C{Names[below(Rng, Names.size())], 1, 1, Id};
    AdmissionDecision D =
        A.offer({Id, CallerClass("all"), Now + Millis(800), C}, Now);
    if (D.What == AdmissionAction::Start)
      Running.push_back({Now + Millis(20), Id});
    for (const AdmissionEvent &E : A.poll(Now))
      if (E.Final.What == AdmissionAction::Start)
        Running.push_back({Now + Millis(20), E.Id});
  }
  auto Took = std::chrono::steady_clock::now() - Began;
  return double(std::chrono::nanoseconds(Took).count()) / Offers;
}

} // namespace

// Load: one of ten organisations sends ten times its usual.
TEST_CASE("a hot organisation pays for itself") {
  FairnessLoad L;
  L.Callers = organisations(10, 0.08);
  L.Callers[0].Demand = 0.8;
  compare("hot organisation x10", L, Nothing);
}

// Load: twenty equal organisations send 1.5 times what can be served.
TEST_CASE("equal organisations get equal shares") {
  FairnessLoad L;
  L.Callers = organisations(20, 0.075);
  compare("twenty at 1.5 of the room", L, Nothing);
}

// Load: twenty organisations send 1.5 times what can be served, a third of
// them few large requests, and one has four times the weight.
TEST_CASE("shares are by weight and by work") {
  FairnessLoad L;
  L.Callers = organisations(20, 0.06);
  L.Callers[0].Weight = 4;
  L.Callers[0].Demand = 0.36;
  for (unsigned I = 0; I < 20; I += 3)
    L.Callers[I].Parts = 25;
  compare("weights and costs", L, Nothing);
}

// Load: one organisation's callers repeat each refused request at once.
TEST_CASE("repeats at once gain nothing") {
  FairnessLoad L;
  L.Callers = organisations(10, 0.13);
  L.Callers[0].Demand = 0.3;
  L.Callers[0].Then = AfterRefusal::RepeatNow;
  for (unsigned I = 1; I < 10; ++I)
    L.Callers[I].Then = AfterRefusal::KeepTime;
  compare("one repeats at once", L, Nothing);
}

// Load: the largest organisation falls silent, and its room is free at once.
TEST_CASE("a share that frees up goes to the others") {
  FairnessLoad L;
  L.Callers = organisations(10, 0.13);
  L.Callers[0].Demand = 0.8;
  compare("a share frees up", L, [](auto &M) { M.setDemand(0, 0); });
}

// Load: a fifth of one organisation's callers leave before their answer.
TEST_CASE("callers that leave pay for what they wasted") {
  FairnessLoad L;
  L.Callers = organisations(10, 0.14);
  L.Callers[0].LeaveEarly = 0.2;
  L.Callers[0].Demand = 0.4;
  compare("callers leave early", L, Nothing);
}

// Load: all callers of twenty organisations come back when they are told, at
// 1.5 times what can be served.
TEST_CASE("a caller that comes back when it was told is served") {
  FairnessLoad L;
  L.Callers = organisations(20, 0.075);
  for (ModelOrganisation &O : L.Callers)
    O.Then = AfterRefusal::KeepTime;
  Fairness F = compare("all keep their time", L, Nothing);
  CHECK(F.RefusedAgain < 0.05);
}

// Load: the demand grows from 1.2 to 3 times what can be served, and all
// callers come back when they are told.
TEST_CASE("promises hold while the overload grows") {
  FairnessLoad L;
  L.Callers = organisations(20, 0.06);
  for (ModelOrganisation &O : L.Callers)
    O.Then = AfterRefusal::KeepTime;
  Fairness F = compare("overload grows to 3x", L, [](auto &M) {
    for (std::size_t I = 0; I < 20; ++I)
      M.setDemand(I, 0.15);
  });
  CHECK(F.RefusedAgain < 0.05);
}

// Load: a daemon with few slots, where queues hold one or two requests.
TEST_CASE("a small daemon is fair as well") {
  FairnessLoad L;
  L.Slots = 16;
  L.Callers = organisations(10, 0.08);
  L.Callers[0].Demand = 0.8;
  compare("small daemon, hot x10", L, Nothing);
}

// Load: 10,000 organisations send twice what can be served; the cost of a
// decision must not grow with their number.
TEST_CASE("a decision costs the same for 10,000 organisations") {
  double Before = nanosPerOffer<fixture::SingleQueueAdmission>(0);
  double None = nanosPerOffer<Admission>(0);
  double Few = nanosPerOffer<Admission>(20);
  double Many = nanosPerOffer<Admission>(10'000);
  std::printf("%-26s ns an offer: one queue %.0f, no organisations %.0f, "
              "20 %.0f, 10000 %.0f\n",
              "cost", Before, None, Few, Many);
  CHECK(Many < 20'000);
}
