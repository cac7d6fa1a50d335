//===- FrontFixture.cpp ---------------------------------------------------===//
#include "FrontFixture.h"

namespace shallot::test {

namespace {

using Json = nlohmann::json;

} // namespace

FrontSettings FrontFixture::settings() {
  auto Free = [] { return freeEndpoint(ownLoopbackIp()); };
  FrontSettings S;
  S.Host = HostId("front-1");
  S.Here = {AvailabilityZone("z"), Region("r")};
  S.Zones = {{S.Here.Zone, S.Here.Reg}};
  S.Callers = Free();
  S.Readiness = Free();
  S.Directory = Free();
  S.Peers = Free();
  S.Gossip = Free();
  S.Quotas = Free();
  S.Metrics = Free();
  S.Store = Free();
  S.StopGrace = Millis(1500);
  S.DrainDuration = Seconds(3);
  S.EntryValidity = Seconds(5);
  S.Cores = 1;
  S.Evacuation = Seconds(5);
  S.Warmup = {1.5, 5};
  return S;
}

FrontFixture::FrontFixture()
    : Set(settings()), Store(Loop.context(), Set.Store),
      One(Loop.context(), Store, Log, shape("i-1", "s1", 'a')),
      Two(Loop.context(), Store, Log, shape("i-2", "s2", 'b')),
      Pay(Loop.context(), Store, Log, shape("i-3", "p", 'p')),
      Client(Loop, Http, Set.Store) {
  Store.put("config", "main", config(7));
  REQUIRE(attempt([&] { return Store.listen(); }));
  for (standins::RegisteredReplica *R : {&One, &Two, &Pay}) {
    REQUIRE(attempt([&] { return R->listen(); }));
    R->announce("ready");
  }
}

standins::ReplicaShape FrontFixture::shape(const char *Id, const char *Service,
                                           char Record) {
  standins::ReplicaShape S;
  S.Id = Id;
  S.Service = Service;
  S.At = S.Registered = freeEndpoint(ownLoopbackIp());
  S.WorkMs = 0;
  S.FixedRecord = std::string(16, Record);
  return S;
}

Json FrontFixture::config(int Version, double MinCoverage) const {
  Json Search{{"name", "search"},
              {"host", "a.example"},
              {"path_prefix", "/x/"},
              {"kind", "safe"},
              {"timeout_ms", 800},
              {"target_latency_ms", 300},
              {"priority", 1},
              {"fan_out_services", {"s1", "s2"}},
              {"max_attempts", 2},
              {"top_k", 3},
              {"min_shard_share", MinCoverage}};
  Json Action{
      {"name", "pay"},    {"host", "a.example"}, {"path_prefix", "/p/"},
      {"kind", "unsafe"}, {"timeout_ms", 800},   {"target_latency_ms", 300},
      {"priority", 1},    {"service", "p"},      {"max_attempts", 1}};
  Json Services = Json::array();
  for (const char *Name : {"s1", "s2", "p"})
    Services.push_back({{"name", Name}, {"max_connections", 25}});
  return {{"version", Version},
          {"routes", {Search, Action}},
          {"services", Services},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

void FrontFixture::open() {
  auto D = attempt(
      [&] { return FrontDaemon::open(Loop, Set, wire::frontAdapter(), 1); });
  REQUIRE_MESSAGE(D, D.error().Detail);
  Daemon = std::move(*D);
  Feed = std::make_unique<ServingFeed<wire::WireStore>>(
      Loop, Http, Client, *Daemon, wire::storeSchema(Set));
  Feed->start();
}

void FrontFixture::start() {
  open();
  auto Ready = [&] { return ask(Set.Readiness, "/readiness").Status == 200; };
  for (int Tries = 0; Tries < 100 && !Ready(); ++Tries)
    runFor(Millis(20));
  REQUIRE(Ready());
}

HttpReply FrontFixture::ask(const Endpoint &To, const std::string &Path) {
  HttpRequest R;
  R.To = To;
  R.Path = Path;
  return exchange(Http, std::move(R));
}

HttpReply FrontFixture::get(const std::string &Path, const std::string &Id,
                            const std::string &Method, std::string Body) {
  HttpRequest R;
  R.Method = Method;
  R.To = Set.Callers;
  R.Path = Path;
  R.Headers = {
      {"Host", "a.example"}, {"Request-Id", Id}, {"Deadline-Ms", "800"}};
  R.Body = std::move(Body);
  return exchange(Http, std::move(R));
}

} // namespace shallot::test
