//===- FleetFairnessModel.h - Fair shares over several daemons --*- C++ -*-===//
//
// Virtual time. Organisations send requests to a few daemons each, as callers'
// directories name few. All daemons send to the same slots, which have one
// queue, and each admits by itself. Daemons may exchange reports of use; a
// report arrives after its period and may be lost.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_PERFORMANCE_FLEETFAIRNESSMODEL_H
#define SHALLOTSHIFT_TESTS_PERFORMANCE_FLEETFAIRNESSMODEL_H

#include "shallotshift/limits.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <utility>

namespace shallot::bench {

enum class FleetPolicy : std::uint8_t {
  Local,     ///< Fair queues at each daemon, nothing exchanged.
  SharedUse, ///< Work that others served is charged here as well.
  FairRate,  ///< A fair rate of each organisation from all demand.
};

struct FleetOrganisation {
  double Demand = 0.1; ///< Of the room.
  std::vector<unsigned> Daemons;
};

struct FleetLoad {
  FleetPolicy Policy = FleetPolicy::Local;
  unsigned Daemons = 20;
  unsigned Slots = 400;
  unsigned Parts = 10;
  double WorkMs = 11;
  Duration ReportPeriod = Seconds(1);
  double LoseReports = 0; ///< Part of the reports that are lost.
  std::vector<FleetOrganisation> Callers;
  std::uint64_t Seed = 1;

  double room() const { return Slots * 1000 / WorkMs; } ///< Parts per second.
};

class FleetFairnessModel {
public:
  explicit FleetFairnessModel(FleetLoad L)
      : Load(std::move(L)), Rng(Load.Seed), Asked(Load.Callers.size()),
        InTime(Load.Callers.size()) {
    ClassPolicy P;
    P.QueueWait = Millis(30);
    ConcurrencyLimitOptions O;
    O.Decrease = 0.8;
    O.TargetOverloaded = 0.1;
    for (unsigned D = 0; D < Load.Daemons; ++D) {
      Hosts.push_back(std::make_unique<Host>(
          Admission({{CallerClass("all"), P}}, Millis(18), O)));
      Hosts.back()->Mine.resize(Load.Callers.size());
      Hosts.back()->Told.resize(Load.Daemons);
      Hosts.back()->Rate.assign(Load.Callers.size(), -1);
      Hosts.back()->Tokens.assign(Load.Callers.size(), 0);
      Hosts.back()->Elsewhere.assign(Load.Callers.size(), 0);
    }
    for (std::size_t I = 0; I < Load.Callers.size(); ++I)
      arrive(I);
    at(Now + Load.ReportPeriod, [this] { report(); });
  }

  void run(Duration D) {
    Instant End = Now + D;
    while (!Events.empty() && Events.top().At <= End) {
      Event E = Events.top();
      Events.pop();
      BusyMs += toMillisF(E.At - Now) * Working;
      Now = E.At;
      E.Fn();
    }
    BusyMs += toMillisF(End - Now) * Working;
    Now = End;
  }
  void reset() {
    std::ranges::fill(Asked, 0);
    std::ranges::fill(InTime, 0);
    BusyMs = 0;
  }
  const std::vector<double> &asked() const { return Asked; }   ///< Parts.
  const std::vector<double> &inTime() const { return InTime; } ///< Parts.
  double busy(Duration D) const { return BusyMs / (toMillisF(D) * Load.Slots); }
  std::size_t rowsTold() const { return RowsTold; }

private:
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Fn;
    bool operator<(const Event &O) const {
      return std::tie(O.At, O.Order) < std::tie(At, Order);
    }
  };
  struct Use {
    double Demanded = 0; ///< Parts since the last report.
    double Served = 0;
  };
  struct Host {
    explicit Host(Admission A) : Admit(std::move(A)) {}
    Admission Admit;
    Instant PollAt = Instant::max();
    std::vector<Use> Mine;
    std::vector<std::vector<Use>> Told; ///< The last report of each daemon.
    std::vector<double> Rate; ///< Parts per second; below 0: not limited.
    std::vector<double> Tokens;
    std::vector<double> Elsewhere; ///< Work of others, not yet charged here.
    Instant Refilled{Seconds(1000)};
  };
  struct Request {
    std::size_t Caller = 0;
    unsigned At = 0;
    Instant Arrived;
    Instant Started;
    unsigned Left = 0;
    Duration Queued{0};
  };
  struct Part {
    TicketId Of = 0;
    Instant Sent;
  };

