// Guards against lost, doubled or unlimited writes of quarantine records.
// Replies of the store are lost after a write was applied, daemons write the
// same record at the same moment, and hundreds of distinct requests fail per
// second, while the store must go on serving the configuration. Each write
// names the revision it is based on, so a repeated or concurrent write is
// detected and merged, and a daemon that does not know whether a trial was
// granted makes none.
#include "VirtualTime.h"
#include "shallotshift/crashguard.h"

#include <doctest/doctest.h>
#include <map>

using namespace shallot;

namespace {

/// A store of records in virtual time whose replies can be lost.
struct FakeRecords : test::VirtualTime {
  void writeObject(const std::string &, const std::string &Name,
                   const nlohmann::json &Content, StoreRevision If,
                   StoreCallback<KindWriteReply> Done) {
    answer(Name, If, std::move(Done), [this, Name, Content] {
      Objects[Name] = {Name, {0, ++Revision}, Content};
    });
  }
  void removeObject(const std::string &, const std::string &Name,
                    StoreRevision If, StoreCallback<KindWriteReply> Done) {
    answer(Name, If, std::move(Done), [this, Name] { Objects.erase(Name); });
  }

  unsigned Calls = 0;
  unsigned LoseReplies = 0;
  bool Unavailable = false;
  std::map<std::string, KindObject> Objects;

private:
  void answer(const std::string &Name, StoreRevision If,
              StoreCallback<KindWriteReply> Done,
              const std::function<void()> &Apply) {
    ++Calls;
    if (Unavailable)
      return fail(std::move(Done), "away");
    auto At = Objects.find(Name);
    StoreRevision Has =
        At == Objects.end() ? StoreRevision() : At->second.Revision;
    KindWriteReply Reply{Has == If, std::nullopt};
    if (Reply.Applied)
      Apply();
    At = Objects.find(Name);
    if (At != Objects.end())
      Reply.Now = At->second;
    if (LoseReplies > 0) {
      --LoseReplies;
      return fail(std::move(Done), "lost");
    }
    after(Millis(4), [Done = std::move(Done), Reply] { Done(Reply); });
  }

  void fail(StoreCallback<KindWriteReply> Done, const char *Why) {
    after(Millis(800), [Done = std::move(Done), Why] {
      Done(Error{ResultCode::PlatformDown, Why});
    });
  }

  std::uint64_t Revision = 10;
};

static_assert(KindWriter<FakeRecords>);

RequestFingerprint request(int N = 1) {
  return RequestFingerprint::of(
      {"GET", "a.example", "/x/" + std::to_string(N), "", ""});
}

struct SyncFixture {
  struct Daemon {
    explicit Daemon(FakeRecords &S) : Sync(S, S, "records", Table, Rng) {}
    Random Rng{3};
    Quarantine Table;
    QuarantineSync<FakeRecords, FakeRecords> Sync;
  };

  static void crash(Daemon &D, const std::string &Process, int N = 1) {
    QuarantineRecord R{request(N)};
    R.Crashed = {Process};
    D.Table.crashed(R);
    D.Table.share(R.Request);
    D.Sync.pump();
  }
  QuarantineRecord stored(int N = 1) {
    const KindObject &O = Store.Objects.at(request(N).str());
    auto R = attempt([&] { return readRecord(O.Name, O.Content); });
    REQUIRE(R);
    return *R;
  }
  std::optional<bool> trial(Daemon &D) {
    auto Result = std::make_shared<std::optional<bool>>();
    D.Sync.requestTrial(request(),
                        [Result](bool Granted) { *Result = Granted; });
    CHECK_FALSE(*Result); // Never before requestTrial() returns.
    Store.runFor(Seconds(3));
    return *Result;
  }

  FakeRecords Store;
  Daemon A{Store};
  Daemon B{Store};
};

} // namespace

TEST_CASE_FIXTURE(SyncFixture,
                  "two daemons' evidence is merged into one record") {
  crash(A, "i-1");
  crash(B, "i-2");
  Store.runFor(Seconds(1));
  CHECK(stored().Crashed == std::vector<std::string>{"i-1", "i-2"});
  CHECK(B.Table.crashesOf(request()) == 2);
}

TEST_CASE_FIXTURE(SyncFixture, "a write whose reply is lost is applied once") {
  Store.LoseReplies = 1;
  crash(A, "i-1");
  Store.runFor(Seconds(5));
  CHECK(stored().Crashed == std::vector<std::string>{"i-1"});
  CHECK(Store.Calls == 2); // The second conflicted with the first.
  Store.runFor(Seconds(5));
  CHECK(Store.Calls == 2);
}

TEST_CASE_FIXTURE(SyncFixture, "a pending write is made after an outage") {
  Store.Unavailable = true;
  crash(A, "i-1");
  Store.runFor(Seconds(8));
  Store.Unavailable = false;
  Store.runFor(Seconds(3));
  CHECK(stored().Crashed.size() == 1);
}

TEST_CASE_FIXTURE(SyncFixture, "a trial without confirmation is not granted") {
  for (const char *Process : {"i-1", "i-2", "i-3"})
    crash(A, Process);
  Store.runFor(Seconds(1));
  SUBCASE("granted and counted") {
    CHECK(trial(A) == true);
    CHECK(stored().Trials == 1);
  }
  SUBCASE("reply lost: counted but not granted") {
    Store.LoseReplies = 1;
    CHECK(trial(A) == false);
    CHECK(stored().Trials == 1);
  }
  SUBCASE("the store is unavailable") {
    Store.Unavailable = true;
    CHECK(trial(A) == false);
  }
  SUBCASE("all trials have been made") {
    REQUIRE(trial(A) == true);
    REQUIRE(trial(A) == true);
    CHECK(trial(A) == false);
    CHECK(stored().Trials == MaxTrials);
  }
}

TEST_CASE_FIXTURE(SyncFixture,
                  "writes are bounded in a flood of distinct requests") {
  A.Sync.setMembers(6);
  for (int N = 0; N < 900; ++N) {
    crash(A, "i-1", N);
    if (N % 90 == 0)
      Store.runFor(Seconds(1));
    A.Sync.tick(0, false);
  }
  CHECK(Store.Calls <= WriteBurst + MaxDaemonWritesPerSecond * 10 + 1);
  // All daemons of a fleet of the target size together.
  CHECK(1669 * MinDaemonWritesPerSecond <= FleetWritesPerSecond);
}

TEST_CASE_FIXTURE(SyncFixture, "a malformed record is replaced") {
  Store.Objects[request().str()] = {request().str(), {0, 9}, "no record"};
  crash(A, "i-1");
  Store.runFor(Seconds(5));
  CHECK(stored().Crashed == std::vector<std::string>{"i-1"});
  CHECK(Store.Calls == 2);
}
