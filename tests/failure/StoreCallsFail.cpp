// The platform answers with an error, with nonsense, or not at all. Whoever
// called must learn what that proves: "not done" after a conflict, "may have
// been done" after a lost write. A write is never sent twice by the client, and
// an endpoint that fails is left for the next one.
#include "NetFixture.h"
#include "shallotshift/store.h"

using namespace shallot;

namespace {

constexpr const char *PrimaryIp = "127.0.12.21";
constexpr std::uint16_t Port = 7321;
const Endpoint Primary{PrimaryIp, Port};
const Endpoint Second{"127.0.12.22", Port};
const Endpoint Nobody{"127.0.12.23", Port};

ServerReply withTag(int Status, std::string Tag, std::string Body = "") {
  ServerReply R;
  R.Status = Status;
  R.Headers = {{"ETag", std::move(Tag)}};
  R.Body = std::move(Body);
  return R;
}

struct PlatformBed : NetFixture {
  HttpClient Http{Loop};
  std::vector<ServerRequest> Seen;

  std::unique_ptr<HttpServer> answering(const Endpoint &At,
                                        const ServerReply &Reply) {
    return serve(Loop, At, [this, Reply](ServerRequest R, const Responder &To) {
      Seen.push_back(std::move(R));
      To.reply(Reply);
    });
  }

  /// Takes requests and never answers.
  std::unique_ptr<HttpServer> silent(const Endpoint &At) {
    return serve(Loop, At, [this](ServerRequest R, Responder To) {
      Seen.push_back(std::move(R));
      Held.push_back(std::move(To));
    });
  }

  std::unique_ptr<StoreClient> client(std::vector<Endpoint> Endpoints) {
    StoreSettings S;
    S.Endpoints = std::move(Endpoints);
    S.CallTimeout = Millis(200);
    S.MaxCallsInFlight = 2;
    auto C = attempt([&] { return StoreClient::make(Loop, Http, S); });
    REQUIRE(C);
    return std::move(*C);
  }

  template <typename T> Attempt<T> await(std::optional<Attempt<T>> &Got) {
    runUntil([&] { return Got.has_value(); });
    return *Got;
  }

  Attempt<StoredObject> read(StoreClient &C, const std::string &Path = "a/b") {
    std::optional<Attempt<StoredObject>> Got;
    C.read(Path, [&](const Attempt<StoredObject> &A) { Got = A; });
    return await(Got);
  }

  Attempt<std::uint64_t> write(StoreClient &C, Precondition If,
                               std::string Value = "v") {
    std::optional<Attempt<std::uint64_t>> Got;
    C.write("a/b", std::move(Value), If,
            [&](const Attempt<std::uint64_t> &A) { Got = A; });
    return await(Got);
  }

private:
  std::vector<Responder> Held;
};

} // namespace

TEST_CASE("objects are read and written with their versions") {
  PlatformBed Bed;
  auto Server = Bed.answering(Primary, withTag(200, "\"42\"", "value"));
  auto C = Bed.client({Primary});
  auto Object = Bed.read(*C);
  REQUIRE(Object);
  CHECK(*Object == StoredObject{"value", 42});
  CHECK(*Bed.write(*C, Precondition::ifVersion(41)) == 42);
  CHECK(*Bed.write(*C, Precondition::ifAbsent()) == 42);
  REQUIRE(Bed.Seen.size() == 3);
  CHECK(Bed.Seen[0].Path == "/objects/a/b");
  CHECK(headerValue(Bed.Seen[1].Headers, "If-Match") == "\"41\"");
  CHECK(headerValue(Bed.Seen[2].Headers, "If-None-Match") == "*");
  CHECK(Bed.Seen[2].Body == "v");
  CHECK(C->counters().Reads == 1);
  CHECK(C->counters().Writes == 2);
}

TEST_CASE("each status says what it proves of a write") {
  struct Row {
    int Status;
    ResultCode Code;
  };
  for (Row R :
       {Row{404, ResultCode::PlatformNotFound},
        Row{412, ResultCode::PlatformConflict},
        Row{413, ResultCode::PlatformTooLarge},
        Row{429, ResultCode::PlatformThrottled},
        Row{500, ResultCode::PlatformDown}, Row{503, ResultCode::PlatformDown},
        Row{302, ResultCode::PlatformBadReply}}) {
    PlatformBed Bed;
    auto Server = Bed.answering(Primary, withTag(R.Status, "\"1\""));
    auto C = Bed.client({Primary});
    auto Written = Bed.write(*C, Precondition::ifVersion(1));
    CHECK(codeLabel(Written.error().Code) == codeLabel(R.Code));
    CHECK(mayHaveTakenEffect(Written.error().Code) ==
          (R.Status >= 500 || R.Status == 302));
  }
}

