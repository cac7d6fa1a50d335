//===- DocumentTargets.cpp ------------------------------------------------===//
// The values that tests make, without their checks.
#define DOCTEST_CONFIG_DISABLE
#include "ConfigFixture.h"
#include "daemon/Settings.h"
#include "front/FeedWire.h"
#include "front/FrontSettings.h"
#include "fuzz/FuzzTarget.h"
#include "platform/WireDirectory.h"
#include "platform/WireObjects.h"
#include "platform/WireReplies.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/store.h"

#include <nlohmann/json.hpp>

namespace shallot::fuzz {

namespace {

const char Registration[] =
    R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":2,"state":"ready","warmup_left_ms":0,"sequence":4,)"
    R"("born":1700000000000})";

const char Configuration[] =
    R"({"version":7,"routes":[{"name":"sweep","host":"a.example",)"
    R"("path_prefix":"/x/","kind":"safe","timeout_ms":800,)"
    R"("target_latency_ms":120,"priority":1,"fan_out_services":["s1","s2"],)"
    R"("max_attempts":2,"top_k":20,"min_shard_share":0.5},)"
    R"({"name":"half","host":"c.example","path_prefix":"/","kind":"unsafe",)"
    R"("timeout_ms":2500,"target_latency_ms":400,"priority":0,)"
    R"("max_attempts":1,"split":[{"service":"s1","weight":3},)"
    R"({"service":"s2","weight":1}]}],"services":[)"
    R"({"name":"s1","max_connections":25},{"name":"s2","max_connections":9}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

const char FrontSettingsText[] =
    R"({"host":"front-1","zone":"z","region":"r","callers":"10.0.0.1:8226",)"
    R"("readiness":"10.0.0.1:8227","directory":"10.0.0.1:8225",)"
    R"("peers":"10.0.0.1:8224","gossip":"10.0.0.1:7740",)"
    R"("quotas":"10.0.0.1:7741",)"
    R"("metrics":"10.0.0.1:9180","store":"10.200.1.7:8229",)"
    R"("seeds":["10.0.0.2:8224"],"zones":{"z":"r"},"stop_grace_s":6,)"
    R"("drain_ms":3000,"entry_validity_s":5,"cpu_share":0.25,"cores":1,)"
    R"("retry_ratio":0.2,"retry_window_s":10,"retry_constant":52})";

const char DaemonSettingsText[] =
    R"({"host":"entry-1","zone":"z","region":"r","http":"127.0.0.1:8080",)"
    R"("gossip":"127.0.0.1:7740","rpc":"127.0.0.1:7741",)"
    R"("platform":["127.0.0.1:9000"],"peers":["127.0.0.2:7740"]})";

std::string object(const std::string &Name, const std::string &Spec) {
  return R"({"meta":{"name":")" + Name + R"(","revision":7},"spec":)" + Spec +
         "}";
}

/// A list with \p Middle between two sound registrations.
std::string listAround(const std::string &Middle) {
  return R"({"items":[)" + object("i-1", Registration) + "," + Middle + "," +
         object("i-2", Registration) + R"(],"more":false,"current_rev":9})";
}

std::size_t soundIn(const KindPage &P) {
  std::size_t Count = 0;
  for (const KindObject &O : P.Objects) {
    auto E = attempt([&] { return wire::readReplica(O, {}); });
    Count += E && (O.Name == "i-1" || O.Name == "i-2");
  }
  return Count;
}

/// One entry of another writer never hides its neighbours.
void foreignEntry(const std::string &Input) {
  nlohmann::json Doc = nlohmann::json::parse(Input, nullptr, false);
  if (Doc.is_discarded())
    return; // The store holds JSON; replies that are none: storeReply().
  Attempt<KindPage> P = wire::readPage("servers", 0, listAround(Input));
  require(bool(P), "a list with one foreign entry is read");
  require(soundIn(*P) >= 2, "its neighbours are named");
}

void storeReply(const std::string &Input) {
  for (const char *Kind : {"servers", "config"}) {
    Attempt<KindPage> P = wire::readPage(Kind, 0, Input);
    Attempt<KindChanges> C = wire::readChanges(Kind, 0, Input);
    for (const KindObject &O : P ? P->Objects : std::vector<KindObject>()) {
      (void)attempt([&] { return wire::readReplica(O, {}); });
      (void)attempt([&] { return wire::readConfig(O); });
    }
    if (!P)
      continue;
    // Whatever is taken in can be passed on to a peer, and is the same there.
    HttpReply R;
    R.Status = 200;
    R.Body = writePage(*P);
    Attempt<KindPage> Back = readPage(R);
    require(Back && Back->Objects == P->Objects, "peers read what was read");
  }
}

void registration(const std::string &Input) {
  nlohmann::json Doc = nlohmann::json::parse(Input, nullptr, false);
  if (Doc.is_discarded())
    return;
  auto E = attempt([&] { return wire::readReplica({"i-1", {0, 1}, Doc}, {}); });
  if (!E)
    return;
  require(Doc.is_object(), "a replica is an object");
  require(E->At.Port != 0, "a replica has a port");
  require(Doc["state"] == "ready" || Doc["state"] == "draining",
          "a replica is ready or draining");
  require(E->WarmupLeft >= Duration(0), "no time is below zero");
}

void configuration(const std::string &Input) {
  nlohmann::json Doc = nlohmann::json::parse(Input, nullptr, false);
  if (Doc.is_discarded())
    return;
  auto C = attempt([&] { return wire::readConfig({"main", {0, 1}, Doc}); });
  if (!C)
    return;
  for (const Route &R : C->routes()) {
    require(C->match(R.Host, R.PathPrefix) != nullptr,
            "a route's own prefix finds a route");
    if (const ShardFanOut *Fan = R.fanOut())
      for (const ServiceName &S : Fan->Shards)
        require(C->services().contains(S), "a shard is a service");
  }
}

void peerReply(const std::string &Input) {
  HttpReply R;
  R.Status = 200;
  R.Body = Input;
  if (Attempt<KindPage> P = readPage(R)) {
    R.Body = writePage(*P);
    Attempt<KindPage> Back = readPage(R);
    require(Back && Back->Objects == P->Objects, "a page survives the way");
  }
  R.Body = Input;
  if (Attempt<KindChanges> C = readChanges(R)) {
    R.Body = writeChanges(*C);
    Attempt<KindChanges> Back = readChanges(R);
    require(Back && Back->Changes == C->Changes, "changes survive the way");
  }
}

void query(const std::string &Input) {
  (void)wire::parseEntryQuery(Input);
  auto Q = parseFeedRequest("/feed/servers", Input);
  require(Q.has_value(), "a feed's path is one, whatever the query");
  require(queryParameter("a=" + percentEncoded(Input), "a") == Input,
          "an encoded value is read back");
  std::string Target = feedTarget(*Q);
  std::size_t Mark = Target.find('?');
  auto Back = parseFeedRequest(Target.substr(0, Mark), Target.substr(Mark + 1));
  require(Back && (Q->Since || Back->After == Q->After),
          "a question survives the way");
}

/// Another writer's record takes bounded memory and never says more than it
/// may.
void quarantineRecords(const std::string &Input) {
  auto Page = attempt([&] { return parseRecordSet(Input); });
  if (!Page)
    return;
  auto Back = attempt([&] { return parseRecordSet(formatRecordSet(*Page)); });
  require(Back && *Back == *Page, "a document survives the way");
  Quarantine Table;
  for (const auto &Item : Page->Objects) {
    const KindObject &Object = Item.second;
    auto R = attempt([&] { return readRecord(Object.Name, Object.Content); });
    if (!R)
      continue;
    require(R->Crashed.size() <= CrashThreshold, "processes are bounded");
    require(R->Trials <= MaxTrials, "trials are bounded");
    Table.put({*R, Object.Revision});
    require(Table.quarantineState(R->Request) == R->quarantineState(),
            "it counts as it says");
  }
  require(Table.size() <= Page->Objects.size(), "one entry a record");
}

std::vector<std::string> recordExamples() {
  const char *Record =
      R"({"crashed":["i-1@7","i-2"],"trials":1,"proven":false,)"
      R"("seen_at":1780172520131,"route":"sweep","path":"/sweep/x"})";
  std::string Name =
      RequestFingerprint::of({"GET", "a.example", "/sweep/x", "", ""}).str();
  return {R"({"revision":9,"records":{")" + Name +
          R"(":{"revision":7,"content":)" + Record + "}}}"};
}

