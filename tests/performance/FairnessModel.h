//===- FairnessModel.h - Organisations that compete, in a model -*- C++ -*-===//
//
// Virtual time. Organisations send requests of several parts to one daemon,
// which starts them by an admission class and sends the parts to a pool of
// slots with a common queue. Parts take a log-normal time. The admission class
// is a parameter, so that the same load can be run through others.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_PERFORMANCE_FAIRNESSMODEL_H
#define SHALLOTSHIFT_TESTS_PERFORMANCE_FAIRNESSMODEL_H

#include "shallotshift/limits.h"

#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <string>

namespace shallot::bench {

/// What callers do when they are refused.
enum class AfterRefusal : std::uint8_t {
  GiveUp,
  KeepTime,  ///< Come back after RetryAfter, once.
  RepeatNow, ///< Come back after 5 ms, up to ten times.
};

struct ModelOrganisation {
  std::string Name;
  double Demand = 0.1; ///< Of the room.
  double Weight = 1;
  unsigned Parts = 10;
  AfterRefusal Then = AfterRefusal::GiveUp;
  /// Part of the callers that leave 40 ms after they came, if not answered.
  double LeaveEarly = 0;
};

struct FairnessLoad {
  unsigned Slots = 40;
  double WorkMs = 11;
  double WorkSpread = 0.35; ///< Of the log-normal.
  Duration Objective = Millis(150);
  Duration Deadline = Millis(800);
  std::vector<ModelOrganisation> Callers;
  std::uint64_t Seed = 1;

  /// Parts per second.
  double room() const { return Slots * 1000 / WorkMs; }
};

/// What one organisation got. A request counts by its parts.
struct OrganisationFigures {
  double Asked = 0;  ///< Each request once, however often it came back.
  double InTime = 0; ///< Answered within the objective of the last try.
  double Served = 0; ///< Work done, in parts, in time or not.
  unsigned Requests = 0;
  unsigned Refused = 0;     ///< Tries.
  unsigned RefusedLate = 0; ///< Tries that waited before.
  unsigned Returned = 0;    ///< Tries at the time that the caller was told.
  unsigned RefusedAgain = 0;
  unsigned AnyReturned = 0; ///< Tries after the first.
  unsigned AnyRefusedAgain = 0;
};

struct FairnessFigures {
  std::vector<OrganisationFigures> ByCaller;
  double Busy = 0; ///< Part of the slot time in use.
};

template <typename Gate> class FairnessModel {
public:
  explicit FairnessModel(const FairnessLoad &L)
      : Load(L), Rng(L.Seed),
        Admit(policies(L), scaled(L.Objective, 0.12), options()) {
    Out.ByCaller.resize(L.Callers.size());
    for (std::size_t I = 0; I < L.Callers.size(); ++I)
      arrive(I);
  }

  /// Runs the clock on by \p D.
  void run(Duration D) {
    Instant End = Now + D;
    while (!Events.empty() && Events.top().At <= End) {
      Event E = Events.top();
      Events.pop();
      advance(E.At);
      E.Fn();
    }
    advance(End);
  }
  /// Changes the demand of a caller from now on.
  void setDemand(std::size_t Caller, double Demand) {
    Load.Callers[Caller].Demand = Demand;
  }
  /// The figures since the last call, for \p D.
  FairnessFigures take(Duration D) {
    FairnessFigures F = std::exchange(Out, {});
    Out.ByCaller.resize(Load.Callers.size());
    F.Busy = std::exchange(BusyMs, 0) / (toMillisF(D) * Load.Slots);
    return F;
  }

private:
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Fn;
    bool operator<(const Event &O) const {
      return std::tie(O.At, O.Order) < std::tie(At, Order);
    }
  };
  struct Request {
    std::size_t Caller = 0;
    Instant Arrived; ///< This try.
    Instant Started;
    Instant FirstTry;
    unsigned Try = 1;
    bool Told = false; ///< Came back at the time that it was told.
    std::uint64_t Key = 0;
    unsigned Left = 0; ///< Parts without an answer.
    Duration Queued{0};
    bool Gone = false;
  };
  struct Part {
    TicketId Of = 0;
    Instant Sent;
  };

  static ClassPolicies policies(const FairnessLoad &L) {
    ClassPolicy P;
    P.Priority = 0;
    P.QueueWait = scaled(L.Objective, 0.2);
    P.QueueLimit = 64;
    return {{CallerClass("all"), P}};
  }
  static ConcurrencyLimitOptions options() {
    ConcurrencyLimitOptions O;
    O.Decrease = 0.8;
    O.TargetOverloaded = 0.1;
    return O;
  }
  static Duration scaled(Duration D, double By) {
    return fromMillisF(toMillisF(D) * By);
  }
  void at(Instant When, std::function<void()> Fn) {
    Events.push({When, Order++, std::move(Fn)});
  }
  void advance(Instant To) {
    BusyMs += toMillisF(To - Now) * Working;
    Now = To;
  }
  double exponential() { return -std::log(std::max(1e-12, uniform01(Rng))); }

