// All records of an answer come from one snapshot. Covers the choice of the pin
// and pins that are refused, ignored, initially unknown or no longer held.
#include "correctness/QueryOwner.h"

using namespace shallot;

namespace {

constexpr Snapshot Old{41, 7};
constexpr Snapshot New{42, 7};

struct Search {
  ConfigPtr C = makeConfig();
  Daemon D{7};
  Owner O;
  std::optional<QueryRun> Run;

  void start(ClassPolicy Policy = {}) {
    Run.emplace(std::move(
        QueryRun::make(makeSpec(C, Policy, at(200)), D.tools()).value()));
    O.take(Run->start(at(0)));
  }
  void reply(const std::string &Service, const SubReply &R, double Ms) {
    SendSub S = O.pop(ServiceName(Service));
    O.take(Run->onReply(S.Key, R, at(Ms)));
  }
};

} // namespace

TEST_CASE("the pin is the newest snapshot with two upstreams per service") {
  Search S;
  S.D.teach(*S.C, {Old}, at(-10));
  for (const char *Id : {"s0-u0", "s0-u1", "s1-u0", "s1-u1", "s2-u0"})
    S.D.teachOne(UpstreamId(Id), {New, Old}, at(-5));
  S.start();
  CHECK(S.O.All.front().Request.Pin == Old);
  S.D.teachOne(UpstreamId("s2-u1"), {New, Old}, at(-5));
  Search T;
  auto Choice =
      SnapshotChooser(S.D.Replicas)
          .choose(std::vector{S.C->find(Tenant("khan"), ServiceName("s2")).Svc},
                  at(0));
  REQUIRE(Choice);
  CHECK(*Choice == SnapshotChoice{New, 1, 1});
}

TEST_CASE("a refused pin is requested from another upstream") {
  Search S;
  S.D.teach(*S.C, {Old}, at(-10));
  S.start();
  UpstreamId First = S.O.Sent.front().Request.Target;
  S.reply("s0", failure(ResultCode::UpstreamVersionGone, {New}), 5);
  const SendSub &Again = S.O.Sent.back();
  CHECK(Again.Request.Service == ServiceName("s0"));
  CHECK(Again.Request.Pin == Old);
  CHECK(Again.Request.Target != First);
}

TEST_CASE("a reply from a snapshot other than the pin is not used") {
  Search S;
  S.D.teach(*S.C, {Old}, at(-10));
  S.start();
  S.reply("s0", okReply(New, {New, Old}), 5);
  for (const char *Name : {"s0", "s1", "s2"})
    S.reply(Name, okReply(Old), 6);
  REQUIRE(S.O.Answers.size() == 1);
  CHECK(S.O.Answers[0].Code == ResultCode::Ok);
  CHECK(S.O.Answers[0].Served == Old);
  CHECK(S.O.Answers[0].Records[0].Body == okReply(Old).Body);
}

TEST_CASE("without known snapshots, the pin is chosen from the first replies") {
  Search S;
  S.start();
  CHECK_FALSE(S.O.All.front().Request.Pin);
  S.reply("s0", okReply(New, {New, Old}), 5);
  S.reply("s1", okReply(Old, {Old}), 5);
  S.reply("s2", okReply(Old, {Old}), 5);
  CHECK(S.O.Answers.empty());
  CHECK(S.O.Sent.front().Request.Pin == Old);
  S.reply("s0", okReply(Old, {New, Old}), 10);
  REQUIRE(S.O.Answers.size() == 1);
  CHECK(S.O.Answers[0].Code == ResultCode::Ok);
  CHECK(S.O.Answers[0].Served == Old);
}

TEST_CASE("a pin that is no longer held restarts the query on a newer one") {
  Search S;
  S.D.teach(*S.C, {Old}, at(-10));
  S.start();
  S.reply("s1", okReply(Old), 4);
  S.D.teach(*S.C, {New}, at(5));
  S.reply("s0", failure(ResultCode::UpstreamVersionGone, {New}), 6);
  REQUIRE(S.O.Sent.size() == 3);
  for (const SendSub &Sub : S.O.Sent)
    CHECK(Sub.Request.Pin == New);
  for (const char *Name : {"s0", "s1", "s2"})
    S.reply(Name, okReply(New), 12);
  REQUIRE(S.O.Answers.size() == 1);
  CHECK(S.O.Answers[0].Code == ResultCode::Ok);
  CHECK(S.O.Answers[0].Served == New);
  CHECK(S.O.Answers[0].Cost.Restarts == 3);
}

TEST_CASE("without time for a restart the books of the service are missing") {
  Search S;
  S.D.teach(*S.C, {Old}, at(-10));
  S.start();
  S.D.teach(*S.C, {New}, at(185));
  S.reply("s1", okReply(Old), 186);
  S.reply("s2", okReply(Old), 186);
  S.reply("s0", failure(ResultCode::UpstreamVersionGone, {New}), 190);
  REQUIRE(S.O.Answers.size() == 1);
  const QueryAnswer &A = S.O.Answers[0];
  CHECK(A.Code == ResultCode::PartialCoverage);
  REQUIRE(A.Covered.Missing.size() == 2);
  CHECK(A.Covered.Missing[0].Book == "b0a");
  CHECK(A.Covered.Missing[1].Book == "b0b");
  CHECK(A.Covered.Missing[0].Reason == ResultCode::SnapshotGone);
}