void settings(const std::string &Input) {
  (void)attempt([&] { return FrontSettings::parse(Input); });
  (void)attempt([&] { return Settings::parse(Input); });
}

void operatorDocument(const std::string &Input) {
  (void)attempt([&] { return decodeDocuments(Input); });
  (void)attempt([&] { return decodeHostList(Input); });
  auto G = attempt([&] { return decodeGroup(Input); });
  if (G)
    require(encode(*G) ==
                encode(*attempt([&] { return decodeGroup(encode(*G)); })),
            "a group that is accepted is written and read again");
  auto P = attempt([&] { return decodePreset(Input); });
  if (P)
    require(bool(attempt([&] { return decodePreset(encode(*P)); })),
            "a preset that is accepted is written and read again");
}

std::vector<std::string> operatorExamples() {
  ConfigPtr C = test::configOf(test::draftOfSize(1, 1));
  return {encode(C->groups()[0]), encode(C->presets()[0]), encode(C->head()),
          R"({"kind":"service","tenant":"t","group":"g","name":"s"})",
          R"({"hosts":[{"host":"h","state":"live"}]})"};
}

std::string storeChanges() {
  return R"({"events":[{"deleted":false,"object":)" +
         object("i-1", Registration) + R"(}],"current_rev":9})";
}

std::vector<std::string> peerExamples() {
  KindObject O{"i-1", {2, 7}, nlohmann::json::parse(Registration)};
  KindPage P;
  P.Objects = {O};
  P.Revision = {2, 9};
  KindChanges C;
  C.Changes = {{O, false}};
  C.Revision = {2, 9};
  return {writePage(P), writeChanges(C)};
}

} // namespace

std::vector<FuzzTarget> documentTargets() {
  return {
      {"foreign-entry",
       Shape::Json,
       {object("x", Registration), object("main", Configuration)},
       &foreignEntry},
      {"store-reply",
       Shape::Json,
       {listAround(object("x", Configuration)), storeChanges()},
       &storeReply},
      {"registration", Shape::Json, {Registration}, &registration},
      {"configuration", Shape::Json, {Configuration}, &configuration},
      {"peer-reply", Shape::Json, peerExamples(), &peerReply},
      {"quarantine-records", Shape::Json, recordExamples(), &quarantineRecords},
      {"query",
       Shape::Bytes,
       {"name=a.example&region=r&zone=hall+1", "since=5&wait_ms=4000&relays=1",
        "after=i-1%20&wait_ms=1", "since=5&epoch=2&wait_ms=1"},
       &query},
      {"settings",
       Shape::Json,
       {FrontSettingsText, DaemonSettingsText},
       &settings},
      {"operator-document", Shape::Json, operatorExamples(), &operatorDocument},
  };
}

} // namespace shallot::fuzz
