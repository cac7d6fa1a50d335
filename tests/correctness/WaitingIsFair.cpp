// Waiting requests of one class are divided between organisations by weight and
// cost.
#include "shallotshift/limits.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

const Instant Start{Seconds(1)};
const CallerClass Any("any");

/// One request at a time; \p Limit may wait.
struct OneSlot {
  explicit OneSlot(unsigned Limit = 64, Duration Wait = Seconds(60)) {
    ClassPolicy P;
    P.QueueLimit = Limit;
    P.QueueWait = Wait;
    A.setClasses({{Any, P}}, Millis(20));
  }
  AdmissionDecision offer(const char *Organisation, double Weight = 1,
                          double Cost = 1) {
    Owners[++Last] = Organisation;
    AdmissionDecision D = A.offer(
        {Last, Any, Now + Seconds(100), {Tenant(Organisation), Weight, Cost}},
        Now);
    if (D.What == AdmissionAction::Start)
      Running = Last;
    return D;
  }
  /// Ends the running request; returns the organisation that starts next.
  std::string next() {
    Now += Millis(1);
    A.done(Running, {.Latency = Millis(1)}, Now);
    for (const AdmissionEvent &E : A.poll(Now))
      if (E.Final.What == AdmissionAction::Start) {
        Running = E.Id;
        return Owners[E.Id];
      }
    return "";
  }
  std::map<std::string, int> drain(int Count) {
    std::map<std::string, int> Starts;
    for (int I = 0; I < Count; ++I)
      ++Starts[next()];
    return Starts;
  }

  Admission A{{}, Millis(20), {.Initial = 1, .Min = 1, .Max = 1}};
  Instant Now = Start;
  TicketId Last = 0;
  TicketId Running = 0;
  std::map<TicketId, std::string> Owners;
};

} // namespace

TEST_CASE("a long queue of one organisation does not delay another") {
  OneSlot S;
  for (int I = 0; I < 20; ++I)
    S.offer("hot");
  S.offer("small");
  CHECK(S.next() != "");
  CHECK(S.drain(2)["small"] <= 1);
  OneSlot T;
  for (int I = 0; I < 20; ++I)
    T.offer("hot");
  T.next();
  T.offer("small");
  CHECK(T.drain(2)["small"] == 1);
}

TEST_CASE("starts follow weights and costs") {
  OneSlot S;
  for (int I = 0; I < 20; ++I) {
    S.offer("heavy", 3);
    S.offer("light", 1);
    S.offer("costly", 1, 4);
  }
  auto Starts = S.drain(34);
  CHECK(Starts["heavy"] >= 18);
  CHECK(Starts["light"] >= 6);
  CHECK(Starts["costly"] >= 2);
  CHECK(Starts["costly"] <= 4);
}

TEST_CASE("an idle organisation saves nothing") {
  OneSlot S;
  for (int I = 0; I < 30; ++I)
    S.offer("busy");
  S.drain(15);
  for (int I = 0; I < 10; ++I)
    S.offer("late");
  auto Starts = S.drain(10);
  CHECK(Starts["late"] >= 5);
  CHECK(Starts["late"] <= 6);
}

TEST_CASE("use of idle room is not held against anybody") {
  OneSlot S;
  for (int I = 0; I < 50; ++I) {
    S.offer("early");
    S.next();
  }
  S.offer("early");
  for (int I = 0; I < 10; ++I) {
    S.offer("early");
    S.offer("late");
  }
  auto Starts = S.drain(10);
  CHECK(Starts["early"] >= 5);
}

TEST_CASE("a full queue refuses the organisation that holds most of it") {
  OneSlot S(4);
  S.offer("hot");
  for (int I = 0; I < 4; ++I)
    CHECK(S.offer("hot") == AdmissionDecision::wait());
  CHECK(S.offer("hot").Code == ResultCode::QueueFull);
  CHECK(S.offer("small") == AdmissionDecision::wait());
  AdmissionEvents E = S.A.poll(S.Now);
  REQUIRE(E.size() == 1);
  CHECK(E[0].Id == 5); // The newest that waited.
  CHECK(E[0].Final.Code == ResultCode::QueueFull);
  CHECK(E[0].Final.RetryAfter >= MinRetryAfter);
}

TEST_CASE("a newcomer waits for its own organisation's requests only") {
  OneSlot S(64, Millis(10));
  S.offer("hot");
  S.next();
  S.offer("hot");
  for (int I = 0; I < 7; ++I)
    CHECK(S.offer("hot") == AdmissionDecision::wait());
  CHECK(S.offer("hot").Code == ResultCode::Overloaded);
  CHECK(S.offer("small") == AdmissionDecision::wait());
  AdmissionEvents E = S.A.poll(S.Now);
  for (const AdmissionEvent &One : E)
    CHECK(S.Owners[One.Id] == "hot");
}

TEST_CASE("callers that leave the queue are charged for their place") {
  OneSlot S;
  S.offer("hot");
  for (int I = 0; I < 10; ++I) {
    S.offer("leaves");
    CHECK(S.A.cancel(S.Last));
  }
  for (int I = 0; I < 12; ++I) {
    S.offer("leaves");
    S.offer("stays");
  }
  CHECK(S.drain(10)["stays"] == 10);
}

TEST_CASE("extra sends are charged") {
  OneSlot S;
  for (int I = 0; I < 40; ++I) {
    S.offer("hedges");
    S.offer("plain");
  }
  std::map<std::string, int> Starts;
  for (int I = 0; I < 30; ++I) {
    S.Now += Millis(1);
    LoadSample L{.Latency = Millis(1)};
    L.ExtraSends = S.Owners[S.Running] == "hedges" ? 1 : 0;
    S.A.done(S.Running, L, S.Now);
    for (const AdmissionEvent &E : S.A.poll(S.Now))
      if (E.Final.What == AdmissionAction::Start) {
        S.Running = E.Id;
        ++Starts[S.Owners[E.Id]];
      }
  }
  CHECK(Starts["plain"] >= 18);
  CHECK(Starts["hedges"] >= 8);
}
