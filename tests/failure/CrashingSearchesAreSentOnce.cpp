// Guards against a search that crashes every upstream that runs it: retries and
// hedges sent it to the next upstream of each service until all had crashed.
// Sending it to one upstream at a time is sufficient: an innocent search needs
// only one successful attempt before all its services are asked again, and a
// crashing one costs one upstream per send. The caller gets an error at once.
#include "correctness/QueryOwner.h"

using namespace shallot;

namespace {

SubReply crash() {
  SubReply R = failure(ResultCode::ConnectionClosed);
  R.Crashed = true;
  return R;
}

struct Search {
  explicit Search(SendRestriction Restriction = SendRestriction::None,
                  unsigned Before = 0,
                  ClassPolicy Policy = {.HedgeBudgetPercent = 100,
                                        .RetryBudgetPercent = 100}) {
    D.teach(*C, {{41, 7}}, at(-10));
    for (int Earned = 0; Earned < 50; ++Earned)
      D.Budgets
          .of(Tenant("khan"), CallerClass("lookup"), Policy.HedgeBudgetPercent,
              Policy.RetryBudgetPercent)
          .Retries.earn(10);
    QuerySpec Spec = makeSpec(C, Policy, at(1000));
    Spec.Restriction = Restriction;
    Spec.CrashedBefore = Before;
    Run.emplace(QueryRun::make(std::move(Spec), D.tools()).value());
    O.take(Run->start(at(0)));
  }

  /// Answers the oldest open request.
  void reply(const SubReply &R, double Ms) {
    SendSub S = O.Sent.front();
    O.Sent.pop_front();
    O.take(Run->onReply(S.Key, R, at(Ms)));
  }
  const QueryAnswer &answer() const {
    REQUIRE(O.Answers.size() == 1);
    return O.Answers[0];
  }

  ConfigPtr C = makeConfig();
  Daemon D{3};
  Owner O;
  std::optional<QueryRun> Run;
};

} // namespace

TEST_CASE("a crashing search crashes at most one upstream of each service") {
  Search S;
  CHECK(S.O.All.size() == 3);
  for (int Service = 0; Service < 3; ++Service) {
    CHECK(S.O.Answers.empty());
    S.reply(crash(), 5 + Service);
  }
  CHECK(S.O.All.size() == 3);
  CHECK(S.answer().Code == ResultCode::ReplicasCrashed);
  CHECK(S.answer().Cost.Crashed == 3);
  CHECK(S.answer().Took < Millis(10));
}

TEST_CASE("a search survives the crash of one upstream") {
  Search S;
  S.reply(crash(), 5);
  CHECK(S.O.All.size() == 3); // Its service is not retried yet.
  S.reply(okReply({41, 7}), 6);
  CHECK(S.O.All.size() == 4);
  S.reply(okReply({41, 7}), 7);
  S.reply(okReply({41, 7}), 8);
  CHECK(S.answer().Code == ResultCode::Ok);
}

TEST_CASE("a suspected search is not hedged") {
  Search S;
  S.reply(crash(), 1);
  for (int Ms = 10; Ms < 900; Ms += 10)
    S.O.take(S.Run->onWake(at(Ms)));
  CHECK(S.O.All.size() == 3);
}

TEST_CASE("a search suspected before is sent to one upstream at a time") {
  Search S(SendRestriction::OneAtATime, 1);
  CHECK(S.O.All.size() == 1);
  S.reply(crash(), 5);
  CHECK(S.O.All.size() == 2);
  S.reply(crash(), 6);
  CHECK(S.O.All.size() == 2);
  CHECK(S.answer().Code == ResultCode::ReplicasCrashed);
}

TEST_CASE("a suspected search that succeeds once is sent to all services") {
  Search S(SendRestriction::OneAtATime, 2);
  S.reply(okReply({41, 7}), 5);
  CHECK(S.O.All.size() == 3);
  S.reply(okReply({41, 7}), 6);
  S.reply(okReply({41, 7}), 7);
  CHECK(S.answer().Code == ResultCode::Ok);
}

TEST_CASE("a trial sends one request") {
  Search S(SendRestriction::OneSend, 3);
  SUBCASE("which crashes its upstream") {
    S.reply(crash(), 5);
    CHECK(S.answer().Code == ResultCode::RequestCrashes);
    CHECK(S.O.All.size() == 1);
  }
  SUBCASE("which the upstream refuses") {
    S.reply(failure(ResultCode::UpstreamShed), 5);
    CHECK(S.answer().Code == ResultCode::NoReplica);
    CHECK(provesNotRun(S.answer().Code));
    CHECK(S.answer().Cost.reachedUpstreams());
    CHECK(S.O.All.size() == 1);
  }
  SUBCASE("which succeeds, so that all services are asked") {
    S.reply(okReply({41, 7}), 5);
    CHECK(S.O.All.size() == 3);
  }
  SUBCASE("which no upstream received, so that another is tried") {
    S.reply(failure(ResultCode::NoHolder), 5);
    S.reply(failure(ResultCode::ConnectFailed), 5);
    CHECK(S.O.All.size() == 3);
    S.reply(crash(), 6);
    CHECK(S.answer().Code == ResultCode::RequestCrashes);
  }
}

TEST_CASE("full coverage is refused with the cause when upstreams crash") {
  Search S(SendRestriction::None, 0,
           {.Coverage = CoverageRule::Full,
            .HedgeBudgetPercent = 100,
            .RetryBudgetPercent = 100});
  for (int Service = 0; Service < 3; ++Service)
    S.reply(crash(), 5 + Service);
  CHECK(S.answer().Code == ResultCode::ReplicasCrashed);
  CHECK(S.answer().Covered.ServicesAnswered == 0);
}
