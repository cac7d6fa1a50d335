// Names that come from callers can't forge a log line or a series, and can't
// fill the memory, the log or the metrics page.
#include "shallotshift/telemetry.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace shallot;

namespace {

std::size_t linesWith(const std::string &Text, const std::string &Start) {
  std::size_t Lines = 0;
  for (std::size_t At = Text.find("\n" + Start); At != std::string::npos;
       At = Text.find("\n" + Start, At + 1))
    ++Lines;
  return Lines;
}

} // namespace

TEST_CASE("a value cannot start a second log line") {
  std::string Line = formatEvent(
      LogLevel::Info, "e", {{"name", "x\n{\"event\":\"forged\"}\x01\x7f\xff"}});
  CHECK(Line ==
        R"({"level":"info","event":"e","name":"x\n{\"event\":\"forged\"})"
        R"(\u0001\u007f\u00ff"})");
}

TEST_CASE("a log line has a longest length") {
  std::string Huge(1 << 20, 'x');
  std::string Escapes(1 << 20, '\n');
  for (const std::string &Value : {Huge, Escapes}) {
    std::string Line =
        formatEvent(LogLevel::Info, "e", {{"a", Value}, {"b", Value}});
    CHECK(Line.size() <= MaxLogLineBytes);
    CHECK(Line.size() > MaxLogLineBytes / 2);
    // Still one whole object, which says that it was cut.
    auto Read = nlohmann::json::parse(Line);
    CHECK(Read["a"].get<std::string>().ends_with("..."));
  }
}

TEST_CASE("a label value cannot forge a series") {
  Metrics M;
  M.count("queries_total", {{"tenant", "a\"} 99\nforged 1\\"}});
  CHECK(M.text() == "# TYPE queries_total counter\n"
                    "queries_total{tenant=\"a\\\"} 99\\nforged 1\\\\\"} 1\n");
}

TEST_CASE("label sets beyond the bound are counted together") {
  Metrics M;
  constexpr int Names = 10000;
  for (int I = 0; I < Names; ++I) {
    Labels L{{"tenant", "t" + std::to_string(I)}, {"class", "desk"}};
    M.count("queries_total", L);
    M.latency("query_seconds", L, Millis(5));
  }
  std::string Text = M.text();
  CHECK(linesWith(Text, "queries_total{") == MaxSeries);
  CHECK(linesWith(Text, "query_seconds_count{") == MaxSeries);
  Labels Other{{"tenant", "other"}, {"class", "other"}};
  CHECK(M.value("queries_total", Other) == Names - (MaxSeries - 1.0));
  CHECK(M.value("queries_total", {{"tenant", "t0"}, {"class", "desk"}}) == 1);
}

TEST_CASE("a long label value is cut, and still finds its series") {
  Metrics M;
  Labels Long{{"tenant", std::string(100000, 'n')}};
  M.count("queries_total", Long);
  M.count("queries_total", Long);
  CHECK(M.text().size() < 300);
  CHECK(M.text().find("} 2\n") != std::string::npos);
}

TEST_CASE("a label value that is not UTF-8 does not spoil the page") {
  Metrics M;
  M.count("queries_total", {{"tenant", "a\xff\xc3"}});
  CHECK(M.text().find("tenant=\"a??\"") != std::string::npos);
}
