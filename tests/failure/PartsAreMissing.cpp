// What the caller sees: shards fail, hang or are gone, and the answer says what
// it lacks, in time, or is an error at once when too much is lacking. What
// happens: sends are lost, rejected or stay open; others are tried within the
// route's attempts; when the objective is about to pass, what is there counts.
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
  /// Answers of the first three parts.
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

TEST_CASE_FIXTURE(ShardFixture, "near replicas are asked first") {
  ForwardRun R = search();
  RunOutput Out = R.begin(Shared, Now);
  REQUIRE(Out.Start.size() == 4);
  for (const StartSend &S : Out.Start)
    CHECK(S.To->distance() == Distance::SameZone);
}

TEST_CASE_FIXTURE(ShardFixture, "a straggler is asked for again elsewhere") {
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

TEST_CASE_FIXTURE(ShardFixture,
                  "in time and partial goes before late and whole") {
  ForwardRun R = search();
  Instant Began = Now;
  R.begin(Shared, Now);
  answerThree(R);
  RunOutput Out = tickUntil(R, Began + Millis(119));
  CHECK(merged(Out).Missing == 1);
  CHECK(merged(Out).Signatures.size() == 3);
}

TEST_CASE_FIXTURE(ShardFixture, "below the least share it waits for the rest") {
  ForwardRun R = search(1.0);
  Instant Began = Now;
  R.begin(Shared, Now);
  answerThree(R);
  CHECK_FALSE(tickUntil(R, Began + Millis(300)).Answer);
  CHECK(merged(R.replied(Shared, 3, answered(), Now)).Missing == 0);
}

TEST_CASE_FIXTURE(ShardFixture, "the deadline ends it with an error") {
  ForwardRun R = search(1.0);
  Instant Began = Now;
  R.begin(Shared, Now);
  answerThree(R);
  RunOutput Out = tickUntil(R, Began + Millis(800));
  CHECK(own(Out).Code == ResultCode::DeadlineExceeded);
}

TEST_CASE_FIXTURE(ShardFixture, "a part that cannot be had ends it at once") {
  ForwardRun R = search(1.0);
  R.begin(Shared, Now);
  RunOutput Out;
  // Both replicas that may run it lose the reply.
  Out = R.replied(Shared, 3, ended(SendStatus::Lost), Now + Millis(3));
  REQUIRE(Out.Start.size() == 1);
  Out = R.replied(Shared, 4, ended(SendStatus::Lost), Now + Millis(30));
  CHECK(own(Out).Code == ResultCode::ConnectionClosed);
}

TEST_CASE_FIXTURE(ShardFixture, "a part without a signature is no part") {
  ForwardRun R = search(1.0);
  R.begin(Shared, Now);
  RunOutput Out = R.replied(Shared, 0, answered("x", 200, ""), Now + Millis(3));
  CHECK(Out.Start.size() == 1);
  CHECK_FALSE(Out.Answer);
}

TEST_CASE_FIXTURE(ShardFixture, "a failure with a signature is no part") {
  ForwardRun R = search(1.0);
  R.begin(Shared, Now);
  CHECK(
      R.replied(Shared, 0, answered("x", 500), Now + Millis(3)).Start.size() ==
      1);
}

TEST_CASE_FIXTURE(ShardFixture, "a shard without replicas is refused at once") {
  for (const char *Zone : {"here", "there", "yonder"})
    add(std::string("d") + Zone, "d", Zone, true);
  ForwardRun R = search(1.0);
  RunOutput Out = R.begin(Shared, Now);
  CHECK(Out.Start.empty());
  CHECK(provesNotRun(own(Out).Code));
  CHECK(own(Out).RetryAfter > Duration(0));
  // Where three of four are enough, it is answered without it.
  ForwardRun Partial = search(0.75);
  CHECK(Partial.begin(Shared, Now).Start.size() == 3);
}

TEST_CASE_FIXTURE(ShardFixture,
                  "work that a caller left ends within half a second") {
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
                  "what is handed to a replica shrinks with the time") {
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
                  "without room anywhere it is refused soon, not held") {
  // Every replica has as many sends as this daemon may have connections, and
  // says that requests wait there, so that no more are tried.
  for (const char *Shard : {"a", "b", "c", "d"}) {
    ServiceInfo Info{ServiceName(Shard), 100};
    ReplicaCriteria C;
    C.Service = &Info;
    C.Work = Millis(10);
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
                  "nothing is sent that cannot be answered in time") {
  // What is left of the caller's time is less than half of the work takes.
  for (int I = 0; I < 60; ++I)
    Work.of("r", Millis(120)).observe(Millis(100));
  ForwardRun R = run(route(ServiceName("a")), Millis(40));
  RunOutput Out = R.begin(Shared, Now);
  CHECK(Out.Start.empty());
  CHECK(provesNotRun(own(Out).Code));
}

TEST_CASE_FIXTURE(ShardFixture, "a retry too late to be answered is not sent") {
  for (int I = 0; I < 60; ++I)
    Work.of("r", Millis(120)).observe(Millis(100));
  ForwardRun R = run(route(ServiceName("a")), Millis(120));
  REQUIRE(R.begin(Shared, Now).Start.size() == 1);
  RunOutput Out =
      R.replied(Shared, 0, ended(SendStatus::Lost), Now + Millis(70));
  CHECK(Out.Start.empty());
  REQUIRE(Out.Answer);
  CHECK_FALSE(provesNotRun(own(Out).Code));
}

TEST_CASE_FIXTURE(ShardFixture, "once a part ran, the others wait for room") {
  ServiceInfo Info{ServiceName("d"), 100};
  ReplicaCriteria C;
  C.Service = &Info;
  C.Work = Millis(10);
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
