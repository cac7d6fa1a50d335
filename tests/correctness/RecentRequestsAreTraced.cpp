// The trace of a request records the selected upstreams, the reasons and the
// missing services; the memory of the ring stays within its bound.
#include "correctness/QueryOwner.h"

using namespace shallot;

TEST_CASE("a trace records a hedge and a missing service") {
  ConfigPtr C = makeConfig({2, 2});
  Daemon D(4);
  D.teach(*C, {{41, 7}}, at(-10));
  Owner O;
  auto Run = QueryRun::make(makeSpec(C, {}, at(100)), D.tools());
  O.take(Run.value().start(at(0)));
  SendSub S = O.pop(ServiceName("s0"));
  O.take(Run.value().onReply(S.Key, okReply({41, 7}), at(3)));
  for (double Ms = 10; O.Answers.empty() && Ms < 200; Ms += 10)
    O.take(Run.value().onWake(at(Ms)));
  std::map<TraceKind, unsigned> Kinds;
  for (const TraceEvent &E : D.Traces.events(RequestId("r1")))
    ++Kinds[E.Kind];
  CHECK(Kinds[TraceKind::PinChosen] == 1);
  CHECK(Kinds[TraceKind::Sent] == 2);
  CHECK(Kinds[TraceKind::Hedged] == 1);
  CHECK(Kinds[TraceKind::Replied] == 1);
  CHECK(Kinds[TraceKind::Finished] == 1);
  auto Json = attempt([&] { return D.Traces.toJson(RequestId("r1")); });
  REQUIRE(Json);
  CHECK(Json->find(R"("event":"hedged")") != std::string::npos);
  CHECK(Json->find(R"("pin":"41.7")") != std::string::npos);
}

TEST_CASE("the ring evicts the oldest trace and stays within its bounds") {
  TraceRing Ring({.Requests = 10, .EventsPerRequest = 5, .Bytes = 4096});
  for (int I = 0; I < 100; ++I) {
    RequestId Id(fmt::format("r{}", I));
    Ring.begin(Id, Tenant("t"), CallerClass("c"));
    for (int E = 0; E < 8; ++E)
      Ring.add(Id, {.Service = ServiceName("s")});
    CHECK(Ring.size() <= 10);
    CHECK(Ring.bytes() <= 4096);
  }
  CHECK(Ring.events(RequestId("r99")).size() == 5);
  auto Gone = attempt([&] { return Ring.toJson(RequestId("r1")); });
  CHECK(Gone.error().Code == ResultCode::UnknownRequest);
}
