// One caller's search ends every upstream that begins it, and the caller gets
// an error at once. What happens: each service's first upstream ends with the
// search; it was sent on to the next one of each service, and hedged, until all
// had ended. Why one at a time is enough: a search that only ran beside the
// guilty one needs one answer for all of its services to be asked again, and
// the guilty one ends one upstream for each send.
#include "correctness/QueryOwner.h"

using namespace shallot;

namespace {

SubReply crash() {
  SubReply R = failure(ResultCode::ConnectionClosed);
  R.Crashed = true;
  return R;
}

struct Search {
  explicit Search(SendRestriction Care = SendRestriction::None,
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
    Spec.Care = Care;
    Spec.CrashedBefore = Before;
    Run.emplace(QueryRun::make(std::move(Spec), D.tools()).value());
    O.take(Run->start(at(0)));
  }

  /// Answers what was sent first.
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

TEST_CASE("a search that ends upstreams ends one of each service at most") {
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

TEST_CASE("one upstream that crashes does not end a search") {
  Search S;
  S.reply(crash(), 5);
  CHECK(S.O.All.size() == 3); // Its service is not asked again yet.
  S.reply(okReply({41, 7}), 6);
  CHECK(S.O.All.size() == 4);
  S.reply(okReply({41, 7}), 7);
  S.reply(okReply({41, 7}), 8);
  CHECK(S.answer().Code == ResultCode::Ok);
}

TEST_CASE("while it is suspected it is not hedged") {
  Search S;
  S.reply(crash(), 1);
  for (int Ms = 10; Ms < 900; Ms += 10)
    S.O.take(S.Run->onWake(at(Ms)));
  CHECK(S.O.All.size() == 3);
}

TEST_CASE("a suspect of earlier attempts is at one upstream at a time") {
  Search S(SendRestriction::OneAtATime, 1);
  CHECK(S.O.All.size() == 1);
  S.reply(crash(), 5);
  CHECK(S.O.All.size() == 2);
  S.reply(crash(), 6);
  CHECK(S.O.All.size() == 2);
  CHECK(S.answer().Code == ResultCode::ReplicasCrashed);
}

TEST_CASE("a suspect that is answered once is asked of all others at once") {
  Search S(SendRestriction::OneAtATime, 2);
  S.reply(okReply({41, 7}), 5);
  CHECK(S.O.All.size() == 3);
  S.reply(okReply({41, 7}), 6);
  S.reply(okReply({41, 7}), 7);
  CHECK(S.answer().Code == ResultCode::Ok);
}

TEST_CASE("a trial is one send") {
  Search S(SendRestriction::OneSend, 3);
  SUBCASE("that crashes its upstream") {
    S.reply(crash(), 5);
    CHECK(S.answer().Code == ResultCode::RequestCrashes);
    CHECK(S.O.All.size() == 1);
  }
  SUBCASE("that the upstream refused") {
    S.reply(failure(ResultCode::UpstreamShed), 5);
    CHECK(S.answer().Code == ResultCode::NoReplica);
    CHECK(provesNotRun(S.answer().Code));
    CHECK(S.answer().Cost.reachedUpstreams());
    CHECK(S.O.All.size() == 1);
  }
  SUBCASE("that ends well: then it is asked of all") {
    S.reply(okReply({41, 7}), 5);
    CHECK(S.O.All.size() == 3);
  }
  SUBCASE("which no upstream saw is made at another") {
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
