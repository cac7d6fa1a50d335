// A host crashes without notice. New callers must not be sent to it; those that
// cached its address use their next one. Direct and indirect probes go
// unanswered, it is suspected, and every daemon marks it Failed on its own
// after the suspicion timeout.
#include "FleetBag.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

TEST_CASE("a crashed member is Failed everywhere within seconds") {
  for (const auto &Case : {std::pair(6, 7), std::pair(48, 11)}) {
    int Members = Case.first;
    int WorstSeconds = Case.second;
    CAPTURE(Members);
    FleetBag Bag(static_cast<std::size_t>(Members), 2);
    Bag.startMet();
    Bag.run(Seconds(5));
    for (int Crash = 0; Crash < 12; ++Crash) {
      Bag.crash(4);
      Duration Took = Bag.untilAgreed(Seconds(30));
      CHECK(Took < Seconds(WorstSeconds));
      CHECK(Bag.seen(0, 4) == MemberState::Failed);
      Bag.start(4);
      CHECK(Bag.untilAgreed(Seconds(30)) < Seconds(5));
    }
    for (const BagEvent &E : Bag.Events)
      if (E.Event.Kind == MembershipEventKind::Failed)
        CHECK(E.Event.Who.Host == FleetBag::host(4));
  }
}

TEST_CASE("events name the suspect, the accuser and the evidence") {
  FleetBag Bag(6, 2);
  Bag.startMet();
  Bag.crash(4);
  Bag.run(Seconds(10));
  auto First = std::ranges::find_if(Bag.Events, [](const BagEvent &E) {
    return E.Event.Kind == MembershipEventKind::Suspected;
  });
  REQUIRE(First != Bag.Events.end());
  CHECK(First->Event.Who.Host == FleetBag::host(4));
  CHECK(First->Event.By == FleetBag::host(First->Node));
  CHECK(First->Event.Evidence.find("3 of 3 helpers had none either") !=
        std::string::npos);
  CHECK(eventName(First->Event.Kind) == "member_suspected");
}

TEST_CASE("a quarter of the members crash at once") {
  FleetBag Bag(40, 9);
  Bag.startMet();
  Bag.run(Seconds(5));
  for (std::size_t N = 30; N < 40; ++N)
    Bag.crash(N);
  CHECK(Bag.untilAgreed(Seconds(60)) < Seconds(20));
  CHECK(Bag.countEvents(MembershipEventKind::Failed) == 300);
}

TEST_CASE("a tombstone expires and does not come back") {
  MembershipOptions Options;
  Options.TombstoneTime = Seconds(30);
  FleetBag Bag(6, 2, Options);
  Bag.startMet();
  Bag.crash(4);
  Bag.run(Seconds(60));
  for (std::size_t N = 0; N < 6; ++N)
    if (Bag.up(N))
      CHECK(Bag.seen(N, 4) == std::nullopt);
  CHECK(Bag.countEvents(MembershipEventKind::Joined) == 0);
}
