//===- CrashCheck.cpp -----------------------------------------------------===//
#include "http1/CrashCheck.h"

namespace shallot {

void CrashCheck::ask(const Endpoint &To, Callback Done) {
  auto [At, First] = Pending.try_emplace(To);
  At->second.push_back(std::move(Done));
  if (First)
    Timers.after(OthersEndWithin, [this, Weak = std::weak_ptr(Alive), To] {
      if (!Weak.expired())
        look(To);
    });
}

void CrashCheck::look(const Endpoint &To) {
  if (Pool.connectedTo(To)) {
    answer(To, false);
    return;
  }
  Pool.tryConnect(To, [this, Weak = std::weak_ptr(Alive), To](ConnectEnd How) {
    if (!Weak.expired())
      answer(To, How == ConnectEnd::Refused);
  });
}

void CrashCheck::answer(const Endpoint &To, bool Ended) {
  auto At = Pending.find(To);
  if (At == Pending.end())
    return;
  // A callback may ask again.
  std::vector<Callback> Waiting = std::move(At->second);
  Pending.erase(At);
  for (const Callback &Done : Waiting)
    Done(Ended);
}

} // namespace shallot
