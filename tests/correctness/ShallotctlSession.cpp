// The operator's tool against the platform stand-in and three made-up daemons,
// all on one loop: what a change reports, and whom status and --wait name.
#include "ConfigFixture.h"
#include "NetFixture.h"
#include "shallotshift/crashguard.h"
#include "shallotshift/ctl.h"
#include "standins/PlatformService.h"

#include <cstdio>

using namespace shallot;
using namespace shallot::test;

namespace {

const Endpoint PlatformAt{"127.0.12.31", 7331};

Endpoint daemonAt(unsigned N) {
  return {fmt::format("127.0.12.{}", 40 + N), 7341};
}

/// A file that is gone at the end of the test.
struct TemporaryFile {
  std::string Path;
  explicit TemporaryFile(std::string_view Text) {
    char Name[] = "/tmp/shallotctl-test-XXXXXX";
    int Fd = mkstemp(Name);
    REQUIRE(Fd >= 0);
    std::FILE *F = fdopen(Fd, "wb");
    std::fwrite(Text.data(), 1, Text.size(), F);
    std::fclose(F);
    Path = Name;
  }
  ~TemporaryFile() { std::remove(Path.c_str()); }
};

/// One run of the tool, with the platform (and daemons) on its own loop.
struct CtlBed {
  std::vector<std::uint64_t> Generations; ///< Of the daemons; 0: no answer.

  explicit CtlBed(std::vector<std::uint64_t> Generations = {})
      : Generations(std::move(Generations)) {}

  Attempt<Report> run(std::string Command, Result<Report> (*Run)(Session &),
                      std::vector<std::string> Arguments = {},
                      std::string File = "") {
    CtlOptions O;
    O.Command = std::move(Command);
    O.Arguments = std::move(Arguments);
    O.File = std::move(File);
    O.Platform = {PlatformAt};
    O.Operator = "bat";
    if (!Generations.empty()) {
      O.Daemons = {daemonAt(0)};
      O.Wait = Seconds(1);
    }
    auto S = attempt([&] { return Session::open(O); });
    REQUIRE(S);
    standins::PlatformService Platform((*S)->loop().context(), PlatformAt);
    auto Started = attempt([&] { return Platform.listen(); });
    REQUIRE(Started);
    auto Daemons = startDaemons(**S);
    return attempt([&] { return Run(**S); });
  }

private:
  std::string members() const {
    std::string All;
    for (unsigned N = 0; N < Generations.size(); ++N)
      All += fmt::format(R"({}{{"daemon":"d{}@1","state":"alive","zone":"z",)"
                         R"("http":"{}","new_field":1}})",
                         N ? "," : "", N, daemonAt(N).str());
    return R"({"view":3,"members":[)" + All + "]}";
  }

  std::vector<std::unique_ptr<HttpServer>> startDaemons(Session &S) {
    std::vector<std::unique_ptr<HttpServer>> All;
    for (unsigned N = 0; N < Generations.size(); ++N)
      if (Generations[N] > 0)
        All.push_back(serve(
            S.loop(), daemonAt(N),
            [this, N](const ServerRequest &R, const Responder &To) {
              ServerReply Reply;
              Reply.Body =
                  R.Path == "/v1/members"
                      ? members()
                      : fmt::format(R"({{"daemon":"d{}@1","state":"alive",)"
                                    R"("generation":{},"preset":"ordinary"}})",
                                    N, Generations[N]);
              To.reply(Reply);
            }));
    return All;
  }
};

constexpr const char *OnePreset =
    R"({"kind":"preset","name":"ordinary","classes":{"desk":{}}})";

} // namespace

TEST_CASE("a first change is accepted and told") {
  TemporaryFile File(OnePreset);
  auto R = CtlBed().run("create", runCreate, {}, File.Path);
  REQUIRE_MESSAGE(R, R.error().Detail);
  CHECK(R->Code == ResultCode::Ok);
  CHECK(R->Doc["generation"] == 1);
  CHECK(R->Doc["preset"] == "ordinary");
  CHECK(R->Text.find("preset ordinary: added\n") != std::string::npos);
}

TEST_CASE("--wait succeeds when all have it, else names those behind") {
  TemporaryFile File(OnePreset);
  auto All = CtlBed({1, 1, 1}).run("apply", runApply, {}, File.Path);
  REQUIRE(All);
  CHECK(All->Code == ResultCode::Ok);
  CHECK(All->Text.find("3 of 3 daemons have generation 1\n") !=
        std::string::npos);
  auto Late = CtlBed({1, 0, 1}).run("apply", runApply, {}, File.Path);
  REQUIRE(Late);
  CHECK(Late->Code == ResultCode::NotEverywhere);
  CHECK(Late->Text.find("2 of 3 daemons have generation 1, behind: d1@1 (no "
                        "answer)\n") != std::string::npos);
  CHECK(Late->Doc["generation"] == 1); // The change itself is still told.
}

