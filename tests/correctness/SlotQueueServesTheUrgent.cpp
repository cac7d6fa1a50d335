// SlotQueue serves the best priority first, and the earliest deadline among
// equal priorities. It refuses a request that cannot meet its deadline while
// the sender has time to try another upstream. Every entry ends exactly once.
#include "AdmissionLedger.h"

using namespace shallot;

namespace {

const Instant Start{};

SlotRequest request(TicketId Id, unsigned Priority, Duration DeadlineIn) {
  return {Id, Priority, Start + DeadlineIn};
}

} // namespace

TEST_CASE("priority first, then the earliest deadline") {
  SlotQueue Q(Share{1, 2});
  CHECK(Q.offer(request(1, 5, Seconds(1)), Start) ==
        AdmissionDecision::start());
  CHECK(Q.offer(request(2, 5, Seconds(1)), Start) == AdmissionDecision::wait());
  CHECK(Q.offer(request(3, 5, Millis(900)), Start) ==
        AdmissionDecision::wait());
  CHECK(Q.offer(request(4, 0, Seconds(2)), Start) == AdmissionDecision::wait());
  TicketId Running = 1;
  for (TicketId Next : {4, 3, 2}) {
    Q.done(Running, Millis(5));
    CHECK(Q.poll(Start) == AdmissionEvents{{Next, AdmissionDecision::start()}});
    Running = Next;
  }
  CHECK(Q.report().InWork == 1);
  CHECK(Q.cancel(2));
  CHECK_FALSE(Q.cancel(2));
  CHECK(Q.report().InWork == 0);
}

TEST_CASE("a request is refused once it cannot finish by its deadline") {
  SlotQueue Q(Share{1, 2});
  Q.offer(request(1, 5, Seconds(1)), Start);
  CHECK(Q.offer(request(2, 5, Millis(50)), Start) == AdmissionDecision::wait());
  REQUIRE(Q.nextExpiry());
  CHECK(*Q.nextExpiry() < Start + Millis(50));
  CHECK(Q.poll(*Q.nextExpiry() - Micros(1)).empty());
  AdmissionEvents Out = Q.poll(*Q.nextExpiry());
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Final.Code == ResultCode::WouldMissDeadline);
  CHECK(Out[0].Final.RetryAfter >= MinRetryAfter);
  AdmissionDecision TooLate = Q.offer(request(3, 5, Millis(7)), Start);
  CHECK(TooLate.Code == ResultCode::WouldMissDeadline);
}

TEST_CASE("a full queue evicts only for a better priority") {
  SlotQueue Q(Share{1, 2});
  for (TicketId Id = 0; Id <= MaxSlotWaiting; ++Id)
    Q.offer(request(Id, 5, Seconds(20)), Start);
  CHECK(Q.report().Waiting == MaxSlotWaiting);
  CHECK(Q.offer(request(100, 5, Seconds(9)), Start).Code ==
        ResultCode::QueueFull);
  CHECK(Q.offer(request(101, 4, Seconds(9)), Start) ==
        AdmissionDecision::wait());
  AdmissionEvents Out = Q.poll(Start);
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Id == MaxSlotWaiting);
  CHECK(Out[0].Final.Code == ResultCode::QueueFull);
  CHECK(Q.report().Waiting == MaxSlotWaiting);
}

TEST_CASE(
    "without a slot waiting requests are refused, running ones still count") {
  SlotQueue Q(Share{1, 2});
  Q.offer(request(1, 5, Seconds(1)), Start);
  Q.offer(request(2, 5, Seconds(1)), Start);
  Q.setShare({});
  AdmissionEvents Out = Q.poll(Start);
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Final.Code == ResultCode::NoHolder);
  CHECK(Q.offer(request(3, 5, Seconds(1)), Start).Code == ResultCode::NoHolder);
  Q.setShare({1, 2});
  CHECK(Q.offer(request(4, 5, Seconds(1)), Start) == AdmissionDecision::wait());
  Q.done(1, Millis(5));
  CHECK(Q.poll(Start) == AdmissionEvents{{4, AdmissionDecision::start()}});
}

TEST_CASE("random operations: never above the share, every entry ends once") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Random Rng(Seed);
    SlotQueue Q(Share{2, 3});
    unsigned Slots = 2;
    Instant Now;
    fixture::AdmissionLedger L;
    for (int Step = 0; Step < 2000; ++Step) {
      Now += Micros(below(Rng, 4000));
      std::size_t Before = L.Running.size();
      std::uint64_t What = below(Rng, 8);
      if (What == 0) {
        Slots = unsigned(below(Rng, 4));
        Q.setShare({Slots, Slots + 1});
      } else if (What == 1 && !L.Waiting.empty()) {
        CHECK(Q.cancel(L.takeWaiting()));
      } else if (What < 4 && !L.Running.empty()) {
        Q.done(L.takeRunning(), Micros(below(Rng, 9000)));
      } else {
        TicketId Id = L.next();
        Instant Deadline = Now + Millis(below(Rng, 200));
        L.offered(Id, Q.offer({Id, unsigned(below(Rng, 10)), Deadline}, Now));
      }
      L.happened(Q.poll(Now));
      CHECK(L.Running.size() <= std::max<std::size_t>(Slots, Before));
      CHECK(Q.report().Waiting == L.Waiting.size());
      CHECK(Q.report().InWork == L.Running.size());
    }
    Q.setShare({});
    L.happened(Q.poll(Now));
    L.checkAllEndedOnce();
  }
}
