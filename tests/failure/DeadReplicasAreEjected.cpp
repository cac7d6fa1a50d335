// Guards against callers that pay for a dead replica: one that refuses
// connections, or accepts requests and answers nothing. After one failed
// connection or a few lost sends in a row it is ejected and probed with a
// connection of its own. When the probe succeeds it is used again, and one more
// loss ejects it. A pause does not.
#include "ForwardFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

struct ReplicaFixture {
  Instant Now{Seconds(1000)};
  Replica R{{UpstreamId("r"),
             ServiceName("a"),
             {"10.0.0.1", 1},
             AvailabilityZone("z"),
             Region("z"),
             2,
             false,
             {}},
            Distance::SameZone,
            std::make_shared<RttEstimate>(Micros(400)),
            Now};
  Duration ServiceTime = Millis(10);

  void send(SendStatus How, Duration Took) {
    Instant Started = Now;
    R.sendStarted(Now);
    Now += Took;
    R.sendEnded(Started, How, ServiceTime, Now);
  }
};

} // namespace

TEST_CASE_FIXTURE(ReplicaFixture, "a refused connection ejects a replica") {
  send(SendStatus::NotSent, Millis(1));
  CHECK(R.ejected());
  CHECK_FALSE(R.takeProbe(Now));
  Now += Millis(250);
  CHECK(R.takeProbe(Now));
  CHECK_FALSE(R.takeProbe(Now));
  R.probeEnded(true, Now);
  CHECK_FALSE(R.ejected());
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "ejections get longer while probes fail, up to a bound") {
  send(SendStatus::NotSent, Millis(1));
  Duration Longest{};
  for (int I = 0; I < 8; ++I) {
    Instant From = Now;
    while (!R.takeProbe(Now))
      Now += Millis(10);
    Longest = std::max(Longest, Now - From);
    R.probeEnded(false, Now);
  }
  CHECK(Longest >= Seconds(2));
  CHECK(Longest <= Seconds(4));
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "consecutive losses eject a replica, a single one does not") {
  send(SendStatus::Lost, Millis(5));
  send(SendStatus::Answered, Millis(10));
  send(SendStatus::Lost, Millis(5));
  send(SendStatus::Lost, Millis(5));
  CHECK_FALSE(R.ejected());
  send(SendStatus::Lost, Millis(5));
  CHECK(R.ejected());
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "sends that take longer than any pause count as lost") {
  for (int I = 0; I < 3; ++I)
    send(SendStatus::Abandoned, Millis(400));
  CHECK(R.ejected());
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "sends abandoned within a pause do not count") {
  for (int I = 0; I < 9; ++I)
    send(SendStatus::Abandoned, Millis(150));
  CHECK_FALSE(R.ejected());
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "a paused replica looks slow until it answers") {
  Duration Usual = R.predicted(ServiceTime, Now);
  Instant Started = Now;
  R.sendStarted(Now);
  Now += Millis(60);
  CHECK(R.stalled(ServiceTime, Now));
  CHECK(R.predicted(ServiceTime, Now) > Usual + Millis(100));
  Now += Millis(90);
  R.sendEnded(Started, SendStatus::Answered, ServiceTime, Now);
  CHECK_FALSE(R.stalled(ServiceTime, Now));
  // The effect of one late answer decays within seconds.
  CHECK(R.predicted(ServiceTime, Now + Seconds(5)) < Usual + Millis(10));
}

TEST_CASE_FIXTURE(ReplicaFixture,
                  "fast failures do not make a replica look fast") {
  Duration Usual = R.predicted(ServiceTime, Now);
  for (int I = 0; I < 10; ++I)
    send(SendStatus::Rejected, Millis(1));
  CHECK(R.predicted(ServiceTime, Now) > Usual + Millis(50));
}
