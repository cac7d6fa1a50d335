// A refused caller is told when to come back, a place is kept for it, and no
// more places are promised than will be free.
#include "limits/PromisedPlaces.h"
#include "shallotshift/limits.h"

#include <doctest/doctest.h>
#include <set>

using namespace shallot;
using namespace shallot::internal;

namespace {

const Instant Start{Seconds(10)};
const Tenant North("north");
const Tenant South("south");

std::optional<Instant> promise(PromisedPlaces &P, const Tenant &Who,
                               std::uint64_t Key, const PromiseRate &Rate,
                               Duration Longest = Seconds(1)) {
  return P.promise(Who, Key, Rate, Start + MinRetryAfter, Start + Longest);
}

} // namespace

TEST_CASE("each caller is promised another moment, at half of the share") {
  PromisedPlaces P;
  std::set<Instant> Moments;
  for (std::uint64_t Key = 1; Key <= 100; ++Key)
    if (auto At = promise(P, North, Key, {40, 200}))
      Moments.insert(*At);
  CHECK(Moments.size() == P.size());
  // 900 ms at 20 per second.
  CHECK(Moments.size() >= 18);
  CHECK(Moments.size() <= 19);
  CHECK(*Moments.begin() == Start + MinRetryAfter);
}

TEST_CASE("all organisations together are promised half of the starts") {
  PromisedPlaces P;
  unsigned Promised = 0;
  for (std::uint64_t Key = 1; Key <= 2000; ++Key) {
    Tenant Who("org-" + std::to_string(Key % 50));
    Promised += promise(P, Who, Key, {200, 200}) ? 1 : 0;
  }
  CHECK(Promised <= 100);
  CHECK(Promised >= 90);
}

TEST_CASE("only the caller that was told takes the place, once and in time") {
  PromisedPlaces P;
  std::optional<Instant> At = promise(P, North, 7, {40, 200});
  REQUIRE(At);
  CHECK_FALSE(P.redeem(8, *At));
  CHECK_FALSE(P.redeem(7, *At - Millis(20)));
  CHECK(P.redeem(7, *At + Millis(20)));
  CHECK_FALSE(P.redeem(7, *At + Millis(20)));
  At = promise(P, South, 9, {40, 200});
  REQUIRE(At);
  CHECK_FALSE(P.redeem(9, *At + MaxLateness + Millis(1)));
  CHECK(P.size() == 0);
}

TEST_CASE("nothing is promised without a rate or beyond the caller's time") {
  PromisedPlaces P;
  CHECK_FALSE(promise(P, North, 1, {0, 200}));
  CHECK_FALSE(promise(P, North, 1, {40, 200}, Millis(50)));
  CHECK(P.size() == 0);
}

TEST_CASE("a caller that comes back when it was told goes before newcomers") {
  ClassPolicy C;
  C.QueueWait = Millis(50);
  Admission A({{CallerClass("any"), C}}, Millis(20),
              {.Initial = 1, .Min = 1, .Max = 1});
  Instant Now = Start;
  TicketId Last = 0;
  TicketId Running = 0;
  auto Offer = [&](std::uint64_t Key) {
    AdmissionRequest R{++Last, CallerClass("any"), Now + Seconds(2), {}};
    R.Claim = {North, 1, 1, Key};
    AdmissionDecision D = A.offer(R, Now);
    if (D.What == AdmissionAction::Start)
      Running = Last;
    return D;
  };
  REQUIRE(Offer(1000).What == AdmissionAction::Start);
  // Ends the running request every 10 ms; the queue is never empty.
  auto Step = [&] {
    Now += Millis(10);
    A.done(Running, {.Latency = Millis(10)}, Now);
    for (const AdmissionEvent &E : A.poll(Now))
      if (E.Final.What == AdmissionAction::Start)
        Running = E.Id;
  };
  std::optional<Duration> Told;
  std::uint64_t Key = 0;
  while (!Told && Key < 100) {
    Step();
    while (!Told) {
      AdmissionDecision D = Offer(++Key);
      if (D.What == AdmissionAction::Refuse)
        Told = D.RetryAfter;
      A.poll(Now);
    }
  }
  Instant Return = Now + *Told;
  while (Now < Return) {
    Step();
    for (std::uint64_t I = 0; I < 5; ++I)
      Offer(5000 + Last);
    A.poll(Now);
  }
  REQUIRE(Offer(Key).What == AdmissionAction::Wait);
  TicketId Mine = Last;
  A.poll(Now);
  Step();
  CHECK(Running == Mine);
}

TEST_CASE("without an organisation nothing is promised") {
  ClassPolicy C;
  C.QueueWait = Millis(10);
  Admission A({{CallerClass("any"), C}}, Millis(20),
              {.Initial = 1, .Min = 1, .Max = 1});
  A.offer({1, CallerClass("any"), Start + Seconds(2), {}}, Start);
  A.done(1, {.Latency = Millis(20)}, Start);
  A.offer({2, CallerClass("any"), Start + Seconds(2), {}}, Start);
  for (TicketId Id = 3; Id < 50; ++Id) {
    AdmissionRequest R{Id, CallerClass("any"), Start + Seconds(2), {}};
    R.Claim.Key = Id;
    CHECK(A.offer(R, Start) ==
          AdmissionDecision::refuse(ResultCode::Overloaded, MinRetryAfter));
  }
}
