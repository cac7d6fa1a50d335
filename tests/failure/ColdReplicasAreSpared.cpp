// Guards against crashing a replica that has just started by sending it more
// requests than it tolerates while it is cold.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

struct ColdReplica : FrontFixture {
  /// Registers Pay as cold for \p Ms; its service tolerates \p PerSecond
  /// requests per second meanwhile.
  void makeCold(unsigned Ms, double PerSecond) {
    nlohmann::json C = config(8);
    for (nlohmann::json &S : C["services"])
      S["warmup_per_s"] = PerSecond;
    Store.put("config", "main", C);
    nlohmann::json Entry = Pay.registration("ready");
    Entry["warmup_left_ms"] = Ms;
    Store.put("servers", Pay.id(), Entry);
  }

  /// Sends \p Count requests one after another; returns how many were served.
  int served(int Count) {
    int Served = 0;
    for (int I = 0; I < Count; ++I)
      Served +=
          get("/p/book", "q-" + std::to_string(I), "POST", "x").Status == 200;
    return Served;
  }
};

} // namespace

TEST_CASE_FIXTURE(ColdReplica,
                  "a cold replica gets no more than it tolerates") {
  start();
  // A daemon sends nothing to a cold replica until it knows its fleet.
  runFor(Millis(3200));
  makeCold(5000, 2);
  runFor(Millis(400));
  served(30);
  CHECK(Pay.Seen.size() <= 8);
  CHECK_FALSE(Pay.Seen.empty());
}

TEST_CASE_FIXTURE(ColdReplica,
                  "the limit applies when a replica becomes cold again") {
  start();
  CHECK(served(5) == 5);
  makeCold(5000, 2);
  runFor(Millis(400));
  std::size_t Before = Pay.Seen.size();
  served(30);
  CHECK(Pay.Seen.size() - Before <= 8);
}

TEST_CASE_FIXTURE(ColdReplica, "a warm replica is not limited") {
  makeCold(300, 2);
  start();
  runFor(Millis(1200));
  CHECK(served(20) == 20);
}

TEST_CASE_FIXTURE(ColdReplica, "a service without a rate is not limited") {
  makeCold(5000, 0);
  start();
  CHECK(served(20) == 20);
}
