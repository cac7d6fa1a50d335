// A daemon becomes ready only with a confirmed configuration and a settled view
// of the fleet, and reports what it is still waiting for.
#include "shallotshift/fleet.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

const Instant Start(Seconds(100));

Lifecycle lifecycle() {
  return attempt([] { return Lifecycle::make({}); }).value();
}

std::string whyStarting(const LifecycleFacts &Facts) {
  Lifecycle L = lifecycle();
  LifecycleOutput Out = L.onTick(Facts, Start);
  CHECK(Out.Now == Phase::Starting);
  CHECK_FALSE(Out.TakeRequests);
  CHECK(Out.Declare == MemberState::Starting);
  return Out.Why;
}

bool ready(const LifecycleFacts &Facts) {
  return lifecycle().onTick(Facts, Start).Now == Phase::Ready;
}

} // namespace

TEST_CASE("without any answer a daemon reports it and serves nothing") {
  CHECK(whyStarting({}) == "neither the platform nor any peer has answered");
}

TEST_CASE("a configuration alone does not make a daemon ready") {
  LifecycleFacts Facts;
  Facts.ConfigInstalled = true;
  Facts.PeersKnown = Facts.PeersHeard = 5;
  CHECK(whyStarting(Facts).find("not settled") != std::string::npos);
  Facts.ViewSettled = true;
  Facts.PeersConfirm = 1;
  CHECK(whyStarting(Facts).find("1 peers, 2 are needed") != std::string::npos);
  Facts.PeersConfirm = 2;
  CHECK(ready(Facts));
  Facts.PeerIsAhead = true;
  CHECK(whyStarting(Facts).find("newer") != std::string::npos);
}

TEST_CASE("all known peers suffice if there are fewer than two") {
  LifecycleFacts Facts;
  Facts.ConfigInstalled = Facts.ViewSettled = true;
  Facts.PeersKnown = Facts.PeersHeard = Facts.PeersConfirm = 1;
  CHECK(ready(Facts));
}

TEST_CASE("a single daemon needs the platform") {
  LifecycleFacts Facts;
  Facts.ConfigInstalled = Facts.ViewSettled = true;
  CHECK(whyStarting(Facts).find("no peer is known") != std::string::npos);
  Facts.PlatformAnswered = Facts.PlatformConfirms = true;
  CHECK(ready(Facts));
}
