//===- ConfigWatch.h - A watch of the store's configuration -----*- C++ -*-===//
#ifndef SHALLOTSHIFT_TESTS_CONFIGWATCH_H
#define SHALLOTSHIFT_TESTS_CONFIGWATCH_H

#include "platform/WireStore.h"
#include "shallotshift/front.h"

namespace shallot::test {

/// Watches the configuration as a daemon does, and remembers its version.
class ConfigWatch {
public:
  ConfigWatch(wire::WireStore &Store, EventLoop &Loop)
      : Watch(Store, Loop, "config", options(), Rng, hooks()) {
    Watch.start();
  }
  std::uint64_t version() const { return Version; }

private:
  static KindWatchOptions options() {
    KindWatchOptions O;
    O.Wait = StoreWatchWait;
    return O;
  }
  void take(const KindObject &O) { Version = O.Content.at("version"); }
  KindWatchHooks hooks() {
    KindWatchHooks H;
    H.All = [this](const std::vector<KindObject> &Now) {
      for (const KindObject &O : Now)
        take(O);
    };
    H.Changed = [this](const KindChange &C) { take(C.Object); };
    H.Away = [](const Error &) {};
    H.Back = [] {};
    H.Advanced = [] {};
    return H;
  }

  Random Rng{5};
  std::uint64_t Version = 0;
  KindWatch<wire::WireStore, EventLoop> Watch;
};

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_CONFIGWATCH_H