TEST_CASE("a reply without a usable version is not taken for one") {
  for (const char *Tag : {"", "42", "\"\"", "\"4x\"", "W/\"4\"", "\"-1\"",
                          "\"99999999999999999999\""}) {
    PlatformBed Bed;
    auto Server = Bed.answering(Primary, withTag(200, Tag));
    auto C = Bed.client({Primary});
    CHECK_MESSAGE(Bed.read(*C).error().Code == ResultCode::PlatformBadReply,
                  Tag);
    CHECK(Bed.write(*C, Precondition::ifAbsent()).error().Code ==
          ResultCode::PlatformBadReply);
  }
}

TEST_CASE("an endpoint that nobody listens on is left for the next") {
  PlatformBed Bed;
  auto Server = Bed.answering(Second, withTag(200, "\"7\""));
  auto C = Bed.client({Nobody, Second});
  // Nothing was sent to the first, so a write may go on as well.
  CHECK(Bed.write(*C, Precondition::ifVersion(6)));
  CHECK(C->counters().Writes == 2);
  // The endpoint that worked is kept.
  CHECK(Bed.read(*C));
  CHECK(C->counters().Reads == 1);
}

TEST_CASE("a silent endpoint: a read goes on, a write may have been done") {
  PlatformBed Bed;
  auto Silent = Bed.silent(Primary);
  auto Works = Bed.answering(Second, withTag(200, "\"7\""));
  auto C = Bed.client({Primary, Second});
  auto Written = Bed.write(*C, Precondition::ifVersion(6));
  CHECK(Written.error().Code == ResultCode::PlatformDown);
  CHECK(C->counters().Writes == 1);
  CHECK(Bed.Seen.size() == 1);
  auto Again = Bed.client({Primary, Second});
  CHECK(Bed.read(*Again));
  CHECK(Again->counters().Reads == 2);
  CHECK(Again->counters().Failures == 1);
}

TEST_CASE("calls beyond the bound are refused and not sent") {
  PlatformBed Bed;
  auto Silent = Bed.silent(Primary);
  auto C = Bed.client({Primary});
  unsigned Down = 0, Throttled = 0;
  for (unsigned N = 0; N < 5; ++N)
    C->read("a", [&](const Attempt<StoredObject> &A) {
      Down += A.error().Code == ResultCode::PlatformDown;
      Throttled += A.error().Code == ResultCode::PlatformThrottled;
    });
  CHECK(Throttled == 0); // Never before the call has returned.
  Bed.runUntil([&] { return Down + Throttled == 5; });
  CHECK(Down == 2);
  CHECK(Throttled == 3);
  CHECK(C->counters().Refused == 3);
  CHECK(C->counters().Reads == 2);
}

TEST_CASE("what the platform would refuse is not sent") {
  PlatformBed Bed;
  auto C = Bed.client({Nobody});
  CHECK(Bed.read(*C, "a b").error().Code == ResultCode::BadName);
  CHECK(Bed.read(*C, "a?x=1&b").error().Code == ResultCode::BadName);
  std::string Large(MaxObjectBytes + 1, 'x');
  CHECK(Bed.write(*C, Precondition::ifAbsent(), Large).error().Code ==
        ResultCode::PlatformTooLarge);
  CHECK(C->counters().sent() == 0);
}

TEST_CASE("a cancelled call and a destroyed client call nobody") {
  PlatformBed Bed;
  auto Silent = Bed.silent(Primary);
  auto C = Bed.client({Primary});
  bool Called = false;
  auto Id = C->read("a", [&](const Attempt<StoredObject> &) { Called = true; });
  C->cancel(Id);
  CHECK(C->inFlight() == 0);
  C->read("b", [&](const Attempt<StoredObject> &) { Called = true; });
  C.reset();
  Bed.runFor(Millis(400));
  CHECK_FALSE(Called);
}

TEST_CASE("a watch takes only what is newer") {
  PlatformBed Bed;
  auto C = Bed.client({Primary});
  auto Watch = [&](const ServerReply &Reply) {
    auto Server = Bed.answering(Primary, Reply);
    std::optional<Attempt<std::optional<StoredObject>>> Got;
    C->watch("a", 5, Millis(100),
             [&](const Attempt<std::optional<StoredObject>> &A) { Got = A; });
    return Bed.await(Got);
  };
  CHECK((*Watch(withTag(200, "\"6\"", "new")))->Value == "new");
  CHECK_FALSE(Watch(withTag(304, "\"5\""))->has_value());
  // A lagging reply.
  CHECK_FALSE(Watch(withTag(200, "\"4\"", "old"))->has_value());
  CHECK(Watch(withTag(404, "\"0\"")).error().Code ==
        ResultCode::PlatformNotFound);
  CHECK(Bed.Seen[0].Query == "after=5&wait_ms=100");
  CHECK(C->counters().Watches == 4);
}
