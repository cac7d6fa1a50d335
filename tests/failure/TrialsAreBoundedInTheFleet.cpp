// Guards against more than MaxTrials trials of a query of death in the fleet.
// The request reaches many daemons at once, some of which have just started or
// learn of its record late; they race for its trials, and replies of the store
// are lost after the write was applied. Trials are granted by conditional
// writes: of any number of daemons that read the same revision one wins, and a
// daemon that does not know whether it won sends nothing.
#include "shallotshift/quarantine.h"

#include <doctest/doctest.h>
#include <map>

using namespace shallot;

namespace {

/// A store of records by request with one revision counter.
struct Store {
  std::map<RequestFingerprint, SharedRecord> Records;
  StoreRevision Revision{0, 10};

  bool write(const QuarantineWrite &W) {
    auto At = Records.find(W.Record.Request);
    StoreRevision Now =
        At == Records.end() ? StoreRevision() : At->second.Revision;
    if (Now != W.Revision)
      return false;
    if (W.Removes)
      Records.erase(At);
    else
      Records.insert_or_assign(W.Record.Request,
                               SharedRecord{W.Record, {0, ++Revision.Number}});
    return true;
  }
  std::vector<SharedRecord> all() const {
    std::vector<SharedRecord> L;
    for (const auto &[Request, R] : Records)
      L.push_back(R);
    return L;
  }
};

RequestFingerprint crashingRequest() {
  return RequestFingerprint::of({"GET", "a.example", "/deadly", "", ""});
}

struct Fleet {
  explicit Fleet(unsigned Daemons) : Tables(Daemons) {}

  /// A random step of a random daemon.
  void step(Random &Rng) {
    Quarantine &Q = Tables[below(Rng, Tables.size())];
    switch (below(Rng, 6)) {
    case 0: // It reads the store.
      Q.replaceAll(Shared.all(), Shared.Revision);
      return;
    case 1: // It is killed and restarts without state.
      Q = Quarantine();
      return;
    case 2: // It writes shared evidence.
      writeNext(Q, Rng);
      return;
    default:
      attempt(Q, Rng);
    }
  }

  /// Makes a write whose reply may be lost, whether it was applied or not.
  void writeNext(Quarantine &Q, Random &Rng) {
    auto W = Q.nextWrite();
    if (!W)
      return;
    Q.writeStarted(crashingRequest());
    Shared.write(*W);
    auto Now = Shared.Records.find(crashingRequest());
    if (below(Rng, 3) != 0 && Now != Shared.Records.end())
      Q.put(Now->second);
    Q.writeEnded(crashingRequest());
  }

  /// The request arrives at a daemon.
  void attempt(Quarantine &Q, Random &Rng) {
    switch (Q.quarantineState(crashingRequest())) {
    case QuarantineState::Quarantined:
      return;
    case QuarantineState::OnTrial:
      return onTrial(Q, Rng);
    default:
      ++RegularSends;
      crash(Q);
      Q.share(crashingRequest());
    }
  }

  void onTrial(Quarantine &Q, Random &Rng) {
    auto W = Q.trialWrite(crashingRequest());
    if (!W || !Shared.write(*W))
      return;
    if (below(Rng, 4) == 0)
      return;                 // The reply is lost; nothing is sent.
    if (below(Rng, 4) == 0) { // No replica is up.
      Q.put(Shared.Records.at(crashingRequest()));
      Q.trialUnused(crashingRequest());
      return;
    }
    ++Trials;
    if (below(Rng, 3) == 0)
      return; // The replica was full; inconclusive.
    crash(Q);
    Q.trialCrashed(crashingRequest());
  }

  void crash(Quarantine &Q) {
    QuarantineRecord R{crashingRequest()};
    R.Crashed = {"i-" + std::to_string(++Processes)};
    Q.crashed(R);
  }

  std::vector<Quarantine> Tables;
  Store Shared;
  unsigned RegularSends = 0;
  unsigned Trials = 0;
  unsigned Processes = 0;
};

} // namespace

TEST_CASE("the whole fleet makes at most MaxTrials trials") {
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
    CAPTURE(Seed);
    Random Rng(Seed);
    Fleet F(2 + below(Rng, 6));
    for (int Step = 0; Step < 300; ++Step)
      F.step(Rng);
    CHECK(F.Trials <= MaxTrials);
  }
}

TEST_CASE("once all daemons have the record only trials are sent") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    Random Rng(Seed);
    Fleet F(4);
    // Until the store has three crashes, which all daemons then learn of.
    while (F.Shared.Records.empty() ||
           F.Shared.Records.begin()->second.Record.Crashed.size() <
               CrashThreshold)
      F.step(Rng);
    for (Quarantine &Q : F.Tables)
      Q.replaceAll(F.Shared.all(), F.Shared.Revision);
    unsigned RegularBefore = F.RegularSends;
    for (int Step = 0; Step < 200; ++Step) {
      Quarantine &Q = F.Tables[below(Rng, F.Tables.size())];
      if (below(Rng, 5) == 0) { // A restart reads the list first.
        Q = Quarantine();
        Q.replaceAll(F.Shared.all(), F.Shared.Revision);
      }
      F.attempt(Q, Rng);
      F.writeNext(Q, Rng);
      if (below(Rng, 3) == 0)
        Q.replaceAll(F.Shared.all(), F.Shared.Revision);
    }
    CHECK(F.RegularSends == RegularBefore);
    CHECK(F.Trials <= MaxTrials);
  }
}

TEST_CASE("a successful trial clears the request on all daemons") {
  Fleet F(3);
  for (int N = 0; N < 3; ++N)
    F.crash(F.Tables[0]);
  F.Tables[0].share(crashingRequest());
  REQUIRE(F.Shared.write(*F.Tables[0].nextWrite()));
  for (Quarantine &Q : F.Tables)
    Q.replaceAll(F.Shared.all(), F.Shared.Revision);
  Quarantine &Q = F.Tables[1];
  REQUIRE(F.Shared.write(*Q.trialWrite(crashingRequest())));
  Q.replaceAll(F.Shared.all(), F.Shared.Revision);
  Q.succeeded(crashingRequest());
  REQUIRE(F.Shared.write(*Q.nextWrite()));
  for (Quarantine &Each : F.Tables) {
    Each.replaceAll(F.Shared.all(), F.Shared.Revision);
    CHECK(Each.quarantineState(crashingRequest()) == QuarantineState::Clear);
  }
}
