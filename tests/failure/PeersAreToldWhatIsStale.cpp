// Guards against an outdated route being served on all hosts. The watch of one
// kind receives nothing while replies for another kind arrive. If peers were
// told that the first kind is fresh, they would wait for it and for each other,
// and no daemon would call the store.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

/// Age that this daemon reports for its data of \p Kind.
Duration ageOf(FrontFixture &Bed, const std::string &Kind) {
  FeedRequest Q;
  Q.Kind = Kind;
  auto Page = readPage(Bed.ask(Bed.Set.Peers, feedTarget(Q)));
  REQUIRE_MESSAGE(Page, Page.error().Detail);
  return Page->Age;
}

} // namespace

TEST_CASE_FIXTURE(FrontFixture, "the age is kept per kind") {
  start();
  CHECK(ageOf(*this, "config") < MaxFeedAge);
  Store.setFaults({.BusyKind = "config"});
  runFor(MaxFeedAge + Seconds(2));
  CHECK(ageOf(*this, "config") > MaxFeedAge);
  CHECK(ageOf(*this, "servers") < MaxFeedAge);
}

TEST_CASE_FIXTURE(FrontFixture,
                  "a watch request for a stale kind is answered immediately") {
  start();
  Store.setFaults({.BusyKind = "config"});
  runFor(MaxFeedAge + Seconds(2));
  FeedRequest Q;
  Q.Kind = "config";
  Q.Since = 100000;
  Q.Wait = Seconds(20);
  HttpRequest R;
  R.To = Set.Peers;
  R.Path = feedTarget(Q);
  R.Timeout = Seconds(2); // Much shorter than the wait.
  auto Got = readChanges(exchange(Http, std::move(R)));
  REQUIRE_MESSAGE(Got, Got.error().Detail);
  CHECK(Got->Changes.empty());
  CHECK(Got->Age > MaxFeedAge);
}

TEST_CASE_FIXTURE(FrontFixture, "a relaying peer is told the age of the data") {
  start();
  FeedRequest Q;
  Q.Kind = "servers";
  Q.Since = 100000;
  Q.Wait = Seconds(20);
  Q.Relays = true;
  HttpRequest R;
  R.To = Set.Peers;
  R.Path = feedTarget(Q);
  R.Timeout = MaxFeedAge;
  // There is no change; the reply is sent when the store has answered.
  auto Got = readChanges(exchange(Http, std::move(R)));
  REQUIRE_MESSAGE(Got, Got.error().Detail);
  CHECK(Got->Changes.empty());
  CHECK(Got->Age < Millis(500));
}

TEST_CASE_FIXTURE(FrontFixture,
                  "a list request waits until the daemon has read the store") {
  Store.setFaults({.Mode = StoreMode::Busy});
  open();
  runFor(Millis(200));
  FeedRequest Q;
  Q.Kind = "servers";
  CHECK(readPage(ask(Set.Peers, feedTarget(Q))).error().Code ==
        ResultCode::PeerUnreachable);
  Q.Wait = Seconds(5);
  std::optional<HttpReply> Got;
  HttpRequest R;
  R.To = Set.Peers;
  R.Path = feedTarget(Q);
  R.Timeout = Seconds(6);
  Http.send(std::move(R), [&](HttpReply A) { Got = std::move(A); });
  runFor(Millis(100));
  CHECK_FALSE(Got);
  Store.setFaults({});
  runUntil([&] { return Got.has_value(); });
  auto Page = readPage(*Got);
  REQUIRE_MESSAGE(Page, Page.error().Detail);
  CHECK(Page->Objects.size() == 3);
}
