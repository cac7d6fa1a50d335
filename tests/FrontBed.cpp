//===- FrontBed.cpp -------------------------------------------------------===//
#include "FrontBed.h"

namespace shallot::test {

namespace {

using Json = nlohmann::json;

ServerReply reply(int Status, const Json &Body) {
  ServerReply R;
  R.Status = Status;
  R.Body = Body.dump();
  return R;
}

std::uint64_t numberAfter(const std::string &Query, const std::string &Key) {
  std::size_t At = Query.find(Key);
  return At == std::string::npos ? 0
                                 : std::stoull(Query.substr(At + Key.size()));
}

constexpr std::string_view ObjectsPath = "/objects/";

} // namespace

StoreStandin::StoreStandin(EventLoop &Loop, const Endpoint &At) : Loop(Loop) {
  Server = serve(Loop, At, [this](const ServerRequest &R, const Responder &A) {
    handle(R, A);
  });
}

void StoreStandin::put(const std::string &Kind, const std::string &Name,
                       Json Spec) {
  Json Object{{"meta", {{"name", Name}, {"revision", ++Revision}}},
              {"spec", std::move(Spec)},
              {"status", nullptr}};
  Objects[Kind][Name] = Object;
  Events.push_back({Kind, Object, false, Revision});
  wake();
}

void StoreStandin::remove(const std::string &Kind, const std::string &Name) {
  Json Object = Objects[Kind].at(Name);
  Object["meta"]["revision"] = ++Revision;
  Objects[Kind].erase(Name);
  Events.push_back({Kind, Object, true, Revision});
  wake();
}

bool StoreStandin::tryAnswer(const Waiter &W, bool Anyway) {
  Json Found = Json::array();
  for (const Event &E : Events)
    if (E.Kind == W.Kind && E.Revision > W.From)
      Found.push_back({{"object", E.Object}, {"deleted", E.Deleted}});
  if (Found.empty() && !Anyway)
    return false;
  W.Answer.reply(reply(200, {{"events", Found}, {"current_rev", Revision}}));
  return true;
}

void StoreStandin::wake() {
  std::erase_if(Waiting, [&](const Waiter &W) { return tryAnswer(W, false); });
}

void StoreStandin::handle(const ServerRequest &R, const Responder &A) {
  ++Calls;
  std::string Kind = R.Path.substr(ObjectsPath.size());
  if (Down || Kind == DownKind) {
    A.reply(reply(503, {{"error", "down"}}));
    return;
  }
  if (R.Query.find("watch=") == std::string::npos) {
    Json Items = Json::array();
    for (const auto &[Name, Object] : Objects[Kind])
      Items.push_back(Object);
    A.reply(reply(
        200, {{"items", Items}, {"more", false}, {"current_rev", Revision}}));
    return;
  }
  Waiter W{Kind, numberAfter(R.Query, "watch="), A};
  if (tryAnswer(W, false))
    return;
  Waiting.push_back(W);
  auto At = std::prev(Waiting.end());
  Loop.after(Millis(numberAfter(R.Query, "wait_ms=")), [this, At] {
    bool Still = false;
    for (auto I = Waiting.begin(); I != Waiting.end(); ++I)
      Still = Still || I == At;
    if (Still && tryAnswer(*At, true))
      Waiting.erase(At);
  });
}

ReplicaStandin::ReplicaStandin(EventLoop &Loop, std::string Id, char Record)
    : Id(std::move(Id)), Record(Record), At(freeEndpoint("127.0.0.1")) {
  Server = serve(Loop, At, [this](const ServerRequest &R, const Responder &A) {
    Seen.push_back(R);
    if (Instead)
      Instead(R, A);
    else
      usual(R, A);
  });
}

void ReplicaStandin::usual(const ServerRequest &R, const Responder &A) const {
  if (headerValue(R.Headers, "Target-Instance") != Id) {
    A.reply(reply(421, nullptr));
    return;
  }
  ServerReply Out;
  Out.ContentType.clear();
  Out.Headers = {
      {"Server-Stamp", Id + ".1"},
      {"Server-Load", "1,0,2"},
      {"Request-Id", std::string(headerValue(R.Headers, "Request-Id"))}};
  Out.Body = std::string(16, Record);
  A.reply(std::move(Out));
}

Json ReplicaStandin::registration(const std::string &Service,
                                  const std::string &State) const {
  return {{"service", Service}, {"address", At.str()}, {"zone", "z"},
          {"slots", 2},         {"state", State},      {"warmup_left_ms", 0},
          {"sequence", 1}};
}

FrontSettings FrontBed::settings() {
  auto Free = [] { return freeEndpoint("127.0.0.1"); };
  FrontSettings S;
  S.Host = HostId("front-1");
  S.Here = {AvailabilityZone("z"), Region("r")};
  S.Zones = {{S.Here.Zone, S.Here.Reg}};
  S.Callers = Free();
  S.Readiness = Free();
  S.Directory = Free();
  S.Peers = Free();
  S.Gossip = Free();
  S.Metrics = Free();
  S.Store = Free();
  S.StopGrace = Millis(1500);
  S.LeavingServes = Seconds(3);
  S.EntryValidity = Seconds(5);
  S.Cores = 1;
  return S;
}

FrontBed::FrontBed()
    : Set(settings()), Store(Loop, Set.Store), One(Loop, "i-1", 'a'),
      Two(Loop, "i-2", 'b'), Pay(Loop, "i-3", 'p'), Client(Http, Set.Store) {
  Store.put("config", "main", config(7));
  Store.put("servers", One.id(), One.registration("s1"));
  Store.put("servers", Two.id(), Two.registration("s2"));
  Store.put("servers", Pay.id(), Pay.registration("p"));
}

Json FrontBed::config(int Version, double LeastShare) const {
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
              {"min_shard_share", LeastShare}};
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

void FrontBed::start() {
  auto D =
      attempt([&] { return FrontDaemon::open(Loop, Set, wire::adapter(), 1); });
  REQUIRE_MESSAGE(D, D.error().Detail);
  Daemon = std::move(*D);
  Feed = std::make_unique<ServingFeed<wire::WireStore>>(
      Loop, Http, Client, *Daemon, wire::forms(Set));
  Feed->start();
  auto Ready = [&] { return ask(Set.Readiness, "/readiness").Status == 200; };
  for (int Tries = 0; Tries < 100 && !Ready(); ++Tries)
    runFor(Millis(20));
  REQUIRE(Ready());
}

HttpReply FrontBed::ask(const Endpoint &To, const std::string &Path) {
  HttpRequest R;
  R.To = To;
  R.Path = Path;
  return exchange(Http, std::move(R));
}

HttpReply FrontBed::get(const std::string &Path, const std::string &Id,
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
