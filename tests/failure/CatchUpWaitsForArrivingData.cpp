// Guards against late changes, either on hosts with slow links or on all hosts
// below a stale source. A peer reports a newer revision: switching to it
// immediately discards the reply that is arriving, and never switching waits
// for a source that receives no updates.
#include "shallotshift/front.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

struct CatchUpFixture {
  CatchUp C;
  Instant Now{Seconds(1000)};

  /// Calls every 100 ms for \p For; returns how often a switch was due.
  unsigned switches(bool Behind, bool Progressing, Duration For) {
    unsigned Times = 0;
    for (Instant End = Now + For; Now < End; Now += Millis(100))
      Times += C.shouldSwitch(Behind, Progressing, Now);
    return Times;
  }
};

} // namespace

TEST_CASE_FIXTURE(CatchUpFixture,
                  "the timeout starts with the first newer revision") {
  CHECK(switches(false, false, Seconds(20)) == 0);
  CHECK(switches(true, false, CatchUpTimeout) == 0);
  CHECK(C.shouldSwitch(true, false, Now));
}

TEST_CASE_FIXTURE(CatchUpFixture, "a reply that is arriving is waited for") {
  CHECK(switches(true, true, Seconds(20)) == 0);
  CHECK(switches(true, false, CatchUpTimeout) <= 1);
}

TEST_CASE_FIXTURE(CatchUpFixture,
                  "silent sources are replaced one after another") {
  CHECK(switches(true, false, CatchUpTimeout * 4 + Millis(400)) == 4);
}

TEST_CASE_FIXTURE(CatchUpFixture, "the timeout restarts after catching up") {
  switches(true, false, CatchUpTimeout - Millis(100));
  CHECK(switches(false, false, Millis(100)) == 0);
  CHECK(switches(true, false, CatchUpTimeout) == 0);
}
