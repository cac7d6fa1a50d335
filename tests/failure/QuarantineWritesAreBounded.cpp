// What callers see: a request that crashes replicas is refused everywhere, and
// during a flood of distinct ones the store goes on serving the configuration.
// What happens: replies of the store are lost after a write was done, daemons
// write the same record at one moment, and hundreds of requests fail in a
// second. Why a write names what it read: its second copy, or another daemon's,
// is seen as that and merged, and whoever does not know whether it was granted
// a trial makes none.
#include "VirtualTime.h"
#include "shallotshift/crashguard.h"

#include <doctest/doctest.h>
#include <map>

using namespace shallot;

namespace {

/// Records in virtual time, with replies that can be lost.
struct FakeRecords : test::VirtualTime {
  void writeObject(const std::string &, const std::string &Name,
                   const nlohmann::json &Content, std::uint64_t If,
                   StoreCallback<KindWriteReply> Done) {
    answer(Name, If, std::move(Done), [this, Name, Content] {
      Objects[Name] = {Name, ++Revision, Content};
    });
  }
  void removeObject(const std::string &, const std::string &Name,
                    std::uint64_t If, StoreCallback<KindWriteReply> Done) {
    answer(Name, If, std::move(Done), [this, Name] { Objects.erase(Name); });
  }

  unsigned Calls = 0;
  unsigned LoseReplies = 0;
  bool Away = false;
  std::map<std::string, KindObject> Objects;

private:
  void answer(const std::string &Name, std::uint64_t If,
              StoreCallback<KindWriteReply> Done,
              const std::function<void()> &Apply) {
    ++Calls;
    if (Away)
      return fail(std::move(Done), "away");
    auto At = Objects.find(Name);
    std::uint64_t Has = At == Objects.end() ? 0 : At->second.Revision;
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
    auto Said = std::make_shared<std::optional<bool>>();
    D.Sync.requestTrial(request(), [Said](bool Granted) { *Said = Granted; });
    CHECK_FALSE(*Said); // Never before it returns.
    Store.runFor(Seconds(3));
    return *Said;
  }

  FakeRecords Store;
  Daemon A{Store};
  Daemon B{Store};
};

} // namespace

TEST_CASE_FIXTURE(SyncFixture, "two daemons' evidence ends up in one record") {
  crash(A, "i-1");
  crash(B, "i-2");
  Store.runFor(Seconds(1));
  CHECK(stored().Crashed == std::vector<std::string>{"i-1", "i-2"});
  CHECK(B.Table.crashesOf(request()) == 2);
}

TEST_CASE_FIXTURE(SyncFixture, "a write whose reply is lost is done once") {
  Store.LoseReplies = 1;
  crash(A, "i-1");
  Store.runFor(Seconds(5));
  CHECK(stored().Crashed == std::vector<std::string>{"i-1"});
  CHECK(Store.Calls == 2); // The second met the first one's effect.
  Store.runFor(Seconds(5));
  CHECK(Store.Calls == 2);
}

TEST_CASE_FIXTURE(SyncFixture,
                  "what could not be written is, after an outage") {
  Store.Away = true;
  crash(A, "i-1");
  Store.runFor(Seconds(8));
  Store.Away = false;
  Store.runFor(Seconds(3));
  CHECK(stored().Crashed.size() == 1);
}

TEST_CASE_FIXTURE(SyncFixture,
                  "a trial that is not known to be granted is not") {
  for (const char *Process : {"i-1", "i-2", "i-3"})
    crash(A, Process);
  Store.runFor(Seconds(1));
  SUBCASE("granted, and counted") {
    CHECK(trial(A) == true);
    CHECK(stored().Trials == 1);
  }
  SUBCASE("the reply is lost: it counts and is not made") {
    Store.LoseReplies = 1;
    CHECK(trial(A) == false);
    CHECK(stored().Trials == 1);
  }
  SUBCASE("the store is away") {
    Store.Away = true;
    CHECK(trial(A) == false);
  }
  SUBCASE("others have made them all") {
    REQUIRE(trial(A) == true);
    REQUIRE(trial(A) == true);
    CHECK(trial(A) == false);
    CHECK(stored().Trials == MaxTrials);
  }
}

TEST_CASE_FIXTURE(SyncFixture, "a flood of distinct requests writes little") {
  A.Sync.setMembers(6);
  for (int N = 0; N < 900; ++N) {
    crash(A, "i-1", N);
    if (N % 90 == 0)
      Store.runFor(Seconds(1));
    A.Sync.tick(0, false);
  }
  CHECK(Store.Calls <= WriteBurst + MaxWritesPerSecond * 10 + 1);
  // Of a fleet at the size that is aimed at, all together.
  CHECK(1669 * MinWritesPerSecond <= FleetWritesPerSecond);
}

TEST_CASE_FIXTURE(SyncFixture, "a record that cannot be read is replaced") {
  Store.Objects[request().str()] = {request().str(), 9, "no record"};
  crash(A, "i-1");
  Store.runFor(Seconds(5));
  CHECK(stored().Crashed == std::vector<std::string>{"i-1"});
  CHECK(Store.Calls == 2);
}