  void at(Instant When, std::function<void()> Fn) {
    Events.push({When, Order++, std::move(Fn)});
  }
  double exponential() { return -std::log(std::max(1e-12, uniform01(Rng))); }
  static Tenant nameOf(std::size_t I) {
    return Tenant("org-" + std::to_string(I));
  }

  void arrive(std::size_t I) {
    double PerSecond = Load.Callers[I].Demand * Load.room() / Load.Parts;
    at(Now + fromMillisF(exponential() * 1000 / PerSecond), [this, I] {
      ask(I);
      arrive(I);
    });
  }

  /// Takes from the organisation's fair rate at this daemon, if it has one.
  bool takeTokens(Host &H, std::size_t I) {
    if (H.Rate[I] < 0)
      return true;
    constexpr double BurstSeconds = 0.2;
    double Past = toMillisF(Now - H.Refilled) / 1000;
    H.Refilled = Now;
    for (std::size_t J = 0; J < H.Rate.size(); ++J) {
      double Most = std::max<double>(Load.Parts, H.Rate[J] * BurstSeconds);
      H.Tokens[J] = std::min(Most, H.Tokens[J] + H.Rate[J] * Past);
    }
    if (H.Tokens[I] < Load.Parts)
      return false;
    H.Tokens[I] -= Load.Parts;
    return true;
  }

  void ask(std::size_t I) {
    const auto &Choice = Load.Callers[I].Daemons;
    auto D = Choice[below(Rng, Choice.size())];
    Host &H = *Hosts[D];
    Asked[I] += Load.Parts;
    H.Mine[I].Demanded += Load.Parts;
    if (!takeTokens(H, I))
      return;
    TicketId Id = ++Last;
    Requests[Id] = {I, D, Now, {}, Load.Parts, {}};
    AdmissionDecision V = H.Admit.offer({Id,
                                         CallerClass("all"),
                                         Now + Millis(800),
                                         {nameOf(I), 1, double(Load.Parts)}},
                                        Now);
    if (V.What == AdmissionAction::Refuse)
      Requests.erase(Id);
    else if (V.What == AdmissionAction::Start)
      start(Id);
    poll(D);
  }

  void poll(unsigned D) {
    Host &H = *Hosts[D];
    for (const AdmissionEvent &E : H.Admit.poll(Now))
      if (E.Final.What == AdmissionAction::Start)
        start(E.Id);
      else
        Requests.erase(E.Id);
    if (auto Next = H.Admit.nextExpiry(); Next && *Next < H.PollAt) {
      H.PollAt = std::max(*Next, Now + Micros(1));
      at(H.PollAt, [this, D] {
        Hosts[D]->PollAt = Instant::max();
        poll(D);
      });
    }
  }

  void start(TicketId Id) {
    Request &R = Requests[Id];
    R.Started = Now;
    Hosts[R.At]->Mine[R.Caller].Served += Load.Parts;
    for (unsigned P = 0; P < Load.Parts; ++P)
      Queue.push_back({Id, Now});
    work();
  }

  void work() {
    while (Working < Load.Slots && !Queue.empty()) {
      Part P = Queue.front();
      Queue.pop_front();
      ++Working;
      Requests[P.Of].Queued += Now - P.Sent;
      // Half of the work is fixed, half exponential.
      double Ms = Load.WorkMs * (0.5 + 0.5 * exponential());
      at(Now + fromMillisF(Ms), [this, P] {
        --Working;
        partDone(P.Of);
        work();
      });
    }
  }

