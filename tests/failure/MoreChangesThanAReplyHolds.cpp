// Callers are answered by an old configuration until the store forgets its
// history, 20 s and more. What happens: a daemon cannot reach the store while a
// large configuration changes several times. The store then answers its watch
// with every version since, which is more than a reply may hold; the daemon
// drops the reply, asks the same again and drops that too.
#include "FrontBed.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

constexpr std::size_t LargeConfig = 900000;
/// Together above what the client takes in one reply.
constexpr int Changes = 6;

struct MissedBed : FrontBed {
  Random Rng{5};
  std::uint64_t Version = 0;
  KindWatch<wire::WireStore, EventLoop> Watch{Client, Loop, "config",
                                              {},     Rng,  hooks()};

  KindWatchHooks hooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      for (const KindObject &O : Now)
        Version = O.Content.at("version");
    };
    H.Changed = [this](const KindChange &C) {
      Version = C.Object.Content.at("version");
    };
    H.Away = [](const Error &) {};
    H.Back = [] {};
    H.Advanced = [] {};
    return H;
  }
};

} // namespace

TEST_CASE_FIXTURE(MissedBed, "who missed too much lists anew") {
  REQUIRE(LargeConfig * Changes > HttpClientLimits().MaxReplyBytes);
  Watch.start();
  runUntil([this] { return Watch.listed(); });
  Store.setFaults({.Mode = StoreMode::Busy});
  auto Next = config(8);
  Next["note"] = std::string(LargeConfig, 'x');
  for (int N = 0; N < Changes; ++N) {
    Next["version"] = 8 + N;
    Store.put("config", "main", Next);
  }
  Store.setFaults({});
  std::uint64_t Before = Store.calls();
  runUntil([&] { return Version == 13 || Store.calls() > Before + 10; });
  CHECK(Version == 13);
}
