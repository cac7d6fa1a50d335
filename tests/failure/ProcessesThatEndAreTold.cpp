// What callers see: a search that ends replicas is refused, and no search is
// refused because a replica reset its connection. What happens: a connection
// breaks with a request on it, as it does when the process behind it ends, when
// the replica has more connections than it takes, or when one path is reset.
// Why the listener tells: an ended process refuses new connections, and takes
// all of its old ones with it.
#include "NetFixture.h"
#include "RawServer.h"
#include "shallotshift/http1.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

struct CheckFixture : NetFixture {
  /// One request; how it ended.
  UpstreamReply exchange(const std::string &Path) {
    UpstreamRequest R;
    R.To = At;
    R.Bytes = "GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    std::optional<UpstreamReply> Got;
    Pool.send(std::move(R), [&](UpstreamReply A) { Got = std::move(A); });
    runUntil([&] { return Got.has_value(); });
    return std::move(*Got);
  }
  bool ended() {
    std::optional<bool> Said;
    Check.ask(At, [&](bool Ended) { Said = Ended; });
    CHECK_FALSE(Said); // Never before it returns.
    runUntil([&] { return Said.has_value(); });
    return *Said;
  }

  TimerQueue Timers{Loop};
  Endpoint At = freeEndpoint(ownLoopbackIp());
  UpstreamPool Pool{Loop, Timers, {}};
  CrashCheck Check{Pool, Timers};
  RawServer Server{Loop, At, [](const RawRequest &R) {
                     return R.Head.find("/die") != std::string::npos
                                ? RawAct::Reset
                                : RawAct::Answer;
                   }};
};

} // namespace

TEST_CASE_FIXTURE(CheckFixture, "a process that ended refuses connections") {
  exchange("/first"); // Leaves an idle connection, which it is sent on.
  Server.stopListening();
  UpstreamReply R = exchange("/die");
  CHECK(R.How == CallEnd::Lost);
  CHECK(R.ClosedByPeer);
  CHECK(ended());
}

TEST_CASE_FIXTURE(CheckFixture, "one that resets a connection lives") {
  UpstreamReply R = exchange("/die");
  CHECK(R.How == CallEnd::Lost);
  CHECK(R.ClosedByPeer);
  CHECK_FALSE(ended());
}

TEST_CASE_FIXTURE(CheckFixture, "one with another open connection lives") {
  exchange("/first");
  CHECK(Pool.connectedTo(At));
  // It takes no more connections, and drops one that it had.
  Server.stopListening();
  CHECK_FALSE(ended());
}

TEST_CASE_FIXTURE(CheckFixture,
                  "questions that come together share an answer") {
  unsigned Accepted = Server.Accepted;
  unsigned Answers = 0;
  for (int N = 0; N < 5; ++N)
    Check.ask(At, [&](bool Ended) {
      CHECK_FALSE(Ended);
      ++Answers;
    });
  runUntil([&] { return Answers == 5; });
  runFor(Millis(20));
  CHECK(Server.Accepted == Accepted + 1);
}

TEST_CASE_FIXTURE(CheckFixture, "nobody is told once it is destroyed") {
  {
    CrashCheck Short{Pool, Timers};
    Short.ask(At, [](bool) { FAIL("called"); });
  }
  runFor(Millis(30));
}
