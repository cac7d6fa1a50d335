// Every kind of call between daemons arrives with all its fields, and so does
// its answer or the error in its place.
#include "PeerFixture.h"

using namespace shallot;

TEST_CASE("a relayed search arrives whole, and so does its answer") {
  PeerFixture F;
  Member A = peerMember("entry-a", 41001);
  Member B = peerMember("entry-b", 41002);
  SubReply Answer;
  Answer.Code = ResultCode::UpstreamShed;
  Answer.Served = {41, 7};
  Answer.Servable = {{41, 7}, {42, 7}};
  Answer.Load = 0.73;
  Answer.Cold = Answer.Draining = Answer.Crashed = true;
  Answer.RetryAfter = Millis(50);
  Answer.UpstreamTook = Micros(1234);
  Answer.Queued = Micros(77);
  Answer.HolderQueue = 3;
  Answer.Body = std::string("{\"records\":[]}\0x", 16);
  std::optional<SubRequest> Seen;
  DaemonId From;
  PeerHandlers H;
  H.Search = [&](const DaemonId &Who, SubRequest R,
                 const PeerResponder<SubReply> &To) {
    From = Who;
    Seen = std::move(R);
    To.reply(Answer);
  };
  auto NodeA = F.open(A);
  auto NodeB = F.open(B, std::move(H));
  auto Got = F.search(*NodeA, B, subRequest());
  REQUIRE_MESSAGE(Got, Got.error().Detail);
  CHECK(*Got == Answer);
  CHECK(Seen == subRequest());
  CHECK(From == A.Id);
}

TEST_CASE("configuration is fetched by what is lacking") {
  PeerFixture F;
  Member B = peerMember("entry-b", 41002);
  ConfigParts Parts{"{\"head\":1}", {{"aa", "{\"g\":1}"}, {"bb", "{}"}}};
  std::optional<ConfigQuery> Asked;
  PeerHandlers H;
  H.FetchConfig = [&](const DaemonId &, const ConfigQuery &Q,
                      const PeerResponder<ConfigParts> &To) {
    Asked = Q;
    To.reply(Parts);
  };
  auto NodeA = F.open(peerMember("entry-a", 41001));
  auto NodeB = F.open(B, std::move(H));
  std::optional<Attempt<ConfigParts>> Got;
  ConfigQuery Query{{"cc", "dd"}, 12};
  NodeA->fetchConfig(B, Query, TestTimeout, [&](auto A) { Got = A; });
  F.runUntil([&] { return Got.has_value(); });
  REQUIRE(*Got);
  CHECK(**Got == Parts);
  CHECK(Asked == Query);
}

TEST_CASE("the messages of actions arrive whole") {
  PeerFixture F;
  Member B = peerMember("entry-b", 41002);
  ForwardAction Forwarded;
  Forwarded.Request = {RequestId("r"),
                       Tenant("banlangd"),
                       CallerClass("desk"),
                       ServiceName("booking"),
                       "st1.key",
                       "{\"lane\":3}",
                       "digest",
                       "trace",
                       Millis(900),
                       ActionAim::Run,
                       true};
  RecordIntent Intent{Tenant("banlangd"), "k", "d", 1772352000000};
  ActionOutcome Outcome{
      ResultCode::AlreadyRan, 201, "{}", true, true, Millis(5), "it ran"};
  RecordOutcome Recorded{Tenant("banlangd"), "k", 1772352000000, Outcome};
  FenceKey Fence{Tenant("banlangd"), "k", "d", 1772352000000};
  int Arrived = 0;
  PeerHandlers H;
  H.Forward = [&](const DaemonId &, const ForwardAction &M,
                  const PeerResponder<ActionOutcome> &To) {
    Arrived += M == Forwarded;
    To.reply(Outcome);
  };
  H.Intent = [&](const DaemonId &, const RecordIntent &M,
                 const PeerResponder<IntentAnswer> &To) {
    Arrived += M == Intent;
    To.reply(IntentAnswer::Fenced);
  };
  H.Outcome = [&](const DaemonId &, const RecordOutcome &M,
                  const PeerResponder<Done> &To) {
    Arrived += M == Recorded;
    To.reply(Done{});
  };
  H.Fence = [&](const DaemonId &, const FenceKey &M,
                const PeerResponder<FenceAnswer> &To) {
    Arrived += M == Fence;
    To.reply(FenceAnswer{FenceAnswer::Kind::Outcome, Outcome});
  };
  auto NodeA = F.open(peerMember("entry-a", 41001));
  auto NodeB = F.open(B, std::move(H));
  int Right = 0;
  NodeA->forward(B, Forwarded, TestTimeout,
                 [&](auto A) { Right += A && *A == Outcome; });
  NodeA->recordIntent(B, Intent, TestTimeout, [&](auto A) {
    Right += A && *A == IntentAnswer::Fenced;
  });
  NodeA->recordOutcome(B, Recorded, TestTimeout,
                       [&](auto A) { Right += bool(A); });
  NodeA->fence(B, Fence, TestTimeout, [&](auto A) {
    Right +=
        A && A->What == FenceAnswer::Kind::Outcome && A->Outcome == Outcome;
  });
  NodeA->ping(B, TestTimeout, [&](auto A) { Right += bool(A); });
  F.runUntil([&] { return NodeA->inFlight() == 0; });
  CHECK(Arrived == 4);
  CHECK(Right == 5);
}

