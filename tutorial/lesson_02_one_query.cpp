// Lesson 2: one query, driven by hand.
//
// QueryRun decides everything about one search and does nothing: it has no
// socket and no clock. We tell it what happened and what time it is; it answers
// with commands. Here we play the network ourselves, with three services, one
// of which is slow.
#include "Lesson.h"

#include "shallotshift/query.h"

#include <map>

using namespace shallot;
using namespace shallot::tutorial;

namespace {

const Tenant Firm("khan-uul");
const CallerClass Clerk("tender-clerk");
const PresetName Day("ordinary-day");

// Time is whatever we say.
Instant at(double Ms) { return Instant() + Seconds(1000) + fromMillisF(Ms); }

Upstream upstream(const std::string &Name, const std::string &Zone) {
  UpstreamFields F;
  F.Id = UpstreamId(Name);
  F.Address = {"127.0.0.1", 8001};
  F.Zone = AvailabilityZone(Zone);
  F.Slots = 2;
  F.Connections = 25;
  return good([&] { return Upstream::make(F); });
}

// Services uw-1, uw-2 and uw-3 hold the books ledger-1, ledger-2 and ledger-3;
// each has a replica in two zones.
Draft draft() {
  GroupFields G{Firm, GroupName("underwriting-desk"), {}};
  for (const char *Number : {"1", "2", "3"}) {
    std::string Name = std::string("uw-") + Number;
    ServiceFields S{ServiceName(Name), {std::string("ledger-") + Number}, {}};
    S.Upstreams = {upstream(Name + "-a", "darkhan"),
                   upstream(Name + "-b", "erdenet")};
    G.Services.push_back(good([&] { return Service::make(S); }));
  }
  PresetFields P{.Name = Day, .Classes = {{Clerk, ClassPolicy()}}};
  return {Day,
          {good([&] { return Group::make(G); })},
          {good([&] { return Preset::make(P); })}};
}

ConfigPtr config() {
  Change C{ChangeId("c1"), 0, "bold", "first day", 0};
  return good([&] { return prepare(nullptr, draft(), C); }).After;
}

// What one daemon keeps between queries. It has to know how long the services
// usually take before it can call one of them slow, and which snapshot they
// hold before it can pin one; replies teach it both.
struct Desk {
  Random Rng{1};
  ReplicaTable Replicas{Rng};
  LatencyModel Latency;
  BudgetTable Budgets;
  Budget Restarts{RestartBudgetPercent};
  ConfigPtr Conf = config();

  Desk() {
    // Extra work is a small part of normal work: the 400 sub-requests before
    // this query have filled the budget that hedges are paid from.
    const ClassPolicy &P = *Conf->preset().find(Clerk);
    Budgets.of(Firm, Clerk, P.HedgeBudgetPercent, P.RetryBudgetPercent)
        .Hedges.earn(400);
    for (const Service &S : Conf->groups().front()->Services) {
      for (int I = 0; I < 100; ++I)
        Latency.add(Firm, S->Name, Millis(5));
      for (const Upstream &U : S->Upstreams)
        teach(U->Id);
    }
  }
  void teach(const UpstreamId &Id) {
    SubReply R;
    R.Served = {41, 7};
    R.Servable = {{41, 7}};
    Replicas.onSent(Id, at(-10));
    Replicas.onReply(Id, at(-10), R, at(-5));
  }
  QueryContext tools() {
    return {Replicas,
            Latency,
            Budgets,
            Restarts,
            Rng,
            nullptr,
            AvailabilityZone("darkhan")};
  }
  QueryRun query() {
    QuerySpec S;
    S.Id = RequestId("lesson-2");
    S.Owner = Firm;
    S.Class = Clerk;
    S.Conf = Conf;
    S.Services = {ServiceName("uw-1"), ServiceName("uw-2"),
                  ServiceName("uw-3")};
    S.Policy = *Conf->preset().find(Clerk);
    S.Deadline = at(1000);
    S.Body = "{}";
    return good([&] { return QueryRun::make(S, tools()); });
  }
};

// Carries out commands by writing them down and telling us about them.
struct Network {
  std::vector<SendSub> Sent;
  std::vector<CancelSub> Cancelled;
  std::optional<Instant> Wake;
  std::optional<QueryAnswer> Answer;

