//===- ForwardFixture.h - One ForwardRun under a test's hand ----*- C++ -*-===//
#ifndef SHALLOTSHIFT_TESTS_FORWARDFIXTURE_H
#define SHALLOTSHIFT_TESTS_FORWARDFIXTURE_H

#include "shallotshift/forward.h"

#include <doctest/doctest.h>

namespace shallot::test {

/// Services with replicas near and far, and runs over them.
struct ForwardFixture {
  ForwardFixture() { Replicas.setFleetShare({1, 2, 1.0 / 3}); }

  void add(const std::string &Id, const std::string &Service,
           const std::string &Zone, bool Leaving = false) {
    Replicas.put({UpstreamId(Id),
                  ServiceName(Service),
                  {"10.0.0.1", 1},
                  AvailabilityZone(Zone),
                  Region(Zone),
                  2,
                  Leaving,
                  {}},
                 Now);
  }

  Route route(RouteTarget Target,
              RetrySemantics Kind = RetrySemantics::Idempotent) const {
    Route R;
    R.Name = "r";
    R.Host = "a.example";
    R.PathPrefix = "/";
    R.Kind = Kind;
    R.Timeout = Millis(800);
    R.Objective = Millis(120);
    R.MaxAttempts = 2;
    R.Target = std::move(Target);
    return R;
  }

  ForwardRun run(const Route &R, Duration CallerWaits = Millis(800)) {
    std::vector<ServiceInfo> Services;
    for (const char *Name : {"a", "b", "c", "d"})
      Services.push_back({ServiceName(Name), 100});
    auto C = attempt(
        [&] { return ServingConfig::make(1, {R}, Services, CallerLimits()); });
    REQUIRE_MESSAGE(C, C.error().Detail);
    ForwardRequest A;
    A.Config = std::make_shared<ServingConfig>(std::move(*C));
    A.Matched = &A.Config->routes().front();
    A.Arrived = Now;
    A.CallerWaits = CallerWaits;
    return ForwardRun(std::move(A));
  }

  static SendResult answered(const std::string &Body = "body", int Status = 200,
                             const std::string &Signature = "sig") {
    SendResult S;
    S.How = SendStatus::Answered;
    ReplicaReply R;
    R.Status = Status;
    R.Body = Body;
    R.Signature = Signature;
    S.Reply = R;
    return S;
  }
  static SendResult ended(SendStatus How) {
    SendResult S;
    S.How = How;
    return S;
  }

  /// Ticks as the run wants until \p Until; gathers what comes out.
  RunOutput tickUntil(ForwardRun &R, Instant Until) {
    RunOutput All;
    while (!R.done() && R.nextTick() <= Until) {
      Now = std::max(Now, R.nextTick());
      RunOutput Out = R.tick(Shared, Now);
      std::ranges::move(Out.Start, std::back_inserter(All.Start));
      std::ranges::move(Out.Drop, std::back_inserter(All.Drop));
      if (Out.Answer)
        All.Answer = std::move(Out.Answer);
      Now += Micros(1);
    }
    Now = std::max(Now, Until);
    return All;
  }

  static const LocalAnswer &own(const RunOutput &Out) {
    REQUIRE(Out.Answer);
    REQUIRE(std::holds_alternative<LocalAnswer>(*Out.Answer));
    return std::get<LocalAnswer>(*Out.Answer);
  }

  Instant Now{Seconds(1000)};
  ReplicaRegistry Replicas{{AvailabilityZone("here"), Region("here")}, {}};
  BudgetMap Budgets;
  ServiceTimeEstimates ServiceTimes;
  Random Rng{5};
  ForwardShared Shared{Replicas, Budgets, ServiceTimes, Rng, {}};
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_FORWARDFIXTURE_H
