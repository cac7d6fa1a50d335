// Guards against a change that is late since connections to the store hang.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

/// Time from a change until the daemon that watches the store has it. The
/// daemons that read from it need a second of the 3 s that a change may take.
constexpr Duration WatcherBound = Seconds(2);
constexpr int KeptConnections = 6;

struct SilentStore : FrontFixture {
  SilentStore() { start(); }

  /// Returns when the configuration has just been asked for: a silence that
  /// begins then is noticed last.
  void awaitWatch() {
    std::uint64_t Before = Store.watches("config");
    runUntil([&] { return Store.watches("config") > Before; });
  }
  /// Leaves idle connections to the store behind.
  void keepConnections() {
    int Left = KeptConnections;
    for (int N = 0; N < KeptConnections; ++N)
      Client.list("config", {}, [&](const Attempt<KindPage> &) { --Left; });
    runUntil([&] { return Left == 0; });
  }
  /// Changes the configuration; the time until the daemon has it.
  Duration change() {
    int Version = static_cast<int>(Daemon->configVersion()) + 1;
    Store.put("config", "main", config(Version));
    Instant Start = Loop.now();
    runUntil([&] { return Daemon->configVersion() == std::uint64_t(Version); });
    Duration Took = Loop.now() - Start;
    MESSAGE("the change was read after ", toMillis(Took), " ms");
    return Took;
  }
};

} // namespace

TEST_CASE_FIXTURE(SilentStore, "connections fall silent in calm") {
  keepConnections();
  awaitWatch();
  Store.silenceConnections();
  CHECK(change() <= WatcherBound);
}

TEST_CASE_FIXTURE(SilentStore, "connections fall silent after a slow store") {
  Store.setFaults({.SlowMs = 500});
  runFor(Seconds(5));
  keepConnections();
  awaitWatch();
  Store.setFaults({});
  Store.silenceConnections();
  CHECK(change() <= WatcherBound);
}

TEST_CASE_FIXTURE(SilentStore, "connections fall silent in an outage") {
  keepConnections();
  Store.setFaults({.Mode = StoreMode::Busy});
  runFor(Seconds(4));
  keepConnections();
  Store.silenceConnections();
  Store.setFaults({});
  CHECK(change() <= WatcherBound);
}

TEST_CASE_FIXTURE(SilentStore, "a slow store is waited for") {
  Store.setFaults({.SlowMs = 600});
  awaitWatch();
  std::uint64_t Before = Store.watches("config");
  runFor(Seconds(8));
  // Each call takes its wait and 0.6 s; a call that is renewed meanwhile would
  // be asked for again sooner.
  CHECK(Store.watches("config") - Before <= 4);
  CHECK(Daemon->fleet().self().Store != StoreAccess::Refused);
}
