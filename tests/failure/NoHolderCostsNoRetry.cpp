// Guards against partial answers after a daemon has left: its slots pass to
// other daemons, which must not use them for some seconds, and every request
// for one of those upstreams fails with NoHolder. As no upstream received the
// request, trying another one adds no load and must not draw on the retry
// budget, which a few queries would exhaust.
#include "correctness/QueryOwner.h"

using namespace shallot;

TEST_CASE("NoHolder is retried at another upstream without the budget") {
  ConfigPtr C = makeConfig();
  Daemon D(3);
  D.teach(*C, {{41, 7}}, at(-10));
  Owner O;
  ClassPolicy Policy{.HedgeBudgetPercent = 0, .RetryBudgetPercent = 0};
  auto Run = QueryRun::make(makeSpec(C, Policy, at(1000)), D.tools());
  O.take(Run.value().start(at(0)));
  for (const char *Name : {"s0", "s1", "s2"}) {
    SendSub First = O.pop(ServiceName(Name));
    O.take(
        Run.value().onReply(First.Key, failure(ResultCode::NoHolder), at(1)));
    SendSub Second = O.pop(ServiceName(Name));
    CHECK(Second.Request.Target != First.Request.Target);
    O.take(Run.value().onReply(Second.Key, okReply({41, 7}), at(5)));
  }
  REQUIRE(O.Answers.size() == 1);
  CHECK(O.Answers[0].Code == ResultCode::Ok);
  CHECK(O.Answers[0].Cost.Retries == 0);
  CHECK(O.Answers[0].Cost.Reasks == 3);
}

TEST_CASE("a service without a slot holder for any upstream is missing") {
  ConfigPtr C = makeConfig();
  Daemon D(3);
  D.teach(*C, {{41, 7}}, at(-10));
  Owner O;
  ClassPolicy Policy{.HedgeBudgetPercent = 0, .RetryBudgetPercent = 0};
  auto Run = QueryRun::make(makeSpec(C, Policy, at(1000)), D.tools());
  O.take(Run.value().start(at(0)));
  for (const char *Name : {"s0", "s2"}) {
    SendSub S = O.pop(ServiceName(Name));
    O.take(Run.value().onReply(S.Key, okReply({41, 7}), at(2)));
  }
  for (int Asked = 0; Asked < 3; ++Asked) {
    SendSub S = O.pop(ServiceName("s1"));
    O.take(Run.value().onReply(S.Key, failure(ResultCode::NoHolder), at(3)));
  }
  REQUIRE(O.Answers.size() == 1);
  CHECK(O.Answers[0].Code == ResultCode::PartialCoverage);
  REQUIRE(O.Answers[0].Covered.Missing.size() == 2);
  CHECK(O.Answers[0].Covered.Missing[0].Reason == ResultCode::NoHolder);
}
