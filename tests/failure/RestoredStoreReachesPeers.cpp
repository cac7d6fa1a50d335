// Guards against peers that wait for changes of a state that the store has
// lost.
#include "NetFixture.h"
#include "shallotshift/front.h"

using namespace shallot;

namespace {

struct PeerFixture : NetFixture {
  TimerQueue Timers{Loop};
  KindCache Cache;
  FeedServer Feed{Timers,
                  [this](const std::string &) {
                    return FeedView{&Cache, true};
                  },
                  [](const std::string &) { return Duration(0); }};
  Endpoint At = freeEndpoint("127.0.0.1");
  std::unique_ptr<HttpServer> Server =
      serve(Loop, At, [this](const ServerRequest &R, const Responder &A) {
        Feed.handle(R, A);
      });
  HttpClient Http{Loop};
  std::optional<HttpReply> Reply;

  PeerFixture() { Cache.replaceAll({{"main", {1, 40}, 8}}, {1, 40}); }

  void request(std::uint64_t Since, std::optional<std::uint64_t> Epoch) {
    FeedRequest Q{"config", {}, Since, Epoch, Seconds(20)};
    HttpRequest R;
    R.To = At;
    R.Path = feedTarget(Q);
    R.Timeout = Seconds(30);
    Http.send(std::move(R), [this](HttpReply A) { Reply = std::move(A); });
    runFor(Millis(100));
  }
  void restore() {
    Cache.replaceAll({{"main", {2, 31}, 9}}, {2, 31});
    Feed.advanced("config");
    runFor(Millis(100));
  }
};

} // namespace

TEST_CASE_FIXTURE(PeerFixture, "a waiting peer is told at once to list again") {
  request(40, 1);
  CHECK_FALSE(Reply);
  restore();
  REQUIRE(Reply);
  CHECK(readChanges(*Reply).error().Code == ResultCode::PlatformHistoryGone);
}

TEST_CASE_FIXTURE(PeerFixture, "a peer that asks later is told the same") {
  restore();
  request(30, 1); // A number that the new epoch has passed.
  REQUIRE(Reply);
  CHECK(readChanges(*Reply).error().Code == ResultCode::PlatformHistoryGone);
}

TEST_CASE_FIXTURE(PeerFixture, "a peer that is ahead does not wait") {
  request(31, 2);
  REQUIRE(Reply);
  CHECK(readChanges(*Reply).error().Code == ResultCode::PeerUnreachable);
}

TEST_CASE_FIXTURE(PeerFixture, "a peer without epochs does not list for ever") {
  restore();
  request(31, std::nullopt);
  CHECK_FALSE(Reply);
  Cache.apply({{"main", {2, 32}, 10}, false});
  Cache.advance({2, 32});
  Feed.advanced("config");
  runFor(Millis(100));
  REQUIRE(Reply);
  CHECK(readChanges(*Reply)->Changes.size() == 1);
}

TEST_CASE("a reply without an epoch is of epoch 0") {
  HttpReply R;
  R.Status = 200;
  R.Body = R"({"changes":[],"revision":7,"age_ms":1})";
  CHECK(readChanges(R)->Revision == StoreRevision(0, 7));
}