TEST_CASE("status names who is behind the newest generation") {
  auto R = CtlBed({12, 11, 12}).run("status", runStatus);
  REQUIRE(R);
  CHECK(R->Code == ResultCode::NotEverywhere);
  CHECK(R->Text.find("2 of 3 daemons have generation 12, behind: d1@1 "
                     "(generation 11)") != std::string::npos);
  CHECK(R->Doc["daemons"].size() == 3);
}

TEST_CASE("without a configuration that is said") {
  for (auto *Run : {runShow, runPresetList, runDiff}) {
    TemporaryFile File(OnePreset);
    auto R = CtlBed().run("show", Run, {}, File.Path);
    CHECK(R.error().Code == ResultCode::NoConfiguration);
  }
  auto Use = CtlBed().run("preset use", runPresetUse, {"peak"});
  CHECK(Use.error().Code == ResultCode::UnknownObject);
}

TEST_CASE("a file that cannot be read is named") {
  auto R = CtlBed().run("apply", runApply, {}, "/nonexistent/x.json");
  CHECK(R.error().Code == ResultCode::FileUnreadable);
  CHECK(R.error().Detail.find("/nonexistent/x.json") == 0);
}

TEST_CASE("a failed or stopped member is listed and not counted") {
  std::vector<DaemonStatus> All{
      {{"a@1", "alive", "z", daemonAt(0)},
       nlohmann::json{{"generation", 4}, {"daemon", "a@1"}}},
      {{"b@1", "failed", "z", daemonAt(1)},
       Error{ResultCode::PeerUnreachable, "no connection"}},
      {{"c@1", "leaving", "z", daemonAt(2)}, nlohmann::json("nonsense")}};
  CHECK(summaryLine(All, 4) ==
        "1 of 2 daemons have generation 4, behind: c@1 (generation 0)");
  CHECK(statusReport(All).Text.find("b@1") != std::string::npos);
}

TEST_CASE("an error of a daemon keeps its own code") {
  HttpReply Problem;
  Problem.Status = 503;
  Problem.Body = R"({"code":"SS2003","detail":"no configuration yet"})";
  auto A = answerIn(Problem, daemonAt(0));
  CHECK(A.error().Code == ResultCode::NotReady);
  Problem.Body = "<html>";
  CHECK(answerIn(Problem, daemonAt(0)).error().Code ==
        ResultCode::PeerBadMessage);
  Problem.Status = 200;
  CHECK(answerIn(Problem, daemonAt(0)).error().Code ==
        ResultCode::PeerBadMessage);
}

TEST_CASE("fields that a later daemon adds are shown as they are") {
  nlohmann::json Doc{{"a", 1}, {"b", {{"c", "x"}, {"d", {1, 2}}}}};
  CHECK(plainText(Doc) == "a: 1\nb:\n  c: x\n  d:\n    - 1\n    - 2\n");
}

namespace {

/// The record of one search in the store, written as a daemon does.
void keepFromUpstreams(Session &S, const RequestFingerprint &Search) {
  QuarantineRecord R{Search};
  R.Crashed = {"uw-01-a", "uw-02-a", "uw-03-a"};
  R.Proven = true;
  R.Route = "khan-uul";
  R.Path = "/v1/search";
  RecordDocument<StoreClient> Records(S.platform(), std::string(RecordsPath));
  using Written = Attempt<KindWriteReply>;
  Written Done = S.await<Written>([&](const std::function<void(Written)> &Go) {
    Records.writeObject("", Search.str(), recordContent(R), {}, Go);
  });
  REQUIRE(Done);
  REQUIRE(Done->Applied);
}

RequestFingerprint deadlySearch() {
  return RequestFingerprint::of({"POST", "", "/v1/search", "khan-uul", "{}"});
}

} // namespace

TEST_CASE("searches that are kept from upstreams are listed and released") {
  std::string Name = deadlySearch().str();
  auto Listed = CtlBed().run("quarantine list", [](Session &S) {
    keepFromUpstreams(S, deadlySearch());
    return runQuarantineList(S);
  });
  REQUIRE(Listed);
  CHECK(Listed->Doc["records"][0]["fingerprint"] == Name);
  CHECK(Listed->Doc["records"][0]["standing"] == "quarantined");
  CHECK(Listed->Text.find("3 crashed") != std::string::npos);

  auto Released = CtlBed().run("quarantine release",
                               [](Session &S) -> Result<Report> {
                                 keepFromUpstreams(S, deadlySearch());
                                 BOOST_LEAF_CHECK(runQuarantineRelease(S));
                                 return runQuarantineList(S);
                               },
                               {Name});
  REQUIRE(Released);
  CHECK(Released->Doc["records"].empty());
}

TEST_CASE("what is not kept from upstreams cannot be released") {
  auto Unknown = CtlBed().run("quarantine release", runQuarantineRelease,
                              {deadlySearch().str()});
  CHECK(Unknown.error().Code == ResultCode::UnknownObject);
  auto Bad =
      CtlBed().run("quarantine release", runQuarantineRelease, {"deadly"});
  CHECK(Bad.error().Code == ResultCode::BadName);
}
