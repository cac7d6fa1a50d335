// Guards against requests to replicas in an availability zone that is being
// evacuated.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

TEST_CASE_FIXTURE(
    FrontFixture,
    "an evacuated zone gets no requests until the evacuation ends") {
  start();
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 200);
  Store.put("evacuations", "z", nlohmann::json::object());
  runFor(Millis(400));
  HttpReply R = get("/p/book", "q-2", "POST", "lane 4");
  CHECK(R.Status == 503);
  CHECK_FALSE(headerValue(R.Headers, "Retry-After").empty());
  CHECK(get("/x/1", "q-3").Status == 503);
  CHECK(Pay.Seen.size() == 1);
  CHECK(One.Seen.empty());
  Store.remove("evacuations", "z");
  runFor(Millis(400));
  CHECK(get("/p/book", "q-4", "POST", "lane 4").Status == 200);
}

TEST_CASE_FIXTURE(FrontFixture, "a starting daemon respects an evacuation") {
  Store.put("evacuations", "z", nlohmann::json::object());
  start();
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 503);
  CHECK(Pay.Seen.empty());
}

TEST_CASE_FIXTURE(FrontFixture,
                  "an evacuation is found after the store has dropped "
                  "its history") {
  start();
  Store.put("evacuations", "z", nlohmann::json::object());
  Store.dropHistory();
  runFor(Millis(800));
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 503);
  CHECK(Pay.Seen.empty());
}

TEST_CASE_FIXTURE(FrontFixture,
                  "the evacuation of another zone has no effect") {
  start();
  Store.put("evacuations", "elsewhere", nlohmann::json::object());
  Store.put("evacuations", "z2", nullptr);
  runFor(Millis(400));
  CHECK(get("/p/book", "q-1", "POST", "lane 4").Status == 200);
}
