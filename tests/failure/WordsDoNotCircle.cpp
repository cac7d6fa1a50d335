// What callers see when this fails: daemons so busy with each other that
// changes are in force seconds late and answers come late. What happens: two
// daemons have lost the store and ask each other; each answer lets the other
// one answer at once, thousands of times a second, with nothing new in any of
// them.
#include "NetFixture.h"
#include "shallotshift/front.h"

using namespace shallot;

namespace {

struct CircleFixture : NetFixture {
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

  /// Asks, and asks again whenever it is answered, as a daemon does.
  void askOn(bool Relays) {
    FeedRequest Q;
    Q.Kind = "config";
    Q.Since = Cache.revision();
    Q.Wait = Seconds(20);
    Q.Relays = Relays;
    HttpRequest R;
    R.To = At;
    R.Path = feedTarget(Q);
    R.Timeout = Seconds(30);
    Http.send(std::move(R), [this, Relays](const HttpReply &) {
      ++Answers;
      askOn(Relays);
    });
  }

  /// The daemon takes in an answer every few milliseconds.
  void advanceFor(Duration For, bool WordsAreNew) {
    for (Instant End = Loop.now() + For; Loop.now() < End;) {
      if (WordsAreNew)
        Heard = Loop.now();
      Feed.advanced("config");
      runFor(Millis(5));
    }
  }
};

} // namespace

TEST_CASE_FIXTURE(CircleFixture, "an old word is passed on once") {
  askOn(true);
  runUntil([this] { return Feed.waiting() == 1; });
  advanceFor(Millis(800), false);
  CHECK(Answers == 1);
}

TEST_CASE_FIXTURE(CircleFixture,
                  "new words are passed on, but not all of them") {
  askOn(true);
  runUntil([this] { return Feed.waiting() == 1; });
  advanceFor(Millis(1000), true);
  CHECK(Answers >= 2);
  CHECK(Answers <= 6);
}

TEST_CASE_FIXTURE(CircleFixture, "who passes nothing on waits for a change") {
  askOn(false);
  runUntil([this] { return Feed.waiting() == 1; });
  advanceFor(Millis(500), true);
  CHECK(Answers == 0);
}
