// Guards against queries that start without capacity for all of their parts.
// Under overload, replicas report long queues and reject sends; fewer queries
// start, and the others wait briefly or are refused at once as "not run", with
// a Retry-After time. Limits are per group of routes: the load of one set of
// services says nothing about another.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct AdmissionFixture : ForwardFixture {
  AdmissionFixture() { install({search(), check(), pull()}); }

  Route named(const char *Name, unsigned Priority, RouteTarget Target) const {
    Route R = route(std::move(Target));
    R.Name = Name;
    R.PathPrefix = std::string("/") + Name + "/";
    R.Priority = Priority;
    return R;
  }
  Route search() const {
    ShardFanOut Fan;
    Fan.Shards = {ServiceName("a"), ServiceName("b")};
    Fan.MinCoverage = 0.5;
    return named("search", 1, Fan);
  }
  Route check() const { return named("check", 0, ServiceName("b")); }
  Route pull() const { return named("pull", 2, ServiceName("c")); }

  void install(const std::vector<Route> &Routes) {
    std::vector<ServiceInfo> Services;
    for (const char *Name : {"a", "b", "c", "d"})
      Services.push_back({ServiceName(Name), 100});
    auto C = attempt([&] {
      return ServingConfig::make(1, Routes, Services, CallerLimits());
    });
    REQUIRE_MESSAGE(C, C.error().Detail);
    Admit.install(*C);
  }
  AdmissionDecision offer(const Route &R) {
    return Admit.offer(R, R.Priority, ++Last, Now + R.Timeout, Now);
  }
  /// Offers one query per millisecond; each ends 30 ms after its start with the
  /// sample \p S.
  void load(const Route &R, int Count, const LoadSample &S) {
    for (int I = 0; I < Count; ++I) {
      Now += Millis(1);
      while (!Running.empty() && Running.front().second <= Now) {
        Admit.done(Running.front().first, S, Now);
        Running.erase(Running.begin());
      }
      for (const AdmissionEvent &E : Admit.poll(Now))
        if (E.Final.What == AdmissionAction::Start)
          Running.push_back({E.Id, Now + Millis(30)});
      if (offer(R).What == AdmissionAction::Start)
        Running.push_back({Last, Now + Millis(30)});
    }
  }
  /// Starts requests until one must wait, and returns that one.
  TicketId fill(const Route &R) {
    for (int I = 0; I < 100; ++I) {
      AdmissionDecision V = offer(R);
      if (V.What == AdmissionAction::Wait)
        return Last;
      if (V.What == AdmissionAction::Start)
        Running.push_back({Last, Now});
    }
    FAIL("nothing waits");
    return 0;
  }
  static LoadSample queued(Duration D) { return {Millis(30), D, false}; }

  RouteAdmission Admit;
  TicketId Last = 0;
  std::vector<std::pair<TicketId, Instant>> Running;
};

} // namespace

TEST_CASE_FIXTURE(AdmissionFixture, "long queues at replicas lower the limit") {
  std::size_t Before = Admit.report(search()).Limit;
  load(search(), 1000, queued(Millis(90)));
  CHECK(Admit.report(search()).Limit < Before / 2);
  load(search(), 3000, queued(Millis(1)));
  CHECK(Admit.report(search()).Limit > Before / 2);
}

