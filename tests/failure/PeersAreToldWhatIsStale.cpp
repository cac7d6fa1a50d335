// What callers see when this fails: a route that was changed is served as it
// was, on every host at once. What happens: the watch of one kind hears nothing
// while the other's answers come; peers that are told "fresh" of the first wait
// for it and for each other, and nobody asks the store.
#include "FrontFixture.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

/// How old this daemon says that its word on \p Kind is.
Duration ageOf(FrontFixture &Bed, const std::string &Kind) {
  FeedRequest Q;
  Q.Kind = Kind;
  auto Page = readPage(Bed.ask(Bed.Set.Peers, feedTarget(Q)));
  REQUIRE_MESSAGE(Page, Page.error().Detail);
  return Page->Age;
}

} // namespace

TEST_CASE_FIXTURE(FrontFixture, "the age of a kind is that kind's own") {
  start();
  CHECK(ageOf(*this, "config") < MaxFeedAge);
  Store.setFaults({.BusyKind = "config"});
  runFor(MaxFeedAge + Seconds(2));
  CHECK(ageOf(*this, "config") > MaxFeedAge);
  CHECK(ageOf(*this, "servers") < MaxFeedAge);
}

TEST_CASE_FIXTURE(FrontFixture,
                  "one who waits for a stale kind is told at once") {
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
  R.Timeout = Seconds(2); // Far below the wait.
  auto Got = readChanges(exchange(Http, std::move(R)));
  REQUIRE_MESSAGE(Got, Got.error().Detail);
  CHECK(Got->Changes.empty());
  CHECK(Got->Age > MaxFeedAge);
}

TEST_CASE_FIXTURE(FrontFixture,
                  "one who passes the word on knows how old it is") {
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
  // Nothing changes; the answer comes when the store was heard from.
  auto Got = readChanges(exchange(Http, std::move(R)));
  REQUIRE_MESSAGE(Got, Got.error().Detail);
  CHECK(Got->Changes.empty());
  CHECK(Got->Age < Millis(500));
}

TEST_CASE_FIXTURE(FrontFixture,
                  "a list waits for a daemon that is still reading") {
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
