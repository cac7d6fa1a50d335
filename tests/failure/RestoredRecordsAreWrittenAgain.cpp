// Guards against requests of death that are sent on after a restore of the
// store.
#include "shallotshift/quarantine.h"

#include <doctest/doctest.h>

using namespace shallot;

namespace {

RequestFingerprint request(int N = 1) {
  return RequestFingerprint::of(
      {"GET", "a.example", "/x/" + std::to_string(N), "", ""});
}

SharedRecord record(std::vector<std::string> Crashed, StoreRevision At,
                    unsigned Trials = 0, bool Proven = false) {
  QuarantineRecord R{request()};
  R.Crashed = std::move(Crashed);
  R.Trials = Trials;
  R.Proven = Proven;
  return {R, At};
}

const std::vector<std::string> Three{"i-1@7", "i-2@7", "i-3@7"};

} // namespace

TEST_CASE("evidence of a record that the store lost stands and is written") {
  Quarantine Q;
  Q.put(record(Three, {1, 40}, 1, true));
  Q.replaceAll({}, {2, 30});
  CHECK(Q.quarantineState(request()) == QuarantineState::Quarantined);
  CHECK_FALSE(Q.nextWrite()); // It does not read from the store.
  Q.expire(0, true);
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Revision.Number == 0);
  CHECK(W->Record.Proven);
  CHECK(W->Record.Crashed == Three);
  Q.put({W->Record, {2, 31}});
  CHECK_FALSE(Q.nextWrite());
}

TEST_CASE("a removal of the same epoch still voids the evidence") {
  Quarantine Q;
  Q.put(record(Three, {2, 40}, 0, true));
  Q.replaceAll({}, {2, 50});
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
}

TEST_CASE("a record that the store holds with less evidence is completed") {
  Quarantine Q;
  Q.put(record(Three, {1, 40}, 2));
  Q.put(record({"i-1@7"}, {2, 30}));
  CHECK(Q.quarantineState(request()) == QuarantineState::Quarantined);
  CHECK_FALSE(Q.trialWrite(request())); // Both trials were granted before.
  Q.expire(0, true);
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Revision == StoreRevision(2, 30));
  CHECK(W->Record.Crashed == Three);
  CHECK(W->Record.Trials == 2);
  Q.expire(0, false);
  CHECK_FALSE(Q.nextWrite());
}

TEST_CASE("a revision that was given out again does not hide a record") {
  Quarantine Q;
  Q.put(record({"i-1@7"}, {1, 40}));
  Q.put(record(Three, {2, 31}, 0, true));
  CHECK(Q.quarantineState(request()) == QuarantineState::Quarantined);
  Q.put(record({"i-1@7"}, {1, 60})); // A late reply.
  CHECK(Q.quarantineState(request()) == QuarantineState::Quarantined);
}

TEST_CASE("a record that is back after its removal is void and removed again") {
  Quarantine Q;
  Q.expire(0, true);
  Q.putRemoved(record(Three, {2, 30}, 0, true));
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Removes);
  CHECK(W->Revision == StoreRevision(2, 30));
  Q.put(record(Three, {2, 30}, 0, true)); // The store's list once more.
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  Q.remove(request(), {2, 31});
  CHECK(Q.size() == 0);
}

TEST_CASE("evidence since the removal counts") {
  Quarantine Q;
  Q.putRemoved(record(Three, {2, 30}));
  Q.put(record({"i-9@7"}, {2, 35}));
  CHECK(Q.quarantineState(request()) == QuarantineState::Suspect);
  Quarantine Seen;
  QuarantineRecord Crash{request()};
  Crash.Crashed = {"i-8@7"};
  Seen.crashed(Crash);
  Seen.putRemoved(record(Three, {2, 30}));
  CHECK(Seen.quarantineState(request()) == QuarantineState::OnTrial);
}

TEST_CASE("a request that was cleared stays clear over a restore") {
  Quarantine Q;
  Q.put(record({"i-1@7"}, {1, 40}));
  Q.succeeded(request());
  Q.put(record({"i-1@7"}, {2, 30}));
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Removes);
  CHECK(W->Revision == StoreRevision(2, 30));
}
