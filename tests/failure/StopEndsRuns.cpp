// Guards against sends late in a stop that the process does not live to answer.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct StopFixture : ForwardFixture {
  StopFixture() {
    for (const char *Service : {"a", "b"}) {
      add(std::string(Service) + "1", Service, "here");
      add(std::string(Service) + "2", Service, "here");
    }
  }

  /// Answers are possible for \p Left from now on.
  void stop(Duration Left) {
    StopTimes T;
    T.ServeAtLeast = T.ServeUntil = Now;
    T.AnswerUntil = T.End = Now + Left;
    Shared.Stop = attempt([&] { return StopPlan::make(T); }).value();
  }
  Instant end() const { return Shared.Stop->times().End; }
  Route action() const {
    return route(ServiceName("a"), RetrySemantics::AtMostOnce);
  }
  Route search() const {
    Route R = route(ShardFanOut{{ServiceName("a"), ServiceName("b")}, 3, 0.5});
    R.Objective = Millis(700);
    return R;
  }
  /// Queries of the route have taken \p Took.
  void observe(Duration Took) {
    for (int I = 0; I < 50; ++I)
      ServiceTimes.of("r", Millis(120)).observe(Took, Now);
  }
};

} // namespace

TEST_CASE_FIXTURE(StopFixture, "an action that waited until the stop is not "
                               "sent if it may outlast it") {
  ForwardRun R = run(action());
  stop(Millis(700));
  RunOutput Out = R.begin(Shared, Now);
  CHECK(Out.Start.empty());
  CHECK(own(Out).Code == ResultCode::Leaving);
  CHECK(provesNotRun(own(Out).Code));
}

TEST_CASE_FIXTURE(StopFixture, "an action that fits is sent") {
  ForwardRun R = run(action(), Millis(600));
  stop(Millis(700));
  CHECK(R.begin(Shared, Now).Start.size() == 1);
}

TEST_CASE_FIXTURE(StopFixture, "a rejected action is not sent again if it may "
                               "outlast the stop") {
  ForwardRun R = run(action());
  REQUIRE(R.begin(Shared, Now).Start.size() == 1);
  stop(Millis(700));
  R.answerBy(end());
  RunOutput Out =
      R.replied(Shared, 0, ended(SendStatus::Rejected), Now + Millis(5));
  CHECK(Out.Start.empty());
  CHECK(provesNotRun(own(Out).Code));
}

TEST_CASE_FIXTURE(StopFixture, "an action without a reply is answered as "
                               "unknown before the process exits") {
  ForwardRun R = run(action());
  R.begin(Shared, Now);
  stop(Millis(300));
  R.answerBy(end());
  RunOutput Out = tickUntil(R, end());
  CHECK(own(Out).Code == ResultCode::OutcomeUnknown);
}

TEST_CASE_FIXTURE(StopFixture, "a query without a reply is answered before the "
                               "process exits") {
  observe(Millis(10));
  stop(Millis(300));
  ForwardRun R = run(route(ServiceName("a")));
  RunOutput Out = R.begin(Shared, Now);
  REQUIRE(Out.Start.size() == 1);
  // The replica does not work on for longer than its answer is of use.
  CHECK(Out.Start[0].TimeLeft <= Millis(300));
  Out = tickUntil(R, end());
  CHECK(own(Out).Code == ResultCode::DaemonStopped);
  CHECK_FALSE(provesNotRun(own(Out).Code));
}

TEST_CASE_FIXTURE(StopFixture, "a search returns the parts that are there "
                               "before the process exits") {
  ForwardRun R = run(search());
  REQUIRE(R.begin(Shared, Now).Start.size() == 2);
  R.replied(Shared, 0, answered(), Now + Millis(5));
  stop(Millis(300));
  R.answerBy(end());
  RunOutput Out = tickUntil(R, end());
  REQUIRE(Out.Answer);
  CHECK(std::get<MergedAnswer>(*Out.Answer).Missing == 1);
}

TEST_CASE_FIXTURE(StopFixture, "a hedge that cannot be answered before the "
                               "exit is not sent") {
  observe(Millis(100));
  ForwardRun R = run(route(ServiceName("a")));
  R.begin(Shared, Now);
  stop(Millis(40));
  R.answerBy(end());
  CHECK(tickUntil(R, end()).Start.empty());
}
