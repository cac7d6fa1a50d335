// Checks that feed requests and replies between daemons are decoded as they
// were encoded.
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

const KindObject Some{"n/1", {2, 17}, {{"a", {1, "two", nullptr}}}};

} // namespace

TEST_CASE("a page and changes are decoded as encoded") {
  KindPage P{{Some, {"m", {2, 18}, "text"}}, true, {2, 40}, Millis(12)};
  auto Page = readPage(reply(200, writePage(P)));
  REQUIRE_MESSAGE(Page, Page.error().Detail);
  CHECK(Page->Objects == P.Objects);
  CHECK(Page->More);
  CHECK(Page->Revision == StoreRevision(2, 40));
  CHECK(Page->Age == Millis(12));

  KindChanges C{
      {{Some, true}, {{"m", {2, 18}, "x"}, false}}, {2, 41}, Millis(3)};
  auto Changes = readChanges(reply(200, writeChanges(C)));
  REQUIRE_MESSAGE(Changes, Changes.error().Detail);
  REQUIRE(Changes->Changes.size() == 2);
  CHECK(Changes->Changes[0].Object == Some);
  CHECK(Changes->Changes[0].Removed);
  CHECK_FALSE(Changes->Changes[1].Removed);
  CHECK(Changes->Revision == StoreRevision(2, 41));
}

TEST_CASE("the age in the header overrides the age in the body") {
  HttpReply R = reply(200, writeChanges({{}, {2, 41}, Millis(3)}));
  R.Headers = {ageHeader(Millis(250))};
  CHECK(readChanges(R)->Age == Millis(251));
  for (const char *Bad : {"", "soon", "-4", "99999999999999999999"}) {
    R.Headers = {{"Feed-Age-Ms", Bad}};
    CHECK(readChanges(R)->Age == Millis(3));
  }
}

TEST_CASE("identical requests share one reply") {
  FeedReplyCache Answers;
  Instant Now{Seconds(50)};
  unsigned Made = 0;
  auto Ask = [&](std::uint64_t Revision) {
    return Answers.reply({"config", {}, StoreRevision(2, 4), {2, Revision}},
                         Now, [&] {
                           ++Made;
                           return std::string(5000, 'x');
                         });
  };
  ServerReply First = Ask(7);
  CHECK(First.Body.size() < 100);
  CHECK(Ask(7).Body == First.Body);
  CHECK(Made == 1);
  Ask(8);
  CHECK(Made == 2);
  Now += FeedReplyCache::KeepTime;
  Ask(7);
  CHECK(Made == 3);
  CHECK(Answers.size() == 1);
}

TEST_CASE("a small reply is not deflated") {
  FeedReplyCache Answers;
  ServerReply R = Answers.reply({"config", {}, StoreRevision(0, 4), {0, 7}},
                                Instant(), [] { return std::string("{}"); });
  CHECK(R.Body == "{}");
  CHECK(R.Headers.empty());
}

TEST_CASE("the number of cached replies is bounded") {
  FeedReplyCache Answers;
  for (std::uint64_t Since = 0; Since < 5 * FeedReplyCache::MaxEntries; ++Since)
    Answers.reply({"config", {}, StoreRevision(0, Since), {0, 900}}, Instant(),
                  [] { return std::string(5000, 'x'); });
  CHECK(Answers.size() == FeedReplyCache::MaxEntries);
}

TEST_CASE("an invalid reply is an error, never an empty list") {
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

TEST_CASE("requests are decoded from path and query as encoded") {
  FeedRequest List{"servers", "i-7", std::nullopt, std::nullopt, Millis(300)};
  FeedRequest Watch{"config", "", 41, 3, Millis(1500)};
  FeedRequest Relay{"config", "", 41, std::nullopt, Millis(1500), true};
  for (const FeedRequest &Q : {List, Watch, Relay}) {
    std::string Target = feedTarget(Q);
    std::size_t At = Target.find('?');
    auto Read = parseFeedRequest(Target.substr(0, At), Target.substr(At + 1));
    REQUIRE(Read);
    CHECK(*Read == Q);
  }
  CHECK_FALSE(parseFeedRequest("/other/x", ""));
  CHECK(parseFeedRequest("/feed/x", "since=abc")->Since == std::nullopt);
}
