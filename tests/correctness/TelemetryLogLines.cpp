// One event is one JSON object on one line, whatever its values hold; a flood
// of one event is cut and says how much was left out.
#include "shallotshift/telemetry.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace shallot;

TEST_CASE("an event is a JSON object with its fields in order") {
  CHECK(formatEvent(LogLevel::Info, "config_installed",
                    {{"gen", "12"}, {"from", "entry 1"}, {"note", ""}}) ==
        R"({"level":"info","event":"config_installed","gen":"12",)"
        R"("from":"entry 1","note":""})");
  std::string Quoted =
      formatEvent(LogLevel::Error, "e", {{"q", "say \"hi\" \\"}});
  CHECK(Quoted == R"({"level":"error","event":"e","q":"say \"hi\" \\"})");
  CHECK(nlohmann::json::parse(Quoted)["q"] == "say \"hi\" \\");
}

TEST_CASE("the host stands on every line") {
  setLogHost("entry-1");
  CHECK(formatEvent(LogLevel::Warn, "e", {}) ==
        R"({"level":"warn","host":"entry-1","event":"e"})");
  setLogHost("");
}

TEST_CASE(
    "a flood of one event is cut, and the next line counts what is gone") {
  LogThrottle T;
  Instant Now{Seconds(100)};
  unsigned Written = 0;
  for (int I = 0; I < 1000; ++I)
    Written += T.admit(LogLevel::Info, "failed", Now).has_value();
  CHECK(Written == LogThrottle::LinesASecond);
  // Another event still has room.
  CHECK(T.admit(LogLevel::Info, "installed", Now) == 0);
  CHECK(T.admit(LogLevel::Info, "failed", Now + Seconds(1)) ==
        1000 - LogThrottle::LinesASecond);
  CHECK(T.admit(LogLevel::Info, "failed", Now + Seconds(1)) == 0);
}

TEST_CASE("all events together are bounded, but errors are never left out") {
  LogThrottle T;
  Instant Now{Seconds(100)};
  unsigned Written = 0;
  for (int I = 0; I < 1000; ++I)
    Written +=
        T.admit(LogLevel::Info, "e" + std::to_string(I), Now).has_value();
  CHECK(Written == LogThrottle::MaxLinesASecond);
  for (int I = 0; I < 1000; ++I)
    CHECK(T.admit(LogLevel::Error, "broken", Now).has_value());
}

TEST_CASE("a line that could not be written counts as left out") {
  LogThrottle T;
  Instant Now{Seconds(100)};
  CHECK(T.admit(LogLevel::Info, "failed", Now) == 0);
  T.lost("failed");
  CHECK(T.admit(LogLevel::Info, "failed", Now) == 1);
}