  void partDone(TicketId Id) {
    Request &R = Requests[Id];
    if (--R.Left > 0)
      return;
    if (Now - R.Arrived <= Millis(150))
      InTime[R.Caller] += Load.Parts;
    LoadSample S;
    S.Latency = Now - R.Started;
    S.Queued = R.Queued / static_cast<std::int64_t>(Load.Parts);
    unsigned D = R.At;
    S.ExtraSends = std::exchange(Hosts[D]->Elsewhere[R.Caller], 0) / Load.Parts;
    Hosts[D]->Admit.done(Id, S, Now);
    Requests.erase(Id);
    poll(D);
  }

  /// Each daemon tells the others what it saw; rows of organisations that it
  /// did not see are left out.
  void report() {
    at(Now + Load.ReportPeriod, [this] { report(); });
    if (Load.Policy == FleetPolicy::Local)
      return;
    for (unsigned From = 0; From < Load.Daemons; ++From) {
      std::vector<Use> Mine = std::exchange(
          Hosts[From]->Mine, std::vector<Use>(Load.Callers.size()));
      RowsTold += static_cast<std::size_t>(std::ranges::count_if(
          Mine, [](const Use &U) { return U.Demanded > 0; }));
      for (unsigned To = 0; To < Load.Daemons; ++To)
        if (To == From || uniform01(Rng) >= Load.LoseReports)
          Hosts[To]->Told[From] = Mine;
    }
    for (unsigned D = 0; D < Load.Daemons; ++D)
      if (Load.Policy == FleetPolicy::SharedUse)
        chargeOthers(D);
      else
        fillRates(D);
  }

  void chargeOthers(unsigned D) {
    Host &H = *Hosts[D];
    for (unsigned From = 0; From < Load.Daemons; ++From)
      for (std::size_t I = 0; From != D && I < H.Told[From].size(); ++I)
        H.Elsewhere[I] += H.Told[From][I].Served;
  }

  /// Water-filling: the level up to which all demand is served from the room,
  /// taken as what the fleet served last, and a little more.
  void fillRates(unsigned D) {
    constexpr double Headroom = 1.05;
    Host &H = *Hosts[D];
    std::vector<double> Demand(Load.Callers.size(), 0);
    double Room = 0;
    for (const auto &Report : H.Told)
      for (std::size_t I = 0; I < Report.size(); ++I) {
        Demand[I] += Report[I].Demanded;
        Room += Headroom * Report[I].Served;
      }
    std::vector<double> Sorted = Demand;
    std::ranges::sort(Sorted);
    double Level = 0;
    double Left = Room;
    for (std::size_t I = 0; I < Sorted.size(); ++I) {
      Level = Left / double(Sorted.size() - I);
      if (Sorted[I] > Level)
        break;
      Left -= Sorted[I];
    }
    double Seconds = toMillisF(Load.ReportPeriod) / 1000;
    for (std::size_t I = 0; I < Demand.size(); ++I) {
      double Here = I < H.Told[D].size() ? H.Told[D][I].Demanded : 0;
      bool Above = Demand[I] > Level;
      H.Rate[I] = Above ? Level * Here / Demand[I] / Seconds : -1;
    }
  }

  FleetLoad Load;
  Random Rng;
  Instant Now{Seconds(1000)};
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  TicketId Last = 0;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::unordered_map<TicketId, Request> Requests;
  std::deque<Part> Queue;
  unsigned Working = 0;
  double BusyMs = 0;
  std::size_t RowsTold = 0;
  std::vector<double> Asked;
  std::vector<double> InTime;
};

} // namespace shallot::bench

#endif // SHALLOTSHIFT_TESTS_PERFORMANCE_FLEETFAIRNESSMODEL_H
