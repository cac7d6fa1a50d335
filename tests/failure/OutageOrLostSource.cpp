// Guards against a lost peer that is taken for an outage of the store.
#include "FrontFixture.h"
#include "RawServer.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace shallot;
using namespace shallot::test;

namespace {

/// A peer that reads the store, as a daemon of the same region sees it.
struct FeedPeer {
  FeedPeer(EventLoop &Loop, const char *Host, std::uint32_t Capacity)
      : Server(Loop, freeEndpoint(ownLoopbackIp()),
               [this](const RawRequest &) { return Act; }) {
    Self.Id = {HostId(Host), 1};
    Self.Reg = Region("r");
    Self.State = MemberState::Alive;
    Self.Rpc = Server.endpoint();
    Self.Capacity = Capacity;
  }
  /// Its data is \p Age old.
  void hasData(Duration Age) {
    Act = RawAct::Answer;
    std::string Body = writeChanges({{}, {0, 9}, Age});
    Server.Answer = fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", Body.size(), Body);
  }

  RawAct Act = RawAct::Close;
  RawServer Server;
  Member Self;
};

struct TwoPeers : FrontFixture {
  FeedPeer Large{Loop, "large", 500}, Middle{Loop, "middle", 300};
  Random Rng{5};
  Metrics Meter;
  RelayedStore<wire::WireStore> Reader{Loop,      Http, Client,
                                       sources(), Rng,  Meter};

  FeedSources sources() const {
    FeedSources F(HostId("small"), Region("r"));
    Member Self = Large.Self;
    Self.Id = {HostId("small"), 1};
    Self.Capacity = 100;
    FleetView View;
    View.Members = {Large.Self, Middle.Self, Self};
    F.update(View);
    return F;
  }
  /// Calls until a reply is fresh; what it says of the time before.
  bool wasDown() {
    for (int Calls = 0; Calls < 5; ++Calls) {
      std::optional<bool> Fresh;
      Reader.watchKind("config", StoreRevision(0, 9), Duration(0),
                       [&](const auto &Got) { Fresh = bool(Got); });
      runUntil([&] { return Fresh.has_value(); });
      if (*Fresh)
        return Reader.storeWasDown();
    }
    FAIL("no reply was fresh");
    return false;
  }
};

} // namespace

TEST_CASE_FIXTURE(TwoPeers, "one peer that is gone, or lost the store alone") {
  SUBCASE("gone") { Large.Act = RawAct::Close; }
  SUBCASE("with old data") { Large.hasData(MaxFeedAge * 2); }
  Middle.hasData({});
  CHECK_FALSE(wasDown());
}

TEST_CASE_FIXTURE(TwoPeers, "two peers without fresh data") {
  Large.hasData(MaxFeedAge * 2);
  Middle.hasData(MaxFeedAge * 2);
  CHECK(wasDown());
  // Of the time since.
  Large.hasData({});
  CHECK_FALSE(wasDown());
}
