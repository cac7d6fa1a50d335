// Guards against a call to a peer that follows a silent one onto silence.
#include "FrontFixture.h"
#include "RawServer.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr unsigned KeptConnections = 4;

/// A reader of a peer to which it has kept connections that are silent now.
struct SilentPeer : FrontFixture {
  Endpoint At = freeEndpoint(ownLoopbackIp());
  RawServer Server{Loop, At, [this](const RawRequest &R) {
                     return Silent && R.Connection < KeptConnections
                                ? RawAct::Silent
                                : RawAct::Answer;
                   }};
  bool Silent = false;
  Random Rng{5};
  Metrics Meter;
  RelayedStore<wire::WireStore> Reader{Loop,      Http, Client,
                                       sources(), Rng,  Meter};
  bool Answered = false;

  SilentPeer() {
    std::string Body = writeChanges({{}, {0, 9}});
    Server.Answer = fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", Body.size(), Body);
    for (unsigned N = 0; N < KeptConnections; ++N) {
      HttpRequest R;
      R.To = At;
      Http.send(std::move(R), [](const HttpReply &) {});
    }
    runUntil([this] { return Http.inFlight() == 0; });
    REQUIRE(Http.openConnections(At) == KeptConnections);
    Silent = true;
  }

  FeedSources sources() const {
    FeedSources F(HostId("small"), Region("r"));
    Member Self;
    Self.Id = {HostId("small"), 1};
    Self.Reg = Region("r");
    Self.State = MemberState::Alive;
    Self.Capacity = 100;
    Member Large = Self;
    Large.Id = {HostId("large"), 1};
    Large.Rpc = At;
    Large.Capacity = 500;
    FleetView View;
    View.Members = {Large, Self};
    F.update(View);
    return F;
  }

  void watch() {
    Reader.watchKind(
        "config", StoreRevision(0, 9), Seconds(4),
        [this](const Attempt<KindChanges> &C) { Answered = bool(C); });
  }
  void awaitRequests(std::size_t Count) {
    runUntil([&] { return Server.Seen.size() >= Count; });
  }
};

} // namespace

TEST_CASE_FIXTURE(SilentPeer, "a call that replaces a silent one is answered") {
  std::size_t Before = Server.Seen.size();
  watch();
  awaitRequests(Before + 1);
  watch(); // As when a peer is known to have read more.
  awaitRequests(Before + 2);
  CHECK(Server.Seen.back().Connection >= KeptConnections);
  runUntil([this] { return Answered; });
}
