//===- LaneDesk.h - One reservation, said of truthfully ---------*- C++ -*-===//
//
// The rule of docs/api/actions.md: after a lost reply, "unknown" or "in
// progress" ask again with the same key, at any address; it cannot run twice.
// Any other answer is final for its key.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_APPS_LANEDESK_H
#define SHALLOTSHIFT_APPS_LANEDESK_H

#include "Caller.h"

namespace apps {

struct Options {
  std::string Command;
  CallerSettings Where{{}, "lane-desk", ""};
  std::string Tenant = "banlangd";
  std::string Block;
  long Lane = 0;
  std::string Key; ///< Of an earlier reserve; empty: mint one.
  shallot::Duration FirstWait = shallot::Seconds(2);
  bool Help = false;
};

class Reservation {
public:
  Reservation(Caller &C, const Options &O)
      : C(C), O(O), Key(O.Key), MayBeOut(!O.Key.empty()) {}

  /// Mints a key unless there is one, reserves, and finds out what became of
  /// it. Prints one verdict and gives the exit code.
  int run();
  /// Finds out what became of a key and starts nothing.
  int ask();

private:
  enum class Known { Ran, FailedThere, NotRun, Unknown };

  bool mint();
  Reply deliver(const shallot::Endpoint &To, shallot::Duration Timeout);
  Reply lookUp(const shallot::Endpoint &To);
  /// What \p R proves of the key.
  Known known(const Reply &R) const;
  int verdict(Known What, const Reply &R) const;

  Caller &C;
  const Options &O;
  std::string Key;
  /// A delivery may have left this program, now or in an earlier run.
  bool MayBeOut;
};

} // namespace apps

#endif // SHALLOTSHIFT_APPS_LANEDESK_H