TEST_CASE_FIXTURE(AdmissionFixture, "a refusal says when to retry") {
  load(search(), 1000, queued(Millis(90)));
  unsigned Refused = 0;
  for (int I = 0; I < 200; ++I) {
    AdmissionDecision V = offer(search());
    if (V.What != AdmissionAction::Refuse)
      continue;
    ++Refused;
    CHECK(infoOf(V.Code).Effect == RequestEffect::NotRun);
    CHECK(infoOf(V.Code).HttpStatus == 503);
    CHECK(V.RetryAfter >= MinRetryAfter);
  }
  CHECK(Refused > 100);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "routes that share a service share its limit") {
  load(search(), 1000, queued(Millis(90)));
  CHECK(Admit.report(check()).Limit == Admit.report(search()).Limit);
  CHECK(Admit.report(pull()).Limit > 2 * Admit.report(search()).Limit);
  CHECK(offer(pull()).What == AdmissionAction::Start);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "the most urgent waiting requests start first") {
  TicketId Patient = fill(search());
  REQUIRE(offer(check()).What == AdmissionAction::Wait);
  TicketId Urgent = Last;
  Admit.done(Running.back().first, queued(Millis(1)), Now);
  AdmissionEvents E = Admit.poll(Now);
  REQUIRE(E.size() == 1);
  CHECK(E.front().Id == Urgent);
  CHECK(E.front().Id != Patient);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "the limit is kept when routes move to other services") {
  load(search(), 1000, queued(Millis(90)));
  std::size_t Limit = Admit.report(search()).Limit;
  Route Moved = search();
  ShardFanOut Fan;
  Fan.Shards = {ServiceName("d")};
  Moved.Target = Fan;
  install({Moved, check(), pull()});
  CHECK(Admit.report(Moved).Limit == Limit);
  CHECK(Admit.report(check()).Limit > Limit);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "a waiting request whose route is removed is answered") {
  TicketId Waits = fill(check());
  install({pull()});
  Now += Seconds(1);
  AdmissionEvents E = Admit.poll(Now);
  bool Ended = std::ranges::any_of(
      E, [&](const AdmissionEvent &One) { return One.Id == Waits; });
  CHECK(Ended);
  for (const AdmissionEvent &One : E)
    CHECK(infoOf(One.Final.Code).HttpStatus != 404);
}

TEST_CASE_FIXTURE(
    AdmissionFixture,
    "a query that waits for stragglers only frees its admission") {
  add("a-1", "a", "here");
  add("b-1", "b", "here");
  ForwardRun R = run(search());
  CHECK(R.begin(Shared, Now).Start.size() == 2);
  CHECK_FALSE(R.freesAdmission());
  RunOutput Out = R.replied(Shared, 0, answered(), Now + Millis(5));
  CHECK_FALSE(Out.Answer);
  CHECK(R.freesAdmission());
}

TEST_CASE_FIXTURE(
    AdmissionFixture,
    "a replica that rejects at any queue length is faulty, not full") {
  add("b-1", "b", "here");
  auto Shed = [&](unsigned Waiting) {
    SendResult S = ended(SendStatus::Rejected);
    S.Load = ReportedLoad{2, Waiting, 2};
    Route Once = check();
    Once.MaxAttempts = 1;
    ForwardRun R = run(Once);
    RunOutput Out = R.begin(Shared, Now);
    while (!R.answered() && !Out.Start.empty())
      Out = R.replied(Shared, Out.Start.front().Send, S, Now);
    return R.load(Now).Overloaded;
  };
  CHECK(Shed(12));
  CHECK_FALSE(Shed(4));
  CHECK_FALSE(Shed(0));
  CHECK(Shed(12));
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "a caller that disconnects frees its admission") {
  TicketId Waits = fill(search());
  Admit.cancel(Waits);
  Admit.cancel(Running.back().first);
  CHECK(offer(search()).What == AdmissionAction::Start);
}

// Guards against "not found" for a request whose route changed while it waited.
TEST_CASE_FIXTURE(AdmissionFixture, "an offer under a route that the new "
                                    "configuration changed or lacks is refused "
                                    "with an answer that may be repeated") {
  Route Kept = check();
  Route Changed = search();
  Route Removed = pull();
  Route New = Changed;
  New.Objective = Millis(200);
  New.Priority = 3;
  install({New, Kept});
  for (const Route &R : {Changed, Removed}) {
    AdmissionDecision V = offer(R);
    CHECK(V.What == AdmissionAction::Refuse);
    CHECK(V.Code == ResultCode::RouteChanged);
    CHECK(infoOf(V.Code).HttpStatus == 503);
  }
  CHECK(offer(Kept).What == AdmissionAction::Start);
}

// Guards against "not found" for requests of a class that was removed.
TEST_CASE_FIXTURE(AdmissionFixture, "a queued request of a class that the new "
                                    "configuration lacks is told that its "
                                    "route changed") {
  TicketId Waits = fill(check());
  Route New = check();
  New.Objective = Millis(240);
  install({search(), New, pull()});
  AdmissionEvents Events = Admit.poll(Now);
  REQUIRE(Events.size() == 1);
  CHECK(Events.front().Id == Waits);
  CHECK(Events.front().Final.Code == ResultCode::RouteChanged);
}
