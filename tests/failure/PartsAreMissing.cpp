// Guards against late or wrong answers when shards fail, hang or have no
// replica. Lost, rejected and slow sends are retried within the route's
// attempts. When the latency objective is about to pass, the answer is sent
// with the parts at hand and says how many are missing; if too many are, it is
// an error at once.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct ShardFixture : ForwardFixture {
  ShardFixture() {
    for (const char *Shard : {"a", "b", "c", "d"})
      for (const char *Zone : {"here", "there", "yonder"})
        add(std::string(Shard) + Zone, Shard, Zone);
  }
  ForwardRun search(double MinCoverage = 0.75) {
    ShardFanOut Fan;
    for (const char *Shard : {"a", "b", "c", "d"})
      Fan.Shards.emplace_back(Shard);
    Fan.MaxRecords = 5;
    Fan.MinCoverage = MinCoverage;
    return run(route(Fan));
  }
  /// Replies for the first three parts.
  void answerThree(ForwardRun &R) {
    for (unsigned Send = 0; Send < 3; ++Send)
      CHECK_FALSE(R.replied(Shared, Send,
                            answered(std::string(RecordBytes, 'r')),
                            Now + Millis(10))
                      .Answer);
  }
};

const MergedAnswer &merged(const RunOutput &Out) {
  REQUIRE(Out.Answer);
  REQUIRE(std::holds_alternative<MergedAnswer>(*Out.Answer));
  return std::get<MergedAnswer>(*Out.Answer);
}

} // namespace

TEST_CASE_FIXTURE(ShardFixture, "near replicas are preferred") {
  ForwardRun R = search();
  RunOutput Out = R.begin(Shared, Now);
  REQUIRE(Out.Start.size() == 4);
  for (const StartSend &S : Out.Start)
    CHECK(S.To->distance() == Distance::SameZone);
}

TEST_CASE_FIXTURE(ShardFixture, "a straggler is hedged at another replica") {
  ForwardRun R = search();
  R.begin(Shared, Now);
  answerThree(R);
  RunOutput Out = tickUntil(R, Now + Millis(80));
  REQUIRE(Out.Start.size() == 1);
  CHECK(Out.Start.front().To->entry().Service == ServiceName("d"));
  CHECK(Out.Start.front().To->distance() == Distance::OtherRegion);
  Out = R.replied(Shared, 4, answered(), Now);
  CHECK(merged(Out).Missing == 0);
}

TEST_CASE_FIXTURE(
    ShardFixture,
    "a partial answer in time is preferred to a late complete one") {
  ForwardRun R = search();
  Instant Began = Now;
  R.begin(Shared, Now);
  answerThree(R);
  RunOutput Out = tickUntil(R, Began + Millis(119));
  CHECK(merged(Out).Missing == 1);
  CHECK(merged(Out).Signatures.size() == 3);
}

TEST_CASE_FIXTURE(ShardFixture,
                  "below the minimum coverage it waits for the rest") {
  ForwardRun R = search(1.0);
  Instant Began = Now;
  R.begin(Shared, Now);
  answerThree(R);
  CHECK_FALSE(tickUntil(R, Began + Millis(300)).Answer);
  CHECK(merged(R.replied(Shared, 3, answered(), Now)).Missing == 0);
}

TEST_CASE_FIXTURE(ShardFixture, "it fails at the deadline") {
  ForwardRun R = search(1.0);
  Instant Began = Now;
  R.begin(Shared, Now);
  answerThree(R);
  RunOutput Out = tickUntil(R, Began + Millis(800));
  CHECK(own(Out).Code == ResultCode::DeadlineExceeded);
}

TEST_CASE_FIXTURE(ShardFixture, "it fails at once when a part cannot be had") {
  ForwardRun R = search(1.0);
  R.begin(Shared, Now);
  RunOutput Out;
  // Both replicas that may run it lose the reply.
  Out = R.replied(Shared, 3, ended(SendStatus::Lost), Now + Millis(3));
  REQUIRE(Out.Start.size() == 1);
  Out = R.replied(Shared, 4, ended(SendStatus::Lost), Now + Millis(30));
  CHECK(own(Out).Code == ResultCode::ConnectionClosed);
}

TEST_CASE_FIXTURE(ShardFixture, "a reply without a signature does not count") {
  ForwardRun R = search(1.0);
  R.begin(Shared, Now);
  RunOutput Out = R.replied(Shared, 0, answered("x", 200, ""), Now + Millis(3));
  CHECK(Out.Start.size() == 1);
  CHECK_FALSE(Out.Answer);
}

TEST_CASE_FIXTURE(ShardFixture, "a failure with a signature does not count") {
  ForwardRun R = search(1.0);
  R.begin(Shared, Now);
  CHECK(
      R.replied(Shared, 0, answered("x", 500), Now + Millis(3)).Start.size() ==
      1);
}

// Guards against parts that take all memory while others are awaited.
TEST_CASE_FIXTURE(ShardFixture, "of a large part only records are kept") {
  const std::string Large(1 << 20, 'x');
  ForwardRun R = search(1.0);
  R.begin(Shared, Now);
  R.replied(Shared, 0, answered(Large), Now + Millis(3));
  R.replied(Shared, 1, answered(Large), Now + Millis(3));
  R.replied(Shared, 2, answered(Large, 500), Now + Millis(3));
  CHECK(R.keptBytes() < 3 * (4 << 10));
}

