// Guards against configuration changes that never arrive, or arrive seconds
// late, on hosts with slow links: callers got 404 for existing routes, and
// other requests followed the old configuration. A configuration of 4,000
// routes takes such a host half a second to receive. The host learned of the
// change from a peer, cancelled the reply that was arriving, requested the
// change from that peer instead, and did so again 0.7 s later. The cancelled
// replies kept arriving and left less bandwidth for the next attempt:
//
//   feed_call_replaced  kind config  bytes 606208  ms 3906  silent_ms 12
//   feed_call_replaced  kind config  bytes 671744  ms 538   silent_ms 6
//   feed_call_replaced  kind config  bytes 409600  ms 696   silent_ms 17
#include "ConfigWatch.h"
#include "FrontFixture.h"
#include "SlowPeers.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;
using namespace shallot::standins;

namespace {

/// Bytes per second on the link of the daemon, far below the rate of loopback.
constexpr std::size_t LinkRate = 400000;
/// A configuration of this size takes 1.5 s on that link.
constexpr std::size_t LargeChange = 600000;
/// Limit for the bytes sent until the change is in force: twice the size.
constexpr std::size_t Enough = 2 * LargeChange;

/// A daemon that receives store data only through three larger peers. Its
/// initial configuration is \p Padding bytes larger than needed.
struct SlowBed : FrontFixture {
  SlowLink Link{Loop, LinkRate};
  PeerStore Known;
  std::vector<std::unique_ptr<SlowPeer>> Peers;

  explicit SlowBed(std::size_t Padding = 0) {
    FrontFixture::Store.setFaults({.Mode = StoreMode::Busy});
    change(7, 10, Padding);
    Known.Replicas.replaceAll({}, {0, 9});
    std::string Ip = ownLoopbackIp();
    Ip.pop_back();
    for (int N = 2; N <= 4; ++N) {
      FrontSettings S = Set;
      S.Host = HostId("peer-" + std::to_string(N));
      S.Gossip.Ip = Ip + std::to_string(N);
      S.Peers = freeEndpoint(S.Gossip.Ip);
      S.Cores = 8;
      S.Seeds = {{Ip + "2", Set.Gossip.Port}};
      Peers.push_back(std::make_unique<SlowPeer>(Loop, S, Link, Known));
    }
    Set.Seeds = {{Ip + "2", Set.Gossip.Port}};
    open();
  }

  /// Publishes the next version, \p Padding bytes larger than the first, to all
  /// peers at once.
  void change(int Version, std::uint64_t Revision, std::size_t Padding) {
    StoreRevision At{0, Revision};
    KindObject O{"main", At, config(Version)};
    O.Content["note"] = std::string(Padding, 'x');
    Known.Version = static_cast<std::uint64_t>(Version);
    if (Known.Configs.revision() == StoreRevision())
      Known.Configs.replaceAll({O}, At);
    else
      Known.Configs.apply({O, false});
    Known.Configs.advance(At);
    for (auto &P : Peers)
      P->advance();
  }

  /// True if \p Version is in force before \p Bytes have been sent over the
  /// link. Counting bytes instead of time makes the result independent of the
  /// load on the machine.
  bool inForce(std::uint64_t Version, std::size_t Bytes) {
    std::size_t End = Link.sent() + Bytes;
    runUntil([&] {
      return Daemon->configVersion() == Version || Link.sent() >= End;
    });
    return Daemon->configVersion() == Version;
  }
};

/// A daemon that has its first configuration.
struct ServingBed : SlowBed {
  ServingBed() { REQUIRE(inForce(7, Enough)); }
};

/// A daemon that has just started.
struct StartingBed : SlowBed {
  StartingBed() : SlowBed(LargeChange) {}
};

/// The watch of a daemon that reads from the store itself, over a link that
/// needs 5 s for a change.
struct StoreBed : FrontFixture {
  static constexpr std::size_t StoreLinkRate = 60000;
  static constexpr std::size_t StoreChange = 300000;

  SlowLink Link{Loop, StoreLinkRate};
  Endpoint Near = freeEndpoint(ownLoopbackIp());
  SlowProxy Proxy{Loop, Near, Set.Store, Link};
  wire::WireStore Far{Loop, Http, Near};
  ConfigWatch Watch{Far, Loop};
};

} // namespace

TEST_CASE_FIXTURE(ServingBed, "a change that is slow to transfer is received") {
  change(8, 11, LargeChange);
  CHECK(inForce(8, Enough));
}

TEST_CASE_FIXTURE(ServingBed,
                  "a daemon that is several changes behind gets the newest") {
  for (int N = 1; N <= 4; ++N)
    change(7 + N, 10 + static_cast<std::uint64_t>(N), LargeChange);
  // The first change was already being transferred.
  CHECK(inForce(11, Enough + LargeChange / 2));
}

TEST_CASE_FIXTURE(StartingBed,
                  "a starting daemon receives a large configuration") {
  CHECK(inForce(7, Enough));
}

TEST_CASE_FIXTURE(StoreBed, "a slow reply of the store is waited for too") {
  runUntil([&] { return Watch.version() == 7; });
  Json Next = config(8);
  Next["note"] = std::string(StoreChange, 'x');
  std::size_t Before = Link.sent();
  FrontFixture::Store.put("config", "main", Next);
  runUntil([&] {
    return Watch.version() == 8 || Link.sent() > Before + 3 * StoreChange / 2;
  });
  CHECK(Watch.version() == 8);
}
