// Guards against an organisation that takes the capacity of others.
#include "ForwardFixture.h"

#include <deque>
#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

/// One route to one service, with at most a few requests at a time; each takes
/// 20 ms.
struct SharedRoute : ForwardFixture {
  explicit SharedRoute(double HotWeight) {
    Route R = route(ServiceName("a"));
    R.Name = "search";
    R.Objective = Millis(150);
    R.Timeout = Millis(800);
    std::vector<Organisation> All;
    for (const char *Name : {"hot", "small-1", "small-2", "small-3"}) {
      Organisation O;
      O.Name = Tenant(Name);
      O.Share.Weight = All.empty() ? HotWeight : 1;
      All.push_back(O);
    }
    auto Callers = attempt([&] { return Organisations::make(All); });
    REQUIRE(Callers);
    auto C = attempt([&] {
      return ServingConfig::make(1, {R}, {{ServiceName("a"), 100}},
                                 CallerLimits(), *Callers);
    });
    REQUIRE_MESSAGE(C, C.error().Detail);
    Config = std::make_shared<ServingConfig>(*C);
    Admit.install(*Config);
  }

  void offer(const char *Name) {
    ForwardRequest R;
    R.Config = Config;
    R.Matched = &Config->routes().front();
    R.Caller = Config->callers().find(Tenant(Name));
    ++Asked[Name];
    Owners[++Last] = Name;
    AdmissionDecision D = Admit.offer(*R.Matched, 0, Last, Now + Millis(800),
                                      Now, R.claim(Millis(20)));
    if (D.What == AdmissionAction::Start)
      start(Last);
    poll();
  }
  void start(TicketId Id) {
    ++Started[Owners[Id]];
    Running.push_back({Id, Now + Millis(20)});
  }
  void poll() {
    for (const AdmissionEvent &E : Admit.poll(Now))
      if (E.Final.What == AdmissionAction::Start)
        start(E.Id);
  }
  /// A millisecond passes. Replicas queue requests above six at a time.
  void step() {
    Now += Millis(1);
    while (!Running.empty() && Running.front().second <= Now) {
      bool Queues = Running.size() > 6;
      TicketId Id = Running.front().first;
      Running.pop_front();
      Admit.done(Id, {Millis(20), Queues ? Millis(60) : Millis(2), false}, Now);
    }
    poll();
  }
  /// Two requests of "hot" each millisecond, and one of each other
  /// organisation every 20 ms: about 300 requests per second can start.
  void load(int Millis) {
    for (int I = 0; I < Millis; ++I) {
      step();
      offer("hot");
      offer("hot");
      if (I % 20 == 0)
        for (const char *Name : {"small-1", "small-2", "small-3"})
          offer(Name);
    }
  }
  double served(const char *Name) {
    return double(Started[Name]) / Asked[Name];
  }

  std::shared_ptr<const ServingConfig> Config;
  RouteAdmission Admit;
  TicketId Last = 0;
  std::map<TicketId, std::string> Owners;
  std::map<std::string, int> Asked;
  std::map<std::string, int> Started;
  std::deque<std::pair<TicketId, Instant>> Running;
};

} // namespace

TEST_CASE("organisations within their share are served beside a hot one") {
  SharedRoute S(1);
  S.load(2000);
  S.Asked.clear();
  S.Started.clear();
  S.Admit.tally().take(0);
  S.load(4000);
  for (const char *Name : {"small-1", "small-2", "small-3"})
    CHECK(S.served(Name) > 0.95);
  CHECK(S.served("hot") > 0.03); // What the others leave.
  CHECK(S.Admit.tally().anyRefused());
  auto Rows = S.Admit.tally().take(2);
  REQUIRE(Rows.size() == 3);
  CHECK(Rows[0].Organisation == Tenant("hot"));
  CHECK(Rows[0].Refused > 5000);
  CHECK(Rows[0].Cost == doctest::Approx(20.0 * Rows[0].Started));
  CHECK(S.Admit.waiting().size() <= 4);
}

TEST_CASE("a removed organisation's waiting requests end") {
  SharedRoute S(1);
  S.load(500);
  Route R = S.Config->routes().front();
  auto C = attempt([&] {
    return ServingConfig::make(2, {R}, {{ServiceName("a"), 100}},
                               CallerLimits());
  });
  REQUIRE(C);
  S.Admit.install(*C);
  for (int I = 0; I < 100; ++I)
    S.step();
  CHECK(S.Admit.waiting().empty());
  CHECK_FALSE(S.Admit.nextExpiry());
  CHECK(S.Running.empty());
}
