// An operator stops a daemon whose address callers have cached. It must serve
// them until every cached address has expired, then finish the requests in
// flight and exit, all within a bounded time.
#include "shallotshift/fleet.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

const Instant Start(Seconds(100));

Lifecycle readyDaemon() {
  Lifecycle L = attempt([] { return Lifecycle::make({}); }).value();
  LifecycleFacts Facts;
  Facts.ConfigInstalled = Facts.ViewSettled = Facts.PlatformConfirms = true;
  CHECK(L.onTick(Facts, Start).Now == Phase::Ready);
  return L;
}

} // namespace

TEST_CASE("leaving serves for the longest validity and its margin") {
  Lifecycle L = readyDaemon();
  LifecycleOutput Out = L.requestStop(Start);
  CHECK(Out.Now == Phase::Leaving);
  CHECK(Out.Declare == MemberState::Leaving);
  LifecycleOptions Options;
  CHECK(Options.EntryValidity >= longestValidity({}));
  LifecycleFacts Busy;
  Busy.InFlight = 3;
  Instant Served = Start + Options.EntryValidity + Options.LeaveMargin;
  for (Instant T = Start; T < Served; T += Millis(100)) {
    Out = L.onTick(Busy, T);
    REQUIRE(Out.TakeRequests);
    REQUIRE(Out.AcceptConnections);
    REQUIRE(Out.CloseAfterReply);
  }
  Out = L.onTick(Busy, Served);
  CHECK(Out.Now == Phase::Draining);
  CHECK_FALSE(Out.AcceptConnections);
  CHECK_FALSE(Out.Exit);
  Out = L.onTick({}, Served + Seconds(1));
  CHECK(Out.Exit);
  CHECK(Out.Declare == MemberState::Left);
}

TEST_CASE("a request that never ends does not block the stop forever") {
  Lifecycle L = readyDaemon();
  L.requestStop(Start);
  LifecycleFacts Busy;
  Busy.InFlight = 1;
  Instant T = Start;
  while (!L.onTick(Busy, T).Exit)
    T += Millis(100);
  CHECK(T <= L.latestEnd(Start) + Millis(200));
  CHECK(L.why().find("1 requests did not finish") == 0);
}

TEST_CASE("the last request that is taken may use the longest deadline") {
  Lifecycle L = readyDaemon();
  L.requestStop(Start);
  LifecycleFacts Busy;
  Busy.InFlight = 1;
  LifecycleOptions Options;
  Instant Last = Start + Options.EntryValidity + Options.LeaveMargin;
  REQUIRE(L.onTick(Busy, Last - Millis(1)).TakeRequests);
  CHECK_FALSE(L.onTick(Busy, Last).TakeRequests);
  CHECK_FALSE(L.onTick(Busy, Last + MaxDeadline).Exit);
  CHECK(L.onTick({}, Last + MaxDeadline + Millis(100)).Exit);
}

TEST_CASE("a drain limit within the longest deadline is refused") {
  LifecycleOptions Options;
  Options.DrainLimit = MaxDeadline;
  auto L = attempt([&] { return Lifecycle::make(Options); });
  REQUIRE_FALSE(L);
  CHECK(L.error().Code == ResultCode::SettingsInvalid);
}

TEST_CASE("a second stop goes on to draining at once") {
  Lifecycle L = readyDaemon();
  L.requestStop(Start);
  LifecycleOutput Out = L.requestStop(Start + Seconds(1));
  CHECK(Out.Now == Phase::Draining);
  CHECK(Out.Why == "asked to stop a second time");
}

TEST_CASE("a daemon that was never ready stops at once") {
  Lifecycle L = attempt([] { return Lifecycle::make({}); }).value();
  CHECK(L.requestStop(Start).Now == Phase::Draining);
  CHECK(L.onTick({}, Start).Exit);
}
