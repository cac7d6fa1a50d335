// What callers see: replicas stay up although the same query of death comes to
// many daemons at once, some of which have just started or hear of its record
// late. What happens: daemons race for the trials of one request; replies of
// the store are lost after the write was done. Why a conditional write decides:
// of any number of daemons that read the same revision one wins, and whoever
// does not know whether it won sends nothing.
#include "shallotshift/quarantine.h"

#include <doctest/doctest.h>
#include <map>

using namespace shallot;

namespace {

/// The store: records by request, under one revision counter.
struct Store {
  std::map<RequestFingerprint, SharedRecord> Records;
  std::uint64_t Revision = 10;

  bool write(const QuarantineWrite &W) {
    auto At = Records.find(W.Record.Request);
    std::uint64_t Now = At == Records.end() ? 0 : At->second.Revision;
    if (Now != W.Revision)
      return false;
    if (W.Removes)
      Records.erase(At);
    else
      Records.insert_or_assign(W.Record.Request,
                               SharedRecord{W.Record, ++Revision});
    return true;
  }
  std::vector<SharedRecord> all() const {
    std::vector<SharedRecord> L;
    for (const auto &[Request, R] : Records)
      L.push_back(R);
    return L;
  }
};

RequestFingerprint deadly() {
  return RequestFingerprint::of({"GET", "a.example", "/deadly", "", ""});
}

struct Fleet {
  explicit Fleet(unsigned Daemons) : Tables(Daemons) {}

  /// One daemon's next step, as the draw has it.
  void step(Random &Rng) {
    Quarantine &Q = Tables[below(Rng, Tables.size())];
    switch (below(Rng, 6)) {
    case 0: // It hears from the store.
      Q.replaceAll(Shop.all(), Shop.Revision);
      return;
    case 1: // It is killed and starts without a memory.
      Q = Quarantine();
      return;
    case 2: // It writes what the others should know.
      writeNext(Q, Rng);
      return;
    default:
      attempt(Q, Rng);
    }
  }

  /// The store's answer may be lost, whether the write was done or not.
  void writeNext(Quarantine &Q, Random &Rng) {
    auto W = Q.nextWrite();
    if (!W)
      return;
    Q.writeStarted(deadly());
    Shop.write(*W);
    auto Now = Shop.Records.find(deadly());
    if (below(Rng, 3) != 0 && Now != Shop.Records.end())
      Q.put(Now->second);
    Q.writeEnded(deadly());
  }

  /// The request comes to a daemon.
  void attempt(Quarantine &Q, Random &Rng) {
    switch (Q.quarantineState(deadly())) {
    case QuarantineState::Quarantined:
      return;
    case QuarantineState::OnTrial:
      return onTrial(Q, Rng);
    default:
      ++Usual;
      crash(Q);
      Q.share(deadly());
    }
  }

  void onTrial(Quarantine &Q, Random &Rng) {
    auto W = Q.trialWrite(deadly());
    if (!W || !Shop.write(*W))
      return;
    if (below(Rng, 4) == 0)
      return;                 // The reply is lost: nothing is sent.
    if (below(Rng, 4) == 0) { // No replica is up: it reaches none.
      Q.put(Shop.Records.at(deadly()));
      Q.trialUnused(deadly());
      return;
    }
    ++Trials;
    if (below(Rng, 3) == 0)
      return; // The replica was full: it tells nothing.
    crash(Q);
    Q.trialCrashed(deadly());
  }

  void crash(Quarantine &Q) {
    QuarantineRecord R{deadly()};
    R.Crashed = {"i-" + std::to_string(++Processes)};
    Q.crashed(R);
  }

  std::vector<Quarantine> Tables;
  Store Shop;
  unsigned Usual = 0;
  unsigned Trials = 0;
  unsigned Processes = 0;
};

} // namespace

TEST_CASE("the whole fleet makes no more trials than there are") {
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
    CAPTURE(Seed);
    Random Rng(Seed);
    Fleet F(2 + below(Rng, 6));
    for (int Step = 0; Step < 300; ++Step)
      F.step(Rng);
    CHECK(F.Trials <= MaxTrials);
  }
}

TEST_CASE("once all have heard of it nothing is sent beyond the trials") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    Random Rng(Seed);
    Fleet F(4);
    // Until the store has three crashes; then everybody hears of them.
    while (F.Shop.Records.empty() ||
           F.Shop.Records.begin()->second.Record.Crashed.size() <
               CrashThreshold)
      F.step(Rng);
    for (Quarantine &Q : F.Tables)
      Q.replaceAll(F.Shop.all(), F.Shop.Revision);
    unsigned UsualBefore = F.Usual;
    for (int Step = 0; Step < 200; ++Step) {
      Quarantine &Q = F.Tables[below(Rng, F.Tables.size())];
      if (below(Rng, 5) == 0) { // A start reads the list before it is ready.
        Q = Quarantine();
        Q.replaceAll(F.Shop.all(), F.Shop.Revision);
      }
      F.attempt(Q, Rng);
      F.writeNext(Q, Rng);
      if (below(Rng, 3) == 0)
        Q.replaceAll(F.Shop.all(), F.Shop.Revision);
    }
    CHECK(F.Usual == UsualBefore);
    CHECK(F.Trials <= MaxTrials);
  }
}

TEST_CASE("a trial that ends well gives the request back to everybody") {
  Fleet F(3);
  for (int N = 0; N < 3; ++N)
    F.crash(F.Tables[0]);
  F.Tables[0].share(deadly());
  REQUIRE(F.Shop.write(*F.Tables[0].nextWrite()));
  for (Quarantine &Q : F.Tables)
    Q.replaceAll(F.Shop.all(), F.Shop.Revision);
  Quarantine &Q = F.Tables[1];
  REQUIRE(F.Shop.write(*Q.trialWrite(deadly())));
  Q.replaceAll(F.Shop.all(), F.Shop.Revision);
  Q.succeeded(deadly());
  REQUIRE(F.Shop.write(*Q.nextWrite()));
  for (Quarantine &Each : F.Tables) {
    Each.replaceAll(F.Shop.all(), F.Shop.Revision);
    CHECK(Each.quarantineState(deadly()) == QuarantineState::Clear);
  }
}
