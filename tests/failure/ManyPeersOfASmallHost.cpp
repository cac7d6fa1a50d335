// Guards against late changes in a whole region. The large hosts of the region
// are gone, and a host with a slow link relays the configuration to sixteen
// others. Uncompressed, sixteen times 0.7 MB need 6 s on a link of 14 Mbit/s,
// but the change has to be in force within 5 s.
#include "FrontFixture.h"
#include "SlowLink.h"

#include <doctest/doctest.h>

using namespace shallot;
using namespace shallot::test;

namespace {

constexpr std::size_t Routes = 2000;
/// Bytes per second on the link of the relaying host.
constexpr std::size_t LinkRate = 2000000;

std::string token(Random &Rng, std::size_t Size) {
  constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::string Text;
  for (std::size_t I = 0; I < Size; ++I)
    Text += Letters[Rng() % Letters.size()];
  return Text;
}

struct SmallHostBed : FrontFixture {
  Random Rng{11};
  TimerQueue Timers{Loop};
  KindCache Cache;
  FeedServer Feed{Timers,
                  [this](const std::string &) {
                    return FeedView{&Cache, true};
                  },
                  [](const std::string &) { return Duration(0); }};
  Endpoint Far = freeEndpoint(ownLoopbackIp());
  Endpoint Near = freeEndpoint(ownLoopbackIp());
  std::unique_ptr<HttpServer> Server =
      serve(Loop, Far, [this](const ServerRequest &R, const Responder &A) {
        Feed.handle(R, A);
      });
  SlowLink Link{Loop, LinkRate};
  SlowProxy Proxy{Loop, Near, Far, Link};
  Metrics Meter;
  std::vector<std::unique_ptr<RelayedStore<wire::WireStore>>> Readers;
  unsigned Whole = 0;

  SmallHostBed() {
    Cache.replaceAll({}, {0, 1});
    for (std::size_t I = 0; I < FeedFanOut; ++I)
      Readers.push_back(std::make_unique<RelayedStore<wire::WireStore>>(
          Loop, Http, Client, sources("asker" + std::to_string(I)), Rng,
          Meter));
  }

  /// Sources of a daemon that reads from the host behind the link.
  FeedSources sources(const std::string &Name) const {
    FeedSources F(HostId(Name), Region("r"));
    Member M;
    M.Id = {HostId("small"), 1};
    M.Reg = Region("r");
    M.State = MemberState::Alive;
    M.Rpc = Near;
    M.Capacity = 500;
    Member Self = M;
    Self.Id = {HostId(Name), 1};
    Self.Capacity = 100;
    FleetView View;
    View.Members = {M, Self};
    F.update(View);
    return F;
  }

  KindObject large() {
    KindObject O{"main", {0, 2}, config(8)};
    nlohmann::json Route = O.Content["routes"][0];
    for (std::size_t I = 0; I < Routes; ++I) {
      Route["name"] = "route-" + token(Rng, 6);
      Route["path_prefix"] = "/" + token(Rng, 8) + "/";
      O.Content["routes"].push_back(Route);
    }
    return O;
  }

  void watchAll() {
    for (auto &A : Readers)
      A->watchKind("config", StoreRevision(0, 1), Seconds(4),
                   [this](const Attempt<KindChanges> &C) {
                     Whole +=
                         C && C->Changes.size() == 1 &&
                         C->Changes[0].Object.Content["routes"].size() > Routes;
                   });
  }
};

} // namespace

TEST_CASE_FIXTURE(SmallHostBed,
                  "a large change is sent to sixteen peers in few bytes") {
  KindObject Change = large();
  std::size_t Bytes = Change.Content.dump().size();
  watchAll();
  runUntil([this] { return Feed.waiting() == FeedFanOut; });
  Cache.apply({Change, false});
  Feed.advanced("config");
  runUntil([&] { return Whole == FeedFanOut || Link.sent() > 4 * Bytes; });
  CHECK(Whole == FeedFanOut);
}
