// Guards against text of callers that no strict encoder takes.
#include "FrontFixture.h"
#include "front/FeedWire.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

const std::string Latin1 = "/p/K\xf6k";

} // namespace

TEST_CASE("objects with such text are passed on to peers") {
  KindObject O{Latin1, {1, 5}, {{"path", Latin1}}};
  KindPage P{{O}, false, {1, 5}, {}};
  CHECK(writePage(P).find("/p/K") != std::string::npos);
  KindChanges C{{{O, false}}, {1, 5}, {}};
  CHECK(writeChanges(C).find("/p/K") != std::string::npos);
}

TEST_CASE_FIXTURE(FrontFixture,
                  "a crash under such a path is recorded in the store") {
  start();
  auto F = attempt([&] {
    return RequestFingerprint::parse("0123456789abcdef0123456789abcdef");
  });
  REQUIRE(F);
  RequestAttempt Name{*F, "q-1", "pay", Latin1 + std::string(200, '\xc3')};
  Daemon->quarantine().crashed(Name, {"i-3/1", ServiceName("p")});
  Daemon->quarantine().attemptFailed(Name, false, true);
  std::size_t Stored = 0;
  for (int Tries = 0; Tries < 100 && Stored == 0; ++Tries) {
    runFor(Millis(20));
    bool Listed = false;
    Client.list("shallotshift-quarantine", "", [&](const auto &Page) {
      Listed = true;
      Stored = Page ? Page->Objects.size() : 0;
    });
    runUntil([&] { return Listed; });
  }
  CHECK(Stored == 1);
  CHECK(get("/x/1").Status == 200);
}