  void arrive(std::size_t I) {
    const ModelOrganisation &C = Load.Callers[I];
    // An idle caller is looked at again soon, as its demand may change.
    double PerSecond = C.Demand * Load.room() / C.Parts;
    bool Idle = PerSecond <= 0;
    Duration Gap =
        Idle ? Millis(10) : fromMillisF(exponential() * 1000 / PerSecond);
    at(Now + Gap, [this, I, Idle] {
      if (!Idle)
        ask(I, Now, 1, false, ++LastKey);
      arrive(I);
    });
  }

  void ask(std::size_t I, Instant FirstTry, unsigned Try, bool Told,
           std::uint64_t Key) {
    const ModelOrganisation &C = Load.Callers[I];
    OrganisationFigures &F = Out.ByCaller[I];
    if (Try == 1) {
      F.Asked += C.Parts;
      ++F.Requests;
    }
    F.Returned += Told;
    F.AnyReturned += Try > 1;
    TicketId Id = Last++;
    Request &R = Requests[Id];
    R = {I, Now, {}, FirstTry, Try, Told, Key, C.Parts, {}, false};
    FairClaim Claim{Tenant(C.Name), C.Weight, double(C.Parts), Key};
    AdmissionDecision D = Admit.offer(
        {Id, CallerClass("all"), FirstTry + Load.Deadline, Claim}, Now);
    if (D.What == AdmissionAction::Refuse)
      return refused(Id, D);
    if (D.What == AdmissionAction::Start)
      start(Id);
    if (uniform01(Rng) < C.LeaveEarly)
      at(Now + Millis(40), [this, Id] { leave(Id); });
    poll();
  }

  void leave(TicketId Id) {
    auto It = Requests.find(Id);
    if (It == Requests.end())
      return;
    It->second.Gone = true; // Parts that were sent are still worked on.
    if (It->second.Started != Instant{})
      return;
    Admit.cancel(Id);
    Requests.erase(It);
    poll();
  }

  void refused(TicketId Id, const AdmissionDecision &D) {
    Request R = Requests[Id];
    Requests.erase(Id);
    OrganisationFigures &F = Out.ByCaller[R.Caller];
    ++F.Refused;
    F.RefusedLate += Now > R.Arrived;
    F.RefusedAgain += R.Told;
    F.AnyRefusedAgain += R.Try > 1;
    AfterRefusal Then = Load.Callers[R.Caller].Then;
    Duration Wait = Then == AfterRefusal::RepeatNow ? Millis(5) : D.RetryAfter;
    unsigned MaxTries = Then == AfterRefusal::GiveUp     ? 1
                        : Then == AfterRefusal::KeepTime ? 2
                                                         : 10;
    if (R.Try >= MaxTries)
      return;
    // A caller with a deadline comes back sooner than it was told, if it must.
    Duration LeftTime = R.FirstTry + Load.Deadline - Now;
    bool Told = Then == AfterRefusal::KeepTime && Wait <= LeftTime / 3;
    at(Now + std::min(Wait, LeftTime / 3),
       [this, R, Told] { ask(R.Caller, R.FirstTry, R.Try + 1, Told, R.Key); });
  }

  void poll() {
    for (const AdmissionEvent &E : Admit.poll(Now))
      if (E.Final.What == AdmissionAction::Start)
        start(E.Id);
      else
        refused(E.Id, E.Final);
    if (auto Next = Admit.nextExpiry(); Next && *Next < PollAt) {
      PollAt = std::max(*Next, Now + Micros(1));
      at(PollAt, [this] {
        PollAt = Instant::max();
        poll();
      });
    }
  }

  void start(TicketId Id) {
    Request &R = Requests[Id];
    R.Started = Now;
    for (unsigned P = 0; P < R.Left; ++P)
      Queue.push_back({Id, Now});
    work();
  }

  void work() {
    while (Working < Load.Slots && !Queue.empty()) {
      Part P = Queue.front();
      Queue.pop_front();
      ++Working;
      Requests[P.Of].Queued += Now - P.Sent;
      double Z =
          std::sqrt(2 * exponential()) * std::cos(6.283185307 * uniform01(Rng));
      double S = Load.WorkSpread;
      at(Now + fromMillisF(Load.WorkMs * std::exp(S * Z - S * S / 2)),
         [this, P] {
           --Working;
           partDone(P.Of);
           work();
         });
    }
  }

  void partDone(TicketId Id) {
    Request &R = Requests[Id];
    OrganisationFigures &F = Out.ByCaller[R.Caller];
    F.Served += 1;
    if (--R.Left > 0)
      return;
    unsigned Parts = Load.Callers[R.Caller].Parts;
    if (!R.Gone && Now - R.Arrived <= Load.Objective)
      F.InTime += Parts;
    LoadSample S;
    S.Latency = Now - R.Started;
    S.Queued = R.Queued / static_cast<std::int64_t>(Parts);
    Admit.done(Id, S, Now);
    Requests.erase(Id);
    poll();
  }

  FairnessLoad Load;
  Random Rng;
  Gate Admit;
  Instant Now{Seconds(1000)};
  Instant PollAt = Instant::max();
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  TicketId Last = 1;
  std::uint64_t LastKey = 0;
  std::unordered_map<TicketId, Request> Requests;
  std::deque<Part> Queue;
  unsigned Working = 0;
  double BusyMs = 0;
  FairnessFigures Out;
};

} // namespace shallot::bench

#endif // SHALLOTSHIFT_TESTS_PERFORMANCE_FAIRNESSMODEL_H
