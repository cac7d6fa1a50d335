// What callers see when this fails: a route that was changed is served as it
// was, on every host at once. What happens: the watch of one kind hears nothing
// while the other's answers come; peers that are told "fresh" of the first wait
// for it and for each other, and nobody asks the store.
#include "FrontBed.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

/// How old this daemon says that its word on \p Kind is.
Duration ageOf(FrontBed &Bed, const std::string &Kind) {
  FeedQuestion Q;
  Q.Kind = Kind;
  auto Page = readPage(Bed.ask(Bed.Set.Peers, feedTarget(Q)));
  REQUIRE_MESSAGE(Page, Page.error().Detail);
  return Page->Age;
}

} // namespace

TEST_CASE_FIXTURE(FrontBed, "the age of a kind is that kind's own") {
  start();
  CHECK(ageOf(*this, "config") < MostFeedAge);
  Store.setFaults({.BusyKind = "config"});
  runFor(MostFeedAge + Seconds(2));
  CHECK(ageOf(*this, "config") > MostFeedAge);
  CHECK(ageOf(*this, "servers") < MostFeedAge);
}

TEST_CASE_FIXTURE(FrontBed, "one who waits for a stale kind is told at once") {
  start();
  Store.setFaults({.BusyKind = "config"});
  runFor(MostFeedAge + Seconds(2));
  FeedQuestion Q;
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
  CHECK(Got->Age > MostFeedAge);
}
