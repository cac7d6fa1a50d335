// Guards against an action that runs twice, or that is reported as "not run"
// although it may have run. The request is sent, then the connection breaks,
// the caller's deadline passes, or the replica reports that it did not run it.
// It may be sent again only in the last case, or if nothing was sent; a lost
// reply ends as "unknown".
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct ActionFixture : ForwardFixture {
  ActionFixture() {
    add("near", "a", "here");
    add("far", "a", "there");
  }
  ForwardRun action() {
    return run(route(ServiceName("a"), RetrySemantics::AtMostOnce));
  }
};

} // namespace

TEST_CASE_FIXTURE(ActionFixture,
                  "a request whose reply was lost is not sent again") {
  ForwardRun R = action();
  RunOutput Out = R.begin(Shared, Now);
  REQUIRE(Out.Start.size() == 1);
  Out = R.replied(Shared, 0, ended(SendStatus::Lost), Now + Millis(5));
  CHECK(Out.Start.empty());
  CHECK(own(Out).Code == ResultCode::OutcomeUnknown);
  CHECK_FALSE(provesNotRun(own(Out).Code));
}

TEST_CASE_FIXTURE(ActionFixture,
                  "a request without a reply is not sent again") {
  ForwardRun R = action();
  R.begin(Shared, Now);
  RunOutput Out = tickUntil(R, Now + Seconds(2));
  CHECK(Out.Start.empty());
  CHECK(own(Out).Code == ResultCode::OutcomeUnknown);
}

TEST_CASE_FIXTURE(ActionFixture, "a rejected request is sent elsewhere") {
  ForwardRun R = action();
  RunOutput Out = R.begin(Shared, Now);
  ReplicaPtr First = Out.Start.front().To;
  Out = R.replied(Shared, 0, ended(SendStatus::Rejected), Now + Millis(2));
  REQUIRE(Out.Start.size() == 1);
  CHECK(Out.Start.front().To != First);
  Out = R.replied(Shared, 1, answered(), Now + Millis(9));
  REQUIRE(Out.Answer);
  CHECK(std::get<RelayedAnswer>(*Out.Answer).Reply.Body == "body");
}

TEST_CASE_FIXTURE(ActionFixture,
                  "a request that was never sent is sent elsewhere") {
  ForwardRun R = action();
  R.begin(Shared, Now);
  RunOutput Out =
      R.replied(Shared, 0, ended(SendStatus::NotSent), Now + Millis(1));
  CHECK(Out.Start.size() == 1);
}

TEST_CASE_FIXTURE(ActionFixture,
                  "a request that every replica rejected has not run") {
  ForwardRun R = action();
  R.begin(Shared, Now);
  R.replied(Shared, 0, ended(SendStatus::Rejected), Now + Millis(2));
  R.replied(Shared, 1, ended(SendStatus::Rejected), Now + Millis(4));
  RunOutput Out;
  for (unsigned Send = 2; Send < 6 && !R.answered(); ++Send)
    Out = R.replied(Shared, Send, ended(SendStatus::Rejected), Now + Millis(6));
  CHECK(provesNotRun(own(Out).Code));
  CHECK(own(Out).RetryAfter > Duration(0));
}

TEST_CASE_FIXTURE(ActionFixture,
                  "a caller that disconnects does not cancel it") {
  ForwardRun R = action();
  R.begin(Shared, Now);
  CHECK(R.callerGone(Now + Millis(10)).Drop.empty());
  CHECK(tickUntil(R, Now + Millis(500)).Drop.empty());
}

TEST_CASE_FIXTURE(ActionFixture,
                  "a failure of the replica is relayed unchanged") {
  ForwardRun R = action();
  R.begin(Shared, Now);
  RunOutput Out = R.replied(Shared, 0, answered("no", 500), Now + Millis(5));
  CHECK(Out.Start.empty());
  REQUIRE(Out.Answer);
  CHECK(std::get<RelayedAnswer>(*Out.Answer).Reply.Status == 500);
}

// Guards against failures that take all memory while other replicas are asked.
TEST_CASE_FIXTURE(ForwardFixture,
                  "a large failure is relayed or dropped, and not kept") {
  add("a-1", "a", "here");
  add("a-2", "a", "there");
  const std::string Large(1 << 20, 'x');
  ForwardRun Retried = run(route(ServiceName("a")));
  Retried.begin(Shared, Now);
  RunOutput Out = Retried.replied(Shared, 0, answered(Large, 500), Now);
  REQUIRE(Out.Start.size() == 1);
  CHECK(Retried.keptBytes() < Large.size());
  Out = Retried.replied(Shared, 1, ended(SendStatus::Lost), Now);
  CHECK(own(Out).Code == ResultCode::ConnectionClosed);
  ForwardRun Last = run(route(ServiceName("a")));
  Last.begin(Shared, Now);
  Last.replied(Shared, 0, ended(SendStatus::Lost), Now);
  Out = Last.replied(Shared, 1, answered(Large, 500), Now);
  REQUIRE(Out.Answer);
  CHECK(std::get<RelayedAnswer>(*Out.Answer).Reply.Body == Large);
}

// Guards against "not run" for an action that ran and whose replica then
// failed.
TEST_CASE_FIXTURE(ForwardFixture, "a replica's failure is no promise that an "
                                  "action has not run") {
  add("a-1", "a", "here");
  for (int Status : {408, 421, 429, 500, 503}) {
    ForwardRun Action =
        run(route(ServiceName("a"), RetrySemantics::AtMostOnce));
    Action.begin(Shared, Now);
    RunOutput Out = Action.replied(Shared, 0, answered("busy", Status), Now);
    if (Status == 500) {
      REQUIRE(Out.Answer);
      CHECK(std::holds_alternative<RelayedAnswer>(*Out.Answer));
      continue;
    }
    CHECK(own(Out).Code == ResultCode::OutcomeUnknown);
  }
}
