// What callers see when this fails: a large change is late on hosts with small
// links, or any change is late on all hosts below one that hears nothing. What
// happens: a peer says that it has read more. To ask it at once throws away
// the answer that is on its way; never to ask it waits for a source that is
// deaf.
#include "shallotshift/front.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

struct CatchUpFixture {
  CatchUp C;
  Instant Now{Seconds(1000)};

  /// Calls each 100 ms for \p For; how often another source was to be asked.
  unsigned asked(bool Behind, bool Progressing, Duration For) {
    unsigned Times = 0;
    for (Instant End = Now + For; Now < End; Now += Millis(100))
      Times += C.shouldSwitch(Behind, Progressing, Now);
    return Times;
  }
};

} // namespace

TEST_CASE_FIXTURE(CatchUpFixture, "the patience begins with the first word") {
  CHECK(asked(false, false, Seconds(20)) == 0);
  CHECK(asked(true, false, CatchUpTimeout) == 0);
  CHECK(C.shouldSwitch(true, false, Now));
}

TEST_CASE_FIXTURE(CatchUpFixture, "what arrives is waited for") {
  CHECK(asked(true, true, Seconds(20)) == 0);
  CHECK(asked(true, false, CatchUpTimeout) <= 1);
}

TEST_CASE_FIXTURE(CatchUpFixture,
                  "a silent source is left, one after another") {
  CHECK(asked(true, false, CatchUpTimeout * 4 + Millis(400)) == 4);
}

TEST_CASE_FIXTURE(CatchUpFixture, "who has caught up begins anew") {
  asked(true, false, CatchUpTimeout - Millis(100));
  CHECK(asked(false, false, Millis(100)) == 0);
  CHECK(asked(true, false, CatchUpTimeout) == 0);
}
