//===- VirtualTime.h - A clock with timers that tests move ------*- C++ -*-===//
#ifndef SHALLOTSHIFT_TESTS_VIRTUALTIME_H
#define SHALLOTSHIFT_TESTS_VIRTUALTIME_H

#include "shallotshift/store.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace shallot::test {

class VirtualTime {
public:
  explicit VirtualTime(Instant Start = Instant{Seconds(1000)}) : Now(Start) {}

  Instant now() const { return Now; }
  void after(Duration D, std::function<void()> Fn) {
    Queue.emplace(Now + D, std::move(Fn));
  }
  /// Runs what is due within \p D.
  void runFor(Duration D) {
    Instant End = Now + D;
    while (!Queue.empty() && Queue.begin()->first <= End)
      runOne();
    Now = End;
  }
  /// Runs until nothing is left to do.
  void run() {
    while (!Queue.empty())
      runOne();
  }
  /// Runs \p Steps callbacks and forgets the rest: a process that died.
  void runThenCrash(unsigned Steps) {
    while (Steps-- > 0 && !Queue.empty())
      runOne();
    Queue.clear();
  }

private:
  void runOne() {
    auto First = Queue.begin();
    Now = std::max(Now, First->first);
    auto Fn = std::move(First->second);
    Queue.erase(First);
    Fn();
  }

  Instant Now;
  std::multimap<Instant, std::function<void()>> Queue;
};

static_assert(TimerSource<VirtualTime>);

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_VIRTUALTIME_H
