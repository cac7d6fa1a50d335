// Guards against confirmed changes that a restore of the store undoes.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

struct RestoredFixture : FrontFixture {
  /// Restores the copy and lets the daemon notice it.
  void restore() {
    Store.restoreCopy();
    runFor(Millis(400));
  }
  /// The configuration as this daemon passes it on to peers.
  KindPage toldToPeers() {
    FeedRequest Q;
    Q.Kind = "config";
    auto Page = readPage(ask(Set.Peers, feedTarget(Q)));
    REQUIRE_MESSAGE(Page, Page.error().Detail);
    return std::move(*Page);
  }
  Attempt<KindWriteReply> write(StoreRevision If) {
    std::optional<Attempt<KindWriteReply>> Got;
    Client.writeObject("shallotshift-quarantine", "x", "text", If,
                       [&](Attempt<KindWriteReply> R) { Got = std::move(R); });
    CHECK_FALSE(Got); // Never before the call has returned.
    runUntil([&] { return Got.has_value(); });
    return std::move(*Got);
  }
};

} // namespace

TEST_CASE_FIXTURE(RestoredFixture, "a version in force stays in force") {
  start();
  Store.takeCopy();
  Store.put("config", "main", config(8));
  runFor(Millis(200));
  REQUIRE(Daemon->configVersion() == 8);
  restore();
  CHECK(Daemon->configVersion() == 8);
  KindPage Told = toldToPeers();
  REQUIRE(Told.Objects.size() == 1);
  CHECK(Told.Objects[0].Content["version"] == 8);
  CHECK(Told.Revision.Epoch == 2);
  Store.put("config", "main", config(9));
  runFor(Millis(200));
  CHECK(Daemon->configVersion() == 9);
}

TEST_CASE_FIXTURE(RestoredFixture, "a replica that was leaving gets nothing") {
  start();
  Store.takeCopy();
  Pay.announce("draining");
  runFor(Millis(400));
  restore();
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 503);
  CHECK(Pay.Seen.empty());
}

TEST_CASE_FIXTURE(RestoredFixture, "a replica that left gets nothing") {
  start();
  Store.takeCopy();
  Store.remove("servers", "i-3");
  runFor(Seconds(4)); // Past the time in which it may stand in.
  restore();
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 503);
  CHECK(Pay.Seen.empty());
}

TEST_CASE_FIXTURE(RestoredFixture, "a replica that registered lately is used") {
  Store.remove("servers", "i-3");
  start();
  Store.takeCopy();
  Pay.announce("ready");
  runFor(Millis(400));
  restore();
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 200);
  Pay.announce("ready");
  runFor(Seconds(3));
  CHECK(get("/p/book", "q-2", "POST", "lane 4").Status == 200);
}

TEST_CASE_FIXTURE(RestoredFixture, "an evacuation stays until ordered again") {
  start();
  Store.takeCopy();
  Store.put("evacuations", "z", nlohmann::json::object());
  runFor(Millis(400));
  restore();
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 503);
  Store.put("evacuations", "z", nlohmann::json::object());
  runFor(Millis(400));
  Store.remove("evacuations", "z");
  runFor(Millis(400));
  CHECK(get("/p/book", "q-2", "POST", "lane 4").Status == 200);
}

TEST_CASE_FIXTURE(RestoredFixture, "an evacuation that has ended stays ended") {
  Store.put("evacuations", "z", nlohmann::json::object());
  start();
  Store.takeCopy();
  Store.remove("evacuations", "z");
  runFor(Millis(400));
  restore();
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 200);
}

TEST_CASE_FIXTURE(RestoredFixture, "a write of an ended epoch has no effect") {
  Store.put("shallotshift-quarantine", "x", "before");
  Store.takeCopy();
  StoreRevision Read = write({}).value().Now.value().Revision;
  REQUIRE(Read.Epoch == 1);
  Store.put("shallotshift-quarantine", "x", "lost");
  Store.restoreCopy();
  // The store has not told of its new epoch yet.
  CHECK(write(Read).error().Code == ResultCode::PlatformBadReply);
  std::uint64_t Calls = Store.calls();
  CHECK(write(Read).error().Code == ResultCode::PlatformConflict);
  CHECK(Store.calls() == Calls);
}

TEST_CASE_FIXTURE(RestoredFixture, "a store that names no epoch is followed") {
  Store.setFaults({.HideEra = true});
  start();
  Store.put("config", "main", config(8));
  runFor(Millis(200));
  CHECK(Daemon->configVersion() == 8);
  Store.setFaults({});
  Store.put("config", "main", config(9));
  runFor(Millis(400));
  CHECK(Daemon->configVersion() == 9);
  Store.setFaults({.HideEra = true});
  Store.put("config", "main", config(10));
  runFor(Millis(400));
  CHECK(Daemon->configVersion() == 10);
}
