// Guards against requests that a stopping daemon accepts and cannot answer.
#include "shallotshift/fleet.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

const Instant Start(Seconds(100));
const Instant Last = Start + Millis(5750);

StopPlan plan() {
  StopTimes T;
  T.ServeAtLeast = Start + Seconds(3);
  T.ServeUntil = Start + Millis(5100);
  T.AnswerUntil = T.End = Last;
  T.LastWrites = Millis(100);
  return attempt([&] { return StopPlan::make(T); }).value();
}

StopClaim query(std::optional<Duration> SlowestRecent) {
  return {Last + Seconds(9), true, Millis(100), SlowestRecent};
}

} // namespace

TEST_CASE("a request whose deadline is before the last answer is accepted") {
  StopClaim Action{Last, false, Millis(100), {}};
  CHECK(plan().accepts(Action, Start));
  CHECK(plan().accepts(Action, Last - Millis(1)));
}

TEST_CASE("an action whose deadline is later is refused, however fast they "
          "usually are") {
  StopClaim Action{Last + Millis(1), false, Millis(100), Millis(1)};
  CHECK_FALSE(plan().accepts(Action, Start));
}

TEST_CASE("a query with a later deadline is accepted while what such queries "
          "take fits twice") {
  CHECK(plan().accepts(query(Millis(1300)), Start + Seconds(3)));
  CHECK_FALSE(plan().accepts(query(Millis(1300)), Start + Millis(3200)));
  CHECK_FALSE(plan().accepts(query(Millis(3500)), Start));
  CHECK_FALSE(plan().accepts(query(std::nullopt), Start));
}

TEST_CASE("a query is not accepted for less than its objective") {
  CHECK(plan().accepts(query(Millis(1)), Last - Millis(100)));
  CHECK_FALSE(plan().accepts(query(Millis(1)), Last - Millis(99)));
}

TEST_CASE("a plan whose times are out of order is refused") {
  StopTimes T = plan().times();
  T.End = T.AnswerUntil - Millis(1);
  auto P = attempt([&] { return StopPlan::make(T); });
  REQUIRE_FALSE(P);
  CHECK(P.error().Code == ResultCode::SettingsInvalid);
}

TEST_CASE("an idle daemon serves for as long as its address may be cached") {
  StopSequence S(plan());
  CHECK(S.advance({}, Start + Millis(2999)) == StopPhase::Serving);
  CHECK(S.advance({}, Start + Seconds(3)) == StopPhase::Gone);
}

TEST_CASE("a caller that connects while the listeners close is answered") {
  StopSequence S(plan());
  REQUIRE(S.advance({0, 0, 1}, Start + Seconds(3)) == StopPhase::Closing);
  Instant T = Start + Millis(3050);
  CHECK(S.advance({1, 1, 0}, T) == StopPhase::Closing);
  // Its work takes longer than idle connections are waited for.
  CHECK(S.advance({1, 1, 0}, T + Millis(900)) == StopPhase::Closing);
  CHECK(S.advance({0, 1, 0}, T + Millis(910)) == StopPhase::Closing);
  CHECK(S.advance({0, 0, 0}, T + Millis(915)) == StopPhase::Gone);
}

TEST_CASE("a stop ends in time with requests that are not answered") {
  StopSequence S(plan());
  CHECK(S.advance({2, 2, 0}, Start + Millis(5100)) == StopPhase::Finishing);
  CHECK(S.advance({2, 2, 0}, Last) == StopPhase::Closing);
  CHECK(S.advance({0, 2, 0}, Last + Millis(50)) == StopPhase::Closing);
  CHECK(S.advance({1, 2, 0}, Last + Millis(100)) == StopPhase::Gone);
}
