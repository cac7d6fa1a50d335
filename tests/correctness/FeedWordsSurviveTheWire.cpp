// What one daemon tells another of the store arrives as it was.
#include "shallotshift/front.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

HttpReply reply(int Status, std::string Body) {
  HttpReply R;
  R.Status = Status;
  R.Body = std::move(Body);
  return R;
}

const KindObject Some{"n/1", 17, {{"a", {1, "two", nullptr}}}};

} // namespace

TEST_CASE("a page and changes are read as they were written") {
  KindPage P{{Some, {"m", 18, "text"}}, true, 40, Millis(12)};
  auto Page = readPage(reply(200, writePage(P)));
  REQUIRE_MESSAGE(Page, Page.error().Detail);
  CHECK(Page->Objects == P.Objects);
  CHECK(Page->More);
  CHECK(Page->Revision == 40);
  CHECK(Page->Age == Millis(12));

  KindChanges C{{{Some, true}, {{"m", 18, "x"}, false}}, 41, Millis(3)};
  auto Changes = readChanges(reply(200, writeChanges(C)));
  REQUIRE_MESSAGE(Changes, Changes.error().Detail);
  REQUIRE(Changes->Changes.size() == 2);
  CHECK(Changes->Changes[0].Object == Some);
  CHECK(Changes->Changes[0].Removed);
  CHECK_FALSE(Changes->Changes[1].Removed);
  CHECK(Changes->Revision == 41);
}

TEST_CASE("what is no answer is an error, never an empty list") {
  CHECK(readPage(reply(200, "{}")).error().Code == ResultCode::PeerBadMessage);
  CHECK(readPage(reply(200, "nonsense")).error().Code ==
        ResultCode::PeerBadMessage);
  CHECK(readPage(reply(503, "")).error().Code == ResultCode::PeerUnreachable);
  CHECK(readChanges(reply(410, "")).error().Code ==
        ResultCode::PlatformHistoryGone);
  HttpReply Lost;
  Lost.Failure = ResultCode::TransferTimeout;
  CHECK(readChanges(Lost).error().Code == ResultCode::PeerUnreachable);
}

TEST_CASE("questions survive their way as a path and a query") {
  FeedQuestion List{"servers", "i-7", std::nullopt, Millis(300)};
  FeedQuestion Watch{"config", "", 41, Millis(1500)};
  FeedQuestion Relay{"config", "", 41, Millis(1500), true};
  for (const FeedQuestion &Q : {List, Watch, Relay}) {
    std::string Target = feedTarget(Q);
    std::size_t At = Target.find('?');
    auto Read = readFeedQuestion(Target.substr(0, At), Target.substr(At + 1));
    REQUIRE(Read);
    CHECK(*Read == Q);
  }
  CHECK_FALSE(readFeedQuestion("/other/x", ""));
  CHECK(readFeedQuestion("/feed/x", "since=abc")->Since == std::nullopt);
}
