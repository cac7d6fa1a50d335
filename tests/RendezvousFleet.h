//===- RendezvousFleet.h - Daemons with a record in a store -----*- C++ -*-===//
//
// A FleetBag whose daemons also read and write the rendezvous, in a store that
// is one object with a revision.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_RENDEZVOUSFLEET_H
#define SHALLOTSHIFT_TESTS_RENDEZVOUSFLEET_H

#include "FleetBag.h"

#include <map>

namespace shallot::test {

class RendezvousFleet {
public:
  RendezvousFleet(std::size_t Count, std::uint64_t Seed) : Bag(Count, Seed) {}

  /// Starts daemon \p N with daemons 0 to 2 as its seeds, whether they run or
  /// not.
  void start(std::size_t N) {
    Bag.start(N);
    Meetings.insert_or_assign(N, Rendezvous(Bag.Now));
  }
  void crash(std::size_t N) {
    Bag.crash(N);
    Meetings.erase(N);
  }
  void run(Duration For) {
    for (Instant End = Bag.Now + For; Bag.Now < End;) {
      Bag.run(Millis(100));
      for (auto &[N, R] : Meetings)
        if (Bag.Now >= Bag.Nodes[N].PausedUntil)
          step(N, R);
    }
  }
  /// Runs until all daemons that run agree; the time it took.
  Duration untilAgreed(Duration Limit) {
    Instant Start = Bag.Now;
    while (!Bag.agreed() && Bag.Now - Start < Limit)
      run(Millis(100));
    return Bag.Now - Start;
  }
  bool confirmedAlone(std::size_t N) const {
    return Meetings.at(N).confirmedAlone();
  }

  FleetBag Bag;
  /// Whether daemon N reaches the store.
  std::function<bool(std::size_t)> Reaches = [](std::size_t) { return true; };
  std::optional<RendezvousRecord> Stored;
  unsigned Reads = 0;
  unsigned StaleReads = 0;
  unsigned Writes = 0;

private:
  void step(std::size_t N, Rendezvous &R) {
    Instant Now = Bag.Now;
    setView(N, R);
    if (R.mustRead(Now)) {
      R.readStarted(Now);
      ++(R.mayBeStale() ? StaleReads : Reads);
      if (Reaches(N))
        take(N, R);
      else
        R.readFailed(Now);
    }
    if (!R.mustWrite(Now))
      return;
    R.writeStarted(Now);
    ++Writes;
    if (!Reaches(N))
      return R.writeFailed(Now);
    if (Stored != Held[N])
      return take(N, R);
    Stored = R.proposal(Now);
    Held[N] = Stored;
    R.written(*Stored, Now);
    setView(N, R);
  }
  void take(std::size_t N, Rendezvous &R) {
    Held[N] = Stored;
    R.read(Stored, Bag.Now, Bag.Now);
    Bag.change(
        N, [&](Membership &M) { return M.onHostList(R.contacts(), Bag.Now); });
    setView(N, R);
  }
  void setView(std::size_t N, Rendezvous &R) {
    R.setView(Bag.at(N).view(), Bag.at(N).self(), Bag.Now);
  }

  std::map<std::size_t, Rendezvous> Meetings;
  std::map<std::size_t, std::optional<RendezvousRecord>> Held;
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_RENDEZVOUSFLEET_H
