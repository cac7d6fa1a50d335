// An upstream accepts requests and does not answer. Its connections are
// replaced first, because an intermediary may have lost their state; the
// request is retried at another upstream meanwhile. If the upstream is silent
// on new connections too, it is ejected; if it answers there, it is not.
#include "correctness/QueryOwner.h"

using namespace shallot;

namespace {

const UpstreamId Silent("s0-u0");

/// Three requests that stay silent for 30 ms each.
SilenceAction sendThreeSilent(ReplicaTable &T, double FromMs) {
  SilenceAction Last = SilenceAction::Wait;
  for (int I = 0; I < 3; ++I) {
    T.onSent(Silent, at(FromMs + I));
    Last = T.onSilent(Silent, at(FromMs + I), at(FromMs + I + 30));
    T.onCancelled(Silent, at(FromMs + I), at(FromMs + I + 30));
  }
  return Last;
}

} // namespace

TEST_CASE("connections are replaced before the replica is ejected") {
  Daemon D(5);
  CHECK(sendThreeSilent(D.Replicas, 0) == SilenceAction::ReplaceConnection);
  CHECK_FALSE(D.Replicas.status(Silent, at(40))->Ejected);
  CHECK(sendThreeSilent(D.Replicas, 50) == SilenceAction::EjectReplica);
  CHECK(D.Replicas.status(Silent, at(100))->Ejected);
  CHECK_FALSE(D.Replicas.status(Silent, at(100) + Seconds(2))->Ejected);
  CHECK(D.Replicas.status(Silent, at(100) + Seconds(2))->Weight < 1);
}

TEST_CASE("a reply on a new connection prevents the ejection") {
  Daemon D(5);
  sendThreeSilent(D.Replicas, 0);
  D.teachOne(Silent, {{41, 7}}, at(60));
  CHECK(sendThreeSilent(D.Replicas, 70) == SilenceAction::ReplaceConnection);
}

TEST_CASE("a straggler among other replies does not count as silence") {
  Daemon D(5);
  D.Replicas.onSent(Silent, at(0));
  D.teachOne(Silent, {{41, 7}}, at(20));
  for (int I = 0; I < 9; ++I)
    CHECK(D.Replicas.onSilent(Silent, at(0), at(30)) == SilenceAction::Wait);
}

TEST_CASE("a silent request is retried and a late reply is not used twice") {
  ConfigPtr C = makeConfig({1, 3});
  Daemon D(9);
  D.teach(*C, {{41, 7}}, at(-10));
  Owner O;
  auto Run = QueryRun::make(makeSpec(C, {.HedgeBudgetPercent = 0}, at(1000)),
                            D.tools());
  O.take(Run.value().start(at(0)));
  SendSub First = O.Sent.front();
  O.take(Run.value().onWake(O.Wake));
  REQUIRE(O.Sent.size() == 2);
  SendSub Second = O.Sent.back();
  CHECK(Second.Retry);
  CHECK(Second.Request.Target != First.Request.Target);
  O.pop(ServiceName("s0"));
  O.take(Run.value().onReply(First.Key, okReply({41, 7}), at(120)));
  REQUIRE(O.Answers.size() == 1);
  CHECK(O.Cancelled.size() == 1);
  CHECK(Run.value().onReply(Second.Key, okReply({41, 7}), at(121)).empty());
}