  void carryOut(const QueryCommands &Commands, double Ms) {
    for (const QueryCommand &C : Commands)
      std::visit([&](const auto &What) { take(What, Ms); }, C);
  }
  const SendSub &to(const char *Service) const {
    for (const SendSub &S : Sent)
      if (S.Request.Service == ServiceName(Service))
        return S;
    std::exit(EXIT_FAILURE);
  }

private:
  void take(const SendSub &S, double Ms) {
    fmt::print("   {:6.1f} ms  send to {}{}\n", Ms, S.Request.Target.str(),
               S.Hedge ? ", a hedge" : "");
    Sent.push_back(S);
  }
  void take(const CancelSub &C, double Ms) {
    fmt::print("   {:6.1f} ms  cancel at {}\n", Ms, C.Target.str());
    Cancelled.push_back(C);
  }
  void take(const WakeAt &W, double) { Wake = W.At; }
  void take(const ReplaceConnection &R, double Ms) {
    fmt::print("   {:6.1f} ms  replace idle connections to {}\n", Ms,
               R.Target.str());
  }
  void take(const Finish &F, double Ms) {
    fmt::print("   {:6.1f} ms  answer: {} of {} books, snapshot {}.{}\n", Ms,
               F.Answer.Covered.BooksAnswered, F.Answer.Covered.BooksAsked,
               F.Answer.Served.IndexVersion, F.Answer.Served.PartitionVersion);
    Answer = F.Answer;
  }
};

SubReply records() {
  SubReply R;
  R.Served = {41, 7};
  R.Servable = {{41, 7}};
  R.Body = R"({"records":[]})";
  return R;
}

// Every replica of uw-3 says that it cannot be reached.
SubReply unreachable() {
  SubReply R;
  R.Code = ResultCode::ConnectFailed;
  return R;
}

double sinceStart(Instant T) { return toMillisF(T - at(0)); }

void straggler(Lesson &L) {
  Lesson::part("a straggler, and a hedge against it");
  Desk D;
  Network N;
  QueryRun Run = D.query();
  N.carryOut(Run.start(at(0)), 0);
  L.claim(N.Sent.size() == 3, "Each service is asked once.");
  L.claim(N.Sent.front().Request.Pin == Snapshot{41, 7},
          "All are asked for the same snapshot.");

  // uw-1 and uw-2 answer after 4 ms. uw-3 does not.
  N.carryOut(Run.onReply(N.to("uw-1").Key, records(), at(4)), 4);
  N.carryOut(Run.onReply(N.to("uw-2").Key, records(), at(4)), 4);
  L.claim(!N.Answer, "There is no answer yet: a book is missing.");

  // The run told us when it wants to be woken: when uw-3 has taken longer than
  // 95 of 100 replies take.
  double Woken = sinceStart(*N.Wake);
  N.carryOut(Run.onWake(*N.Wake), Woken);
  const SendSub First = N.to("uw-3"), Hedge = N.Sent.back();
  L.claim(N.Sent.size() == 4 && Hedge.Hedge, "It asks a second time.");
  L.claim(Hedge.Request.Target != First.Request.Target,
          "It asks the other replica.");
  L.claim(Woken < 10, "It did so within 10 ms, not at the deadline.");

  N.carryOut(Run.onReply(Hedge.Key, records(), at(12)), 12);
  L.claim(N.Answer && N.Answer->Covered.complete(), "The answer is complete.");
  L.claim(N.Cancelled.size() == 1 &&
              N.Cancelled[0].Target == First.Request.Target,
          "The slow one is told to stop.");
  L.claim(N.Answer && N.Answer->Cost.Hedges == 1, "It cost one hedge.");
  // The straggler answers after all. Its attempt is over, so nobody sees it.
  L.claim(Run.onReply(First.Key, records(), at(90)).empty(),
          "A reply that comes too late changes nothing.");
}

void lostReplicas(Lesson &L) {
  Lesson::part("a service that cannot be reached");
  Desk D;
  Network N;
  QueryRun Run = D.query();
  N.carryOut(Run.start(at(0)), 0);
  N.carryOut(Run.onReply(N.to("uw-1").Key, records(), at(4)), 4);
  N.carryOut(Run.onReply(N.to("uw-2").Key, records(), at(4)), 4);
  // Its second replica is tried before anything is given up.
  N.carryOut(Run.onReply(N.to("uw-3").Key, unreachable(), at(5)), 5);
  L.claim(N.Sent.size() == 4 && N.Sent.back().Retry,
          "The other replica is tried.");
  N.carryOut(Run.onReply(N.Sent.back().Key, unreachable(), at(6)), 6);
  // What is missing is said by the book's name, and at once: there is nothing
  // to wait for.
  L.claim(N.Answer && N.Answer->Code == ResultCode::PartialCoverage,
          "The answer says that it is partial.");
  L.claim(N.Answer && N.Answer->Covered.Missing.size() == 1 &&
              N.Answer->Covered.Missing[0].Book == "ledger-3",
          "It names the book that is missing: ledger-3.");
}

} // namespace

// std::visit throws for a variant without a value; commands have one.
int main() { // NOLINT(bugprone-exception-escape)
  Lesson L;
  straggler(L);
  lostReplicas(L);
  return L.end();
}
