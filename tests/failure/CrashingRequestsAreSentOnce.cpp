// Guards against one search that crashes the replicas of all shards, after
// which no searches are answered for seconds. Each of its parts loses its
// replica within milliseconds; if each were retried at once, two attempts would
// be enough. Other requests are told apart because one of their parts succeeds,
// even if they ran beside it or lost a replica for another reason. Until then,
// such a request is sent to one replica at a time.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct CrashFixture : ForwardFixture {
  CrashFixture() {
    for (const char *Shard : {"a", "b", "c", "d"})
      for (const char *Zone : {"here", "there", "far"})
        add(std::string(Shard) + "-" + Zone, Shard, Zone);
  }

  static ShardFanOut shards() {
    ShardFanOut F;
    for (const char *Name : {"a", "b", "c", "d"})
      F.Shards.emplace_back(Name);
    F.MaxRecords = 3;
    F.MinCoverage = 0.5;
    return F;
  }
  static SendResult crashed() {
    SendResult S = ended(SendStatus::Lost);
    S.ReplicaCrashed = true;
    return S;
  }
  ForwardRun careful(const Route &R, SendRestriction Restriction,
                     unsigned Before) {
    ForwardRun Run = run(R);
    Run.setRestriction(Restriction, Before);
    return Run;
  }
  RunOutput reply(ForwardRun &R, unsigned Send, SendResult Result) {
    Now += Millis(5);
    return R.replied(Shared, Send, std::move(Result), Now);
  }
};

} // namespace

TEST_CASE_FIXTURE(CrashFixture,
                  "nothing is retried while every replica crashes") {
  ForwardRun R = run(route(shards()));
  REQUIRE(R.begin(Shared, Now).Start.size() == 4);
  for (unsigned Send : {0, 1, 2, 3}) {
    RunOutput Out = reply(R, Send, crashed());
    CHECK(Out.Start.empty());
    if (Send < 3)
      CHECK_FALSE(Out.Answer);
    else
      CHECK(own(Out).Code == ResultCode::ReplicasCrashed);
  }
  CHECK(R.stats().Crashed == 4);
}

TEST_CASE_FIXTURE(CrashFixture, "the last open send may still succeed") {
  ForwardRun R = run(route(shards()));
  R.begin(Shared, Now);
  for (unsigned Send : {0, 1, 2})
    CHECK_FALSE(reply(R, Send, crashed()).Answer);
  CHECK(reply(R, 3, answered()).Start.size() == 3);
}

TEST_CASE_FIXTURE(CrashFixture, "a request in flight beside it continues") {
  ForwardRun R = run(route(shards()));
  R.begin(Shared, Now);
  CHECK(reply(R, 0, crashed()).Start.empty());
  CHECK(reply(R, 1, crashed()).Start.empty());
  // One part succeeded: this request is not the cause. All others continue.
  RunOutput Out = reply(R, 2, answered());
  CHECK(Out.Start.size() == 2);
  CHECK(R.succeeded());
  CHECK(reply(R, 3, answered()).Start.empty());
  reply(R, 4, answered());
  Out = reply(R, 5, answered());
  REQUIRE(Out.Answer);
  CHECK(std::get<MergedAnswer>(*Out.Answer).Missing == 0);
}

TEST_CASE_FIXTURE(CrashFixture, "a request is retried after two crashes") {
  ForwardRun R = run(route(shards()));
  R.begin(Shared, Now);
  reply(R, 0, crashed());
  reply(R, 1, crashed());
  reply(R, 2, ended(SendStatus::Rejected));
  RunOutput Out = reply(R, 3, ended(SendStatus::Rejected));
  CHECK(Out.Start.size() == 1); // One send, and no other beside it.
  Out = reply(R, 4, answered());
  CHECK(Out.Start.size() == 3);
}

TEST_CASE_FIXTURE(CrashFixture,
                  "a suspected request is sent to one replica at a time") {
  ForwardRun R = careful(route(shards()), SendRestriction::OneAtATime, 1);
  CHECK(R.begin(Shared, Now).Start.size() == 1);
  // It is not hedged, however long it takes.
  CHECK(tickUntil(R, Now + Millis(60)).Start.empty());
  SUBCASE("until a send succeeds") {
    CHECK(reply(R, 0, answered()).Start.size() == 3);
  }
  SUBCASE("and fails with the third replica in all") {
    CHECK(reply(R, 0, crashed()).Start.size() == 1);
    RunOutput Out = reply(R, 1, crashed());
    CHECK(Out.Start.empty());
    CHECK(own(Out).Code == ResultCode::ReplicasCrashed);
  }
}

TEST_CASE_FIXTURE(CrashFixture, "a trial is one send") {
  ForwardRun R =
      careful(route(shards()), SendRestriction::OneSend, CrashThreshold);
  REQUIRE(R.begin(Shared, Now).Start.size() == 1);
  SUBCASE("a crash is final, without a Retry-After time") {
    RunOutput Out = reply(R, 0, crashed());
    CHECK(Out.Start.empty());
    CHECK(own(Out).Code == ResultCode::RequestCrashes);
    CHECK(own(Out).RetryAfter == Duration(0));
  }
  SUBCASE("a full replica proves nothing except that nothing ran") {
    RunOutput Out = reply(R, 0, ended(SendStatus::Rejected));
    CHECK(Out.Start.empty());
    CHECK(own(Out).Code == ResultCode::UpstreamShed);
    CHECK(own(Out).RetryAfter > Duration(0));
  }
  SUBCASE("a lost reply is not retried") {
    RunOutput Out = reply(R, 0, ended(SendStatus::Lost));
    CHECK(Out.Start.empty());
    REQUIRE(Out.Answer);
  }
  SUBCASE("a successful send leads to a complete answer") {
    CHECK(reply(R, 0, answered()).Start.size() == 3);
  }
}

TEST_CASE_FIXTURE(CrashFixture,
                  "a plain request is retried at another replica") {
  ForwardRun R = run(route(ServiceName("a")));
  R.begin(Shared, Now);
  RunOutput Out = reply(R, 0, crashed());
  REQUIRE(Out.Start.size() == 1);
  CHECK(tickUntil(R, Now + Millis(100)).Start.empty());
  Out = reply(R, 1, answered());
  CHECK(std::holds_alternative<RelayedAnswer>(*Out.Answer));
}

TEST_CASE_FIXTURE(CrashFixture,
                  "the outcome of an action whose replica crashed is unknown") {
  ForwardRun R = run(route(ServiceName("a"), RetrySemantics::AtMostOnce));
  R.begin(Shared, Now);
  RunOutput Out = reply(R, 0, crashed());
  CHECK(Out.Start.empty());
  CHECK(own(Out).Code == ResultCode::OutcomeUnknown);
}

TEST_CASE_FIXTURE(CrashFixture, "a held part waits for room like any other") {
  ForwardRun R = careful(route(shards()), SendRestriction::OneAtATime, 1);
  // Every replica has as many sends as it may.
  constexpr int OthersCount = 8;
  std::vector<ForwardRun> Others;
  Others.reserve(OthersCount);
  Replicas.setFleetShare({300, 300, 1.0 / 600});
  for (int N = 0; N < OthersCount; ++N)
    Others.push_back(run(route(shards())));
  for (ForwardRun &O : Others)
    O.begin(Shared, Now);
  R.begin(Shared, Now);
  RunOutput Out = tickUntil(R, Now + Millis(30));
  // It sends at most one part, whatever room there is, and ends.
  CHECK(R.stats().Sends <= 1);
  tickUntil(R, Now + Seconds(1));
  CHECK(R.answered());
}
