// Every request offered to Admission is started, refused or cancelled exactly
// once, and it is refused as soon as it cannot start in time.
#include "AdmissionLedger.h"
#include "AllocationFixture.h"

using namespace shallot;
using namespace shallot::fixture;

namespace {

const Instant Start{};
const CallerClass Desk("desk");
const CallerClass Pull("pull");

Preset twoClasses() {
  ClassPolicy First;
  First.Priority = 0;
  First.QueueLimit = 8;
  First.QueueWait = Millis(50);
  ClassPolicy Last;
  Last.Priority = 9;
  Last.QueueLimit = 20;
  Last.QueueWait = Seconds(5);
  Last.Deadline = Seconds(30);
  return preset({{Desk, First}, {Pull, Last}});
}

ConcurrencyLimitOptions fixedLimit(double N) {
  return {.Initial = N, .Min = N, .Max = N};
}

LoadSample took(Duration D) { return {.Latency = D}; }

} // namespace

TEST_CASE("the better priority starts first and the other is not starved") {
  Admission A(twoClasses(), fixedLimit(1));
  A.offer({0, Desk, Start + Seconds(1)}, Start);
  for (TicketId Id = 1; Id <= 3; ++Id)
    CHECK(A.offer({Id, Pull, Start + Seconds(30)}, Start) ==
          AdmissionDecision::wait());
  TicketId Running = 0;
  unsigned Pulls = 0;
  for (TicketId Id = 10; Id < 60; ++Id) {
    A.offer({Id, Desk, Start + Seconds(1)}, Start);
    A.done(Running, took(Micros(10)), Start);
    AdmissionEvents Out = A.poll(Start);
    REQUIRE(Out.size() == 1);
    Running = Out[0].Id;
    Pulls += Running <= 3 ? 1 : 0;
  }
  CHECK(Pulls == 2); // MinClassShare of 50 starts.
}

TEST_CASE("a full queue and an expected late start are refused on arrival") {
  Admission A(twoClasses(), fixedLimit(1));
  A.offer({0, Desk, Start + Seconds(1)}, Start);
  A.done(0, took(Millis(20)), Start); // Limit 1, 20 ms each.
  A.offer({1, Desk, Start + Seconds(1)}, Start);
  CHECK(A.offer({2, Desk, Start + Seconds(1)}, Start) ==
        AdmissionDecision::wait());
  AdmissionDecision Late = A.offer({3, Desk, Start + Seconds(1)}, Start);
  CHECK(Late.Code == ResultCode::Overloaded); // 40 ms exceeds 0.7 of 50 ms.
  CHECK(Late.RetryAfter >= MinRetryAfter);
  AdmissionDecision Short = A.offer({4, Desk, Start + Millis(60)}, Start);
  CHECK(Short.Code == ResultCode::WouldMissDeadline);
  for (TicketId Id = 10; Id < 30; ++Id)
    CHECK(A.offer({Id, Pull, Start + Seconds(30)}, Start) ==
          AdmissionDecision::wait());
  CHECK(A.offer({30, Pull, Start + Seconds(30)}, Start).Code ==
        ResultCode::QueueFull);
}

TEST_CASE("a waiting request is refused when its QueueWait is over") {
  Admission A(twoClasses(), fixedLimit(1));
  A.offer({0, Desk, Start + Seconds(1)}, Start);
  A.offer({1, Desk, Start + Seconds(1)}, Start);
  CHECK(A.nextExpiry() == Start + Millis(50));
  AdmissionEvents Out = A.poll(Start + Millis(50));
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Final.Code == ResultCode::Overloaded);
}

TEST_CASE("requests of a class missing from the new preset are refused") {
  Admission A(twoClasses(), fixedLimit(1));
  A.offer({0, Desk, Start + Seconds(1)}, Start);
  A.offer({1, Pull, Start + Seconds(30)}, Start);
  A.setPreset(preset({{Desk, ClassPolicy()}}));
  AdmissionEvents Out = A.poll(Start);
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].Final.Code == ResultCode::UnknownClass);
  CHECK(A.offer({2, Pull, Start + Seconds(30)}, Start).Code ==
        ResultCode::UnknownClass);
}

TEST_CASE("random operations: never above the limit, every entry ends once") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Random Rng(Seed);
    Admission A(twoClasses(), {.Initial = 6, .Max = 12});
    Instant Now;
    AdmissionLedger L;
    for (int Step = 0; Step < 3000; ++Step) {
      Now += Micros(below(Rng, 5000));
      std::size_t Before = L.Running.size();
      std::uint64_t What = below(Rng, 10);
      if (What == 0 && !L.Waiting.empty()) {
        CHECK(A.cancel(L.takeWaiting()));
      } else if (What < 4 && !L.Running.empty()) {
        LoadSample S = took(Millis(below(Rng, 60)));
        S.Overloaded = below(Rng, 20) == 0;
        A.done(L.takeRunning(), S, Now);
      } else {
        TicketId Id = L.next();
        CallerClass Class = below(Rng, 2) == 0 ? Desk : Pull;
        Instant Deadline = Now + Millis(below(Rng, 3000));
        L.offered(Id, A.offer({Id, Class, Deadline}, Now));
      }
      L.happened(A.poll(Now));
      CHECK(L.Running.size() <= std::max(A.report().Limit, Before));
      CHECK(A.report().InFlight == L.Running.size());
      CHECK(A.report().Waiting == L.Waiting.size());
      CHECK((L.Waiting.empty() || A.nextExpiry() > Now));
    }
    L.happened(A.poll(Now + MaxDeadline));
    L.checkAllEndedOnce();
  }
}

TEST_CASE("random operations of organisations: every entry ends once") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Random Rng(Seed);
    Admission A(twoClasses(), {.Initial = 6, .Max = 12});
    Instant Now;
    AdmissionLedger L;
    for (int Step = 0; Step < 3000; ++Step) {
      Now += Micros(below(Rng, Step / 500 % 2 == 0 ? 3000 : 9000));
      std::size_t Before = L.Running.size();
      std::uint64_t What = below(Rng, 10);
      if (What == 0 && !L.Waiting.empty()) {
        CHECK(A.cancel(L.takeWaiting()));
      } else if (What < 4 && !L.Running.empty()) {
        LoadSample S = took(Millis(below(Rng, 60)));
        S.ExtraSends = static_cast<double>(below(Rng, 3)) / 2;
        A.done(L.takeRunning(), S, Now);
      } else {
        AdmissionRequest R;
        R.Id = L.next();
        R.Class = below(Rng, 2) == 0 ? Desk : Pull;
        R.Deadline = Now + Millis(below(Rng, 3000));
        std::uint64_t Organisation = below(Rng, 1 + below(Rng, 100));
        R.Claim = {Tenant("org-" + std::to_string(Organisation)),
                   1 + static_cast<double>(Organisation % 3),
                   1 + static_cast<double>(below(Rng, 10)) / 3};
        L.offered(R.Id, A.offer(R, Now));
      }
      L.happened(A.poll(Now));
      CHECK(L.Running.size() <= std::max(A.report().Limit, Before));
      CHECK(A.report().InFlight == L.Running.size());
      CHECK(A.report().Waiting == L.Waiting.size());
      CHECK((L.Waiting.empty() || A.nextExpiry() > Now));
    }
    L.happened(A.poll(Now + MaxDeadline));
    L.checkAllEndedOnce();
  }
}
