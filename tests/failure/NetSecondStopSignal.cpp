// Guards against a second stop signal that nothing reacts to.
#include "NetFixture.h"

#include <csignal>

using namespace shallot;

TEST_CASE_FIXTURE(NetFixture, "each stop signal is heard") {
  unsigned Heard = 0;
  Loop.onStopSignal([&Heard] { ++Heard; });
  for (unsigned Count = 1; Count <= 3; ++Count) {
    std::raise(SIGTERM);
    runFor(Millis(20));
    CHECK(Heard == Count);
  }
}
