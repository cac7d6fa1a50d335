// Guards against a daemon that stays on an old configuration until the store
// drops its history, 20 s or more. While the daemon cannot reach the store, a
// large configuration changes several times. The store then replies to the
// watch with all versions since, which exceeds the size limit of a reply; the
// daemon drops the reply, repeats the request and drops that reply too.
#include "ConfigWatch.h"
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

constexpr std::size_t LargeConfig = 900000;
/// Enough changes to exceed the reply limit of the client.
constexpr int Changes = 6;

} // namespace

TEST_CASE_FIXTURE(FrontFixture, "a daemon that missed too much lists again") {
  REQUIRE(LargeConfig * Changes > HttpClientLimits().MaxReplyBytes);
  ConfigWatch Watch(Client, Loop);
  runUntil([&] { return Watch.version() == 7; });
  Store.setFaults({.Mode = StoreMode::Busy});
  auto Next = config(8);
  Next["note"] = std::string(LargeConfig, 'x');
  for (int N = 0; N < Changes; ++N) {
    Next["version"] = 8 + N;
    Store.put("config", "main", Next);
  }
  Store.setFaults({});
  std::uint64_t Before = Store.calls();
  runUntil(
      [&] { return Watch.version() == 13 || Store.calls() > Before + 10; });
  CHECK(Watch.version() == 13);
}
