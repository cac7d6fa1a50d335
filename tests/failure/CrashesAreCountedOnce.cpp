// What callers see: a search whose replicas crashed is refused, and others that
// ran beside it are served. What happens: the end of one replica process is
// seen by several daemons, by both sends of a hedged part and by every shard of
// a query; innocent requests in flight there see it too. Why processes are
// counted and not losses: one crash would look like three, and a request that
// is served a moment later would be kept from replicas for good.
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
  return {R, Revision};
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

TEST_CASE("a run that ends well voids what was held against a request") {
  Quarantine Q;
  Q.crashed(seen("i-1"));
  Q.crashed(seen("i-2"));
  CHECK(Q.succeeded(request()));
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  CHECK(Q.size() == 0);
  CHECK_FALSE(Q.nextWrite());
  CHECK_FALSE(Q.succeeded(request()));
}

TEST_CASE("a request that was served elsewhere costs no write") {
  Quarantine Q;
  Q.crashed(seen("i-1"));
  CHECK_FALSE(Q.nextWrite());
  Q.share(request());
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Revision == 0);
  CHECK(W->Record.Crashed == std::vector<std::string>{"i-1"});
  Q.put({W->Record, 5});
  CHECK_FALSE(Q.nextWrite());
}

TEST_CASE("a success removes the shared record, and counts at once") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 5));
  CHECK(Q.succeeded(request()));
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Removes);
  CHECK(W->Revision == 5);
  // Meanwhile another daemon added to it: that is removed as well.
  Q.put(shared({"i-1", "i-2", "i-4"}, 6));
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  CHECK(Q.nextWrite()->Revision == 6);
  Q.remove(request(), 6);
  CHECK_FALSE(Q.nextWrite());
  CHECK(Q.size() == 0);
  CHECK(Q.shared() == 0);
}

TEST_CASE("a success while the record is being written voids it as well") {
  Quarantine Q;
  Q.crashed(seen("i-1"));
  Q.share(request());
  auto W = Q.nextWrite();
  REQUIRE(W);
  Q.writeStarted(request());
  Q.succeeded(request());
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  Q.put({W->Record, 5}); // The store has it now.
  Q.writeEnded(request());
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  REQUIRE(Q.nextWrite());
  CHECK(Q.nextWrite()->Removes);
  CHECK(Q.nextWrite()->Revision == 5);
  Q.remove(request(), 5);
  CHECK(Q.size() == 0);
}

TEST_CASE("a list that lacks a record forgets it") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 5));
  Q.put(shared({"i-1"}, 6, 2));
  Q.replaceAll({shared({"i-1"}, 6, 2)}, 7);
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
  CHECK(Q.quarantineState(request(2)) == QuarantineState::Suspect);
}

TEST_CASE("an older state of a record is ignored") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 5));
  Q.put(shared({"i-1"}, 4));
  CHECK(Q.quarantineState(request()) == QuarantineState::OnTrial);
}

TEST_CASE("news of the store that is older than a record takes nothing back") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 9)); // Written by this daemon itself.
  Q.remove(request(), 8);                  // It had been removed before that.
  Q.replaceAll({}, 8);
  CHECK(Q.quarantineState(request()) == QuarantineState::OnTrial);
  Q.replaceAll({}, 9);
  CHECK(Q.quarantineState(request()) == QuarantineState::Clear);
}

TEST_CASE("a suspicion is forgotten, and what is more than one is not") {
  Quarantine Q;
  Q.put(shared({"i-1"}, 5, 1));
  Q.put(shared({"i-1", "i-2", "i-3"}, 6, 2));
  Q.crashed(seen("i-9", 3));
  Q.expire(1000 + EvidenceLifetimeMs, true);
  CHECK(Q.size() == 3);
  Q.expire(1001 + EvidenceLifetimeMs, false);
  CHECK(Q.size() == 2); // Removing from the store is another daemon's.
  CHECK_FALSE(Q.nextWrite());
  Q.expire(1001 + EvidenceLifetimeMs, true);
  REQUIRE(Q.nextWrite());
  CHECK(Q.nextWrite()->Record.Request == request(1));
  CHECK(Q.quarantineState(request(2)) == QuarantineState::OnTrial);
}

TEST_CASE("a request whose trials told nothing is tried again after a while") {
  Quarantine Q;
  SharedRecord Untold = shared({"i-1", "i-2", "i-3"}, 5);
  Untold.Record.Trials = MaxTrials;
  SharedRecord Guilty = shared({"i-1", "i-2", "i-3"}, 6, 2);
  Guilty.Record.Proven = true;
  Q.put(Untold);
  Q.put(Guilty);
  WallTime Later = 1001 + EvidenceLifetimeMs;
  Q.expire(Later, false);
  CHECK_FALSE(Q.nextWrite()); // Renewing is another daemon's.
  Q.expire(Later, true);
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Record.Request == request());
  CHECK_FALSE(W->Removes);
  CHECK(W->Revision == 5);
  CHECK(W->Record.Trials == 0);
  Q.put({W->Record, 7});
  CHECK(Q.quarantineState(request()) == QuarantineState::OnTrial);
  CHECK(Q.quarantineState(request(2)) == QuarantineState::Quarantined);
  Q.expire(Later, true);
  CHECK_FALSE(Q.nextWrite());
}

TEST_CASE("a trial that reached no replica is given back, once") {
  Quarantine Q;
  Q.put(shared({"i-1", "i-2", "i-3"}, 5));
  auto Granted = Q.trialWrite(request());
  REQUIRE(Granted);
  Q.put({Granted->Record, 6});
  Q.trialUnused(request());
  auto W = Q.nextWrite();
  REQUIRE(W);
  CHECK(W->Revision == 6);
  CHECK(W->Record.Trials == 0);
  // The reply to this write may be lost after it was done: it is not repeated.
  Q.writeStarted(request());
  Q.writeEnded(request());
  CHECK_FALSE(Q.nextWrite());
}

TEST_CASE("a flood of distinct requests is bounded, here and in the store") {
  Quarantine Q;
  for (int N = 0; N < int(MaxEntries) + 500; ++N)
    Q.crashed(seen("i-1", N));
  CHECK(Q.size() == MaxEntries);
  Quarantine Full;
  for (int N = 0; N < int(MaxSharedRecords); ++N)
    Full.put(shared({"i-1"}, N + 1, N, 1000 + N));
  Full.crashed(seen("i-2", 999'999, 50'000));
  Full.share(request(999'999));
  auto W = Full.nextWrite();
  REQUIRE(W);
  CHECK(W->Removes);
  CHECK(W->Record.Request == request(0)); // The oldest gives way.
  Full.remove(request(0), 1);
  W = Full.nextWrite();
  REQUIRE(W);
  CHECK_FALSE(W->Removes);
  CHECK(W->Record.Request == request(999'999));
}