TEST_CASE_FIXTURE(ShardFixture, "a shard without replicas is refused at once") {
  for (const char *Zone : {"here", "there", "yonder"})
    add(std::string("d") + Zone, "d", Zone, true);
  ForwardRun R = search(1.0);
  RunOutput Out = R.begin(Shared, Now);
  CHECK(Out.Start.empty());
  CHECK(provesNotRun(own(Out).Code));
  CHECK(own(Out).RetryAfter > Duration(0));
  // With a minimum coverage of three in four, it is answered without this part.
  ForwardRun Partial = search(0.75);
  CHECK(Partial.begin(Shared, Now).Start.size() == 3);
}

TEST_CASE_FIXTURE(ShardFixture,
                  "sends of a disconnected caller end within half a second") {
  ForwardRun R = search();
  R.begin(Shared, Now);
  Instant Left = Now + Millis(10);
  R.callerGone(Left);
  RunOutput Out = tickUntil(R, Left + Millis(400));
  CHECK(Out.Drop.size() == 4);
  CHECK(R.done());
}

TEST_CASE_FIXTURE(ShardFixture,
                  "a late reply after the answer changes nothing") {
  ForwardRun R = search();
  Instant Began = Now;
  R.begin(Shared, Now);
  answerThree(R);
  REQUIRE(tickUntil(R, Began + Millis(119)).Answer);
  RunOutput Out = R.replied(Shared, 3, answered(), Now + Millis(2));
  CHECK_FALSE(Out.Answer);
  CHECK(Out.Start.empty());
}

TEST_CASE_FIXTURE(ShardFixture,
                  "the deadline given to a replica shrinks with time") {
  ForwardRun R = search();
  Instant Began = Now;
  RunOutput First = R.begin(Shared, Now);
  Duration Given = First.Start.front().TimeLeft;
  CHECK(Given <= Millis(800));
  RunOutput Out = tickUntil(R, Began + Millis(70));
  REQUIRE_FALSE(Out.Start.empty());
  CHECK(Out.Start.front().TimeLeft < Given - Millis(10));
}

TEST_CASE_FIXTURE(ShardFixture,
                  "without room at any replica it is refused soon") {
  // Every replica has as many sends as this daemon may have connections and
  // reports waiting requests, so that no further connections are opened.
  for (const char *Shard : {"a", "b", "c", "d"}) {
    ServiceInfo Info{ServiceName(Shard), 100};
    ReplicaCriteria C;
    C.Service = &Info;
    C.ServiceTime = Millis(10);
    while (ReplicaPtr R = Replicas.choose(C, 0, Now)) {
      R->sendStarted(Now);
      R->loadReported({2, 9, 2}, Now);
    }
  }
  ForwardRun R = search();
  Instant Began = Now;
  CHECK(R.begin(Shared, Now).Start.empty());
  RunOutput Out = tickUntil(R, Began + Millis(40));
  CHECK(provesNotRun(own(Out).Code));
  CHECK(own(Out).RetryAfter > Duration(0));
}

TEST_CASE_FIXTURE(ShardFixture,
                  "no request is sent that cannot be answered in time") {
  // The caller's remaining time is less than half of the service time.
  for (int I = 0; I < 60; ++I)
    ServiceTimes.of("r", Millis(120)).observe(Millis(100), Now);
  ForwardRun R = run(route(ServiceName("a")), Millis(40));
  RunOutput Out = R.begin(Shared, Now);
  CHECK(Out.Start.empty());
  CHECK(provesNotRun(own(Out).Code));
}

TEST_CASE_FIXTURE(ShardFixture, "a retry too late to be answered is not sent") {
  for (int I = 0; I < 60; ++I)
    ServiceTimes.of("r", Millis(120)).observe(Millis(100), Now);
  ForwardRun R = run(route(ServiceName("a")), Millis(120));
  REQUIRE(R.begin(Shared, Now).Start.size() == 1);
  RunOutput Out =
      R.replied(Shared, 0, ended(SendStatus::Lost), Now + Millis(70));
  CHECK(Out.Start.empty());
  REQUIRE(Out.Answer);
  CHECK_FALSE(provesNotRun(own(Out).Code));
}

TEST_CASE_FIXTURE(ShardFixture,
                  "once a part has run, the others wait for room") {
  ServiceInfo Info{ServiceName("d"), 100};
  ReplicaCriteria C;
  C.Service = &Info;
  C.ServiceTime = Millis(10);
  std::vector<std::pair<ReplicaPtr, Instant>> Held;
  while (ReplicaPtr R = Replicas.choose(C, 0, Now)) {
    R->sendStarted(Now);
    R->loadReported({2, 9, 2}, Now);
    Held.emplace_back(R, Now);
  }
  ForwardRun R = search(1.0);
  Instant Began = Now;
  CHECK(R.begin(Shared, Now).Start.size() == 3);
  answerThree(R);
  CHECK_FALSE(tickUntil(R, Began + Millis(50)).Answer);
  Held.front().first->sendEnded(Held.front().second, SendStatus::Answered,
                                Millis(10), Now);
  RunOutput Out = tickUntil(R, Began + Millis(60));
  REQUIRE(Out.Start.size() == 1);
  CHECK(merged(R.replied(Shared, Out.Start.front().Send, answered(), Now))
            .Missing == 0);
}
