// Guards against requests that a stopping daemon accepts and then cuts off.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

/// Actions may take longer than the stop.
struct LongActions : FrontFixture {
  LongActions() {
    nlohmann::json C = config(8);
    C["routes"][1]["timeout_ms"] = 5000;
    Store.put("config", "main", C);
    Set.StopGrace = Millis(2500);
  }

  /// The replica of actions answers after \p Work.
  void take(Duration Work) {
    Pay.Instead = [this, Work](const WireConnectionPtr &C,
                               const WireRequest &) {
      Loop.after(Work, [C] {
        WireReply R;
        R.Headers = {{"Server-Stamp", "i-3.1"}};
        R.Body = "booked";
        C->reply(R);
      });
      return true;
    };
  }
  void book(const char *Id, const char *DeadlineMs,
            std::optional<HttpReply> &Got) {
    HttpRequest R;
    R.Method = "POST";
    R.To = Set.Callers;
    R.Path = "/p/book";
    R.Headers = {
        {"Host", "a.example"}, {"Request-Id", Id}, {"Deadline-Ms", DeadlineMs}};
    R.Body = "lane 4";
    R.Timeout = Seconds(6);
    Http.send(std::move(R), [&Got](HttpReply A) { Got = std::move(A); });
  }
  void stop() {
    Daemon->requestStop([this] {
      Gone = true;
      Daemon.reset(); // As the end of the process.
    });
  }

  bool Gone = false;
};

} // namespace

TEST_CASE_FIXTURE(LongActions, "an action that may outlast the stop is refused "
                               "as not run, and one that fits is run") {
  start();
  stop();
  runFor(Millis(500));
  take(Seconds(4));
  std::optional<HttpReply> Long, Short;
  book("q-1", "5000", Long);
  runUntil([&] { return Long.has_value() || !Pay.Seen.empty(); });
  CHECK(Pay.Seen.empty());
  take(Millis(700));
  book("q-2", "1000", Short);
  runUntil([&] { return Gone; });
  runUntil([&] { return Long.has_value() && Short.has_value(); });
  CHECK(Long->Status == 503);
  CHECK(Long->Body.find("SS2004") != std::string::npos);
  CHECK(headerValue(Long->Headers, "Retry-After").empty());
  CHECK(Short->Status == 200);
}

TEST_CASE_FIXTURE(LongActions, "an action from before the stop that outlasts "
                               "it gets an answer, not a closed connection") {
  start();
  take(Seconds(4));
  std::optional<HttpReply> Got;
  book("q-1", "5000", Got);
  runUntil([&] { return !Pay.Seen.empty(); });
  Instant Began = Loop.now();
  stop();
  runUntil([&] { return Gone; });
  CHECK(Loop.now() - Began < Set.StopGrace);
  runUntil([&] { return Got.has_value(); });
  CHECK(Got->Status == 504);
  CHECK(Got->Body.find("SS3004") != std::string::npos);
}