TEST_CASE("an error is an answer, and no handler is one too") {
  PeerFixture F;
  Member B = peerMember("entry-b", 41002);
  PeerHandlers H;
  H.Search = [](const DaemonId &, const SubRequest &,
                const PeerResponder<SubReply> &To) {
    To.reply(Error{ResultCode::NoHolder, "no slot here"});
  };
  auto NodeA = F.open(peerMember("entry-a", 41001));
  auto NodeB = F.open(B, std::move(H));
  CHECK(F.search(*NodeA, B, subRequest()).error() ==
        Error{ResultCode::NoHolder, "no slot here"});
  std::optional<Attempt<ConfigParts>> Got;
  NodeA->fetchConfig(B, {}, TestTimeout, [&](auto A) { Got = A; });
  F.runUntil([&] { return Got.has_value(); });
  CHECK(Got->error().Code == ResultCode::Internal);
}

TEST_CASE("a daemon that does not watch the host list learns what leaves") {
  PeerFixture F;
  Member B = peerMember("entry-b", 41002);
  PeerHandlers H;
  LeavingUpstreams Known{7, {UpstreamId("uw-01-a"), UpstreamId("uw-02-b")}};
  H.Leaving = [&](const DaemonId &, LeavingQuery,
                  const PeerResponder<LeavingUpstreams> &To) {
    To.reply(Known);
  };
  auto NodeA = F.open(peerMember("entry-a", 41001));
  auto NodeB = F.open(B, std::move(H));
  std::optional<Attempt<LeavingUpstreams>> Got;
  NodeA->leaving(B, TestTimeout, [&](auto A) { Got = A; });
  F.runUntil([&] { return Got.has_value(); });
  REQUIRE(*Got);
  CHECK(**Got == Known);
}

TEST_CASE("the records of requests that crash replicas are passed on") {
  PeerFixture F;
  Member B = peerMember("entry-b", 41002);
  PeerHandlers H;
  RecordsAnswer Known{7, R"({"revision":3,"records":{}})"};
  std::uint64_t Has = 0;
  H.Records = [&](const DaemonId &, RecordsQuery Q,
                  const PeerResponder<RecordsAnswer> &To) {
    Has = Q.Known;
    To.reply(Known);
  };
  auto NodeA = F.open(peerMember("entry-a", 41001));
  auto NodeB = F.open(B, std::move(H));
  std::optional<Attempt<RecordsAnswer>> Got;
  NodeA->records(B, {5}, TestTimeout, [&](auto A) { Got = A; });
  F.runUntil([&] { return Got.has_value(); });
  REQUIRE(*Got);
  CHECK(**Got == Known);
  CHECK(Has == 5);
}
