// A class needs full coverage and every upstream of one service sheds load.
// Waiting cannot change the answer, so the caller must get CoverageRefused with
// a Retry-After as soon as the last upstream has refused, long before the
// deadline, and the requests to the other services are cancelled.
#include "correctness/QueryOwner.h"

using namespace shallot;

TEST_CASE("full coverage is refused as soon as it is impossible") {
  ConfigPtr C = makeConfig();
  Daemon D(3);
  D.teach(*C, {{41, 7}}, at(-10));
  Owner O;
  auto Run = QueryRun::make(
      makeSpec(C, {.Coverage = CoverageRule::Full}, at(1000)), D.tools());
  O.take(Run.value().start(at(0)));
  SubReply Shed = failure(ResultCode::UpstreamShed);
  Shed.RetryAfter = Seconds(2);
  for (int Upstream = 0; Upstream < 3; ++Upstream) {
    CHECK(O.Answers.empty());
    SendSub S = O.pop(ServiceName("s1"));
    O.take(Run.value().onReply(S.Key, Shed, at(2 + Upstream)));
  }
  REQUIRE(O.Answers.size() == 1);
  const QueryAnswer &A = O.Answers[0];
  CHECK(A.Code == ResultCode::CoverageRefused);
  CHECK(A.Took <= Millis(4));
  CHECK(A.RetryAfter >= Seconds(2));
  CHECK(A.Records.empty());
  CHECK(A.Covered.ServicesAnswered == 0);
  CHECK(O.Cancelled.size() == 2);
  CHECK(A.Cost.Retries == 2);
}

TEST_CASE("a service without a usable upstream fails before any send") {
  ConfigPtr C = makeConfig({2, 1});
  Daemon D(3);
  D.teach(*C, {{41, 7}}, at(-10));
  D.Replicas.onLeaving(UpstreamId("s1-u0"), true);
  Owner O;
  auto Run = QueryRun::make(
      makeSpec(C, {.Coverage = CoverageRule::Full}, at(1000)), D.tools());
  O.take(Run.value().start(at(0)));
  REQUIRE(O.Answers.size() == 1);
  CHECK(O.Answers[0].Code == ResultCode::NoReplica);
  CHECK(provesNotRun(O.Answers[0].Code));
  CHECK(O.All.empty());
}

TEST_CASE("a partial answer comes after PartialAfter and lists missing books") {
  ConfigPtr C = makeConfig();
  Daemon D(3);
  D.teach(*C, {{41, 7}}, at(-10));
  Owner O;
  auto Run = QueryRun::make(
      makeSpec(C, {.PartialAfter = Millis(40), .HedgeBudgetPercent = 0},
               at(1000)),
      D.tools());
  O.take(Run.value().start(at(0)));
  for (const char *Name : {"s0", "s2"}) {
    SendSub S = O.pop(ServiceName(Name));
    O.take(Run.value().onReply(S.Key, okReply({41, 7}), at(5)));
  }
  O.take(Run.value().onWake(at(40)));
  REQUIRE(O.Answers.size() == 1);
  const QueryAnswer &A = O.Answers[0];
  CHECK(A.Code == ResultCode::PartialCoverage);
  CHECK(A.Covered.BooksAnswered == 4);
  REQUIRE(A.Covered.Missing.size() == 2);
  CHECK(A.Covered.Missing[0].Book == "b1a");
  CHECK(A.Covered.Missing[0].Reason == ResultCode::TransferTimeout);
}
