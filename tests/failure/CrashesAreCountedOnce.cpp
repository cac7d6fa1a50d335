// Guards against counting one crash several times. The end of one replica
// process is seen by several daemons, by both sends of a hedged request, by
// every shard of a query, and by harmless requests in flight on that replica.
// If these were counted instead of processes, one crash would look like three
// and a harmless request would be quarantined.
#include "shallotshift/quarantine.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

RequestFingerprint request(int N = 1) {
  return RequestFingerprint::of(
      {"GET", "a.example", "/x/" + std::to_string(N), "", ""});
}

QuarantineRecord seen(const std::string &Process, int Request = 1,
                      WallTime At = 1000) {
  QuarantineRecord R{request(Request)};
  R.Crashed = {Process};
  R.SeenAt = At;
  return R;
}

SharedRecord shared(std::vector<std::string> Crashed, std::uint64_t Revision,
                    int Request = 1, WallTime At = 1000) {
  QuarantineRecord R{request(Request)};
  R.Crashed = std::move(Crashed);
  R.SeenAt = At;
  return {R, {0, Revision}};
}

} // namespace

TEST_CASE("the end of one process counts once") {
  Quarantine Q;
  for (int Seen = 0; Seen < 5; ++Seen)
    Q.crashed(seen("i-1@7"));
  Q.put(shared({"i-1@7"}, 3));
  CHECK(Q.crashesOf(request()) == 1);
  CHECK(Q.quarantineState(request()) == QuarantineState::Suspect);
}

TEST_CASE("evidence of several daemons adds up") {
  Quarantine Q;
  Q.crashed(seen("i-1"));
  Q.put(shared({"i-2", "i-3"}, 3));
  CHECK(Q.quarantineState(request()) == QuarantineState::OnTrial);
  CHECK(Q.quarantineState(request(2)) == QuarantineState::Clear);
}

TEST_CASE("a successful run voids the evidence against a request") {
  Quarantine Q;
  Q.crashed(seen("i-1"));
  Q.crashed(seen("i-2"));
  CHECK(Q.succeeded(request()));
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  CHECK(Q.size() == 0);
  CHECK_FALSE(Q.nextWrite());
  CHECK_FALSE(Q.succeeded(request()));
}

TEST_CASE("evidence is not written before it is marked as shared") {
  Quarantine Q;
  Q.crashed(seen("i-1"));
  CHECK_FALSE(Q.nextWrite());
  Q.share(request());
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Revision.Number == 0);
  CHECK(W->Record.Crashed == std::vector<std::string>{"i-1"});
  Q.put({W->Record, {0, 5}});
  CHECK_FALSE(Q.nextWrite());
}

TEST_CASE(
    "a success clears the request at once and removes the shared record") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 5));
  CHECK(Q.succeeded(request()));
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Removes);
  CHECK(W->Revision.Number == 5);
  // Evidence that another daemon added meanwhile is removed as well.
  Q.put(shared({"i-1", "i-2", "i-4"}, 6));
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  CHECK(Q.nextWrite()->Revision.Number == 6);
  Q.remove(request(), {0, 6});
  CHECK_FALSE(Q.nextWrite());
  CHECK(Q.size() == 0);
  CHECK(Q.shared() == 0);
}

TEST_CASE("a success during a write of the record voids the record too") {
  Quarantine Q;
  Q.crashed(seen("i-1"));
  Q.share(request());
  auto W = Q.nextWrite();
  REQUIRE(W);
  Q.writeStarted(request());
  Q.succeeded(request());
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  Q.put({W->Record, {0, 5}}); // The write was applied.
  Q.writeEnded(request());
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  REQUIRE(Q.nextWrite());
  CHECK(Q.nextWrite()->Removes);
  CHECK(Q.nextWrite()->Revision.Number == 5);
  Q.remove(request(), {0, 5});
  CHECK(Q.size() == 0);
}

TEST_CASE("a record missing from the store's list is removed") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 5));
  Q.put(shared({"i-1"}, 6, 2));
  Q.replaceAll({shared({"i-1"}, 6, 2)}, {0, 7});
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  CHECK(Q.quarantineState(request(2)) == QuarantineState::Suspect);
}

