// Guards against daemons that keep each other so busy that changes and replies
// are seconds late. Two daemons have lost the store and read from each other;
// each reply makes the other reply immediately, thousands of times per second,
// without any new data.
#include "NetFixture.h"
#include "shallotshift/front.h"

using namespace shallot;

namespace {

struct RelayLoopFixture : NetFixture {
  TimerQueue Timers{Loop};
  KindCache Cache;
  Instant Heard = Loop.now();
  FeedServer Feed{Timers,
                  [this](const std::string &) {
                    return FeedView{&Cache, true};
                  },
                  [this](const std::string &) { return Loop.now() - Heard; }};
  Endpoint At = freeEndpoint("127.0.0.1");
  std::unique_ptr<HttpServer> Server =
      serve(Loop, At, [this](const ServerRequest &R, const Responder &A) {
        Feed.handle(R, A);
      });
  HttpClient Http{Loop};
  unsigned Answers = 0;

  /// Sends a request, and another one after each reply, as a daemon does.
  void pollForever(bool Relays) {
    FeedRequest Q;
    Q.Kind = "config";
    Q.Since = Cache.revision().Number;
    Q.Wait = Seconds(20);
    Q.Relays = Relays;
    HttpRequest R;
    R.To = At;
    R.Path = feedTarget(Q);
    R.Timeout = Seconds(30);
    Http.send(std::move(R), [this, Relays](const HttpReply &) {
      ++Answers;
      pollForever(Relays);
    });
  }

  /// Simulates a daemon that receives a reply every few milliseconds.
  void advanceFor(Duration For, bool Fresh) {
    for (Instant End = Loop.now() + For; Loop.now() < End;) {
      if (Fresh)
        Heard = Loop.now();
      Feed.advanced("config");
      runFor(Millis(5));
    }
  }
};

} // namespace

TEST_CASE_FIXTURE(RelayLoopFixture, "unchanged data is relayed once") {
  pollForever(true);
  runUntil([this] { return Feed.waiting() == 1; });
  advanceFor(Millis(800), false);
  CHECK(Answers == 1);
}

TEST_CASE_FIXTURE(RelayLoopFixture, "fresh data is relayed at a limited rate") {
  pollForever(true);
  runUntil([this] { return Feed.waiting() == 1; });
  advanceFor(Millis(1000), true);
  CHECK(Answers >= 2);
  CHECK(Answers <= 6);
}

TEST_CASE_FIXTURE(RelayLoopFixture,
                  "a peer that does not relay waits for a change") {
  pollForever(false);
  runUntil([this] { return Feed.waiting() == 1; });
  advanceFor(Millis(500), true);
  CHECK(Answers == 0);
}