TEST_CASE("an older revision of a record is ignored") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 5));
  Q.put(shared({"i-1"}, 4));
  CHECK(Q.quarantineState(request()) == QuarantineState::OnTrial);
}

TEST_CASE("a removal or list older than a record does not remove it") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 9)); // Written by this daemon.
  Q.remove(request(), {0, 8});             // An earlier removal.
  Q.replaceAll({}, {0, 8});
  CHECK(Q.quarantineState(request()) == QuarantineState::OnTrial);
  Q.replaceAll({}, {0, 9});
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
}

TEST_CASE("a suspicion expires, a request on trial does not") {
  Quarantine Q;
  Q.put(shared({"i-1"}, 5, 1));
  Q.put(shared({"i-1", "i-2", "i-3"}, 6, 2));
  Q.crashed(seen("i-9", 3));
  Q.expire(1000 + EvidenceLifetimeMs, true);
  CHECK(Q.size() == 3);
  Q.expire(1001 + EvidenceLifetimeMs, false);
  CHECK(Q.size() == 2); // Another daemon removes it from the store.
  CHECK_FALSE(Q.nextWrite());
  Q.expire(1001 + EvidenceLifetimeMs, true);
  REQUIRE(Q.nextWrite());
  CHECK(Q.nextWrite()->Record.Request == request(1));
  CHECK(Q.quarantineState(request(2)) == QuarantineState::OnTrial);
}

TEST_CASE("inconclusive trials are renewed after the evidence lifetime") {
  Quarantine Q;
  SharedRecord Untold = shared({"i-1", "i-2", "i-3"}, 5);
  Untold.Record.Trials = MaxTrials;
  SharedRecord Guilty = shared({"i-1", "i-2", "i-3"}, 6, 2);
  Guilty.Record.Proven = true;
  Q.put(Untold);
  Q.put(Guilty);
  WallTime Later = 1001 + EvidenceLifetimeMs;
  Q.expire(Later, false);
  CHECK_FALSE(Q.nextWrite()); // Another daemon renews them.
  Q.expire(Later, true);
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Record.Request == request());
  CHECK_FALSE(W->Removes);
  CHECK(W->Revision.Number == 5);
  CHECK(W->Record.Trials == 0);
  Q.put({W->Record, {0, 7}});
  CHECK(Q.quarantineState(request()) == QuarantineState::OnTrial);
  CHECK(Q.quarantineState(request(2)) == QuarantineState::Quarantined);
  Q.expire(Later, true);
  CHECK_FALSE(Q.nextWrite());
}

TEST_CASE("a trial that reached no replica is returned only once") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 5));
  auto Granted = Q.trialWrite(request());
  REQUIRE(Granted);
  Q.put({Granted->Record, {0, 6}});
  Q.trialUnused(request());
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Revision.Number == 6);
  CHECK(W->Record.Trials == 0);
  // Its reply may be lost after the write was applied, so it is not repeated.
  Q.writeStarted(request());
  Q.writeEnded(request());
  CHECK_FALSE(Q.nextWrite());
}

TEST_CASE(
    "a flood of distinct requests is bounded in the daemon and the store") {
  Quarantine Q;
  for (int N = 0; N < int(MaxQuarantineEntries) + 500; ++N)
    Q.crashed(seen("i-1", N));
  CHECK(Q.size() == MaxQuarantineEntries);
  Quarantine Full;
  for (int N = 0; N < int(MaxSharedRecords); ++N)
    Full.put(shared({"i-1"}, N + 1, N, 1000 + N));
  Full.crashed(seen("i-2", 999'999, 50'000));
  Full.share(request(999'999));
  auto W = Full.nextWrite();
  REQUIRE(W);
  CHECK(W->Removes);
  CHECK(W->Record.Request == request(0)); // The oldest is evicted.
  Full.remove(request(0), {0, 1});
  W = Full.nextWrite();
  REQUIRE(W);
  CHECK_FALSE(W->Removes);
  CHECK(W->Record.Request == request(999'999));
}
