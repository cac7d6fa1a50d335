//===- CrashCheck.h - Did a replica's process end? --------------*- C++ -*-===//
//
// A connection that breaks with a request on it looks the same whether the
// replica's process ended, the replica dropped this one connection (it has more
// than it takes, or fails so), or something between reset it. They are told
// apart by what else is seen of the replica a moment later:
//
//   another connection to it is still open      its process lives
//   a new connection opens                      it lives, or is back already
//   a new connection is refused                 its process ended
//   no answer                                   cut off or without power; it
//                                               says nothing of the process
//
// So a cap on connections, a cut path and a loss of power never read as a
// crash. A process that listens again before the question is asked is not
// recognised; starting takes longer than that.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_HTTP1_CRASHCHECK_H
#define SHALLOTSHIFT_HTTP1_CRASHCHECK_H

#include "http1/UpstreamPool.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace shallot {

class CrashCheck {
public:
  using Callback = std::function<void(bool Ended)>;

  CrashCheck(UpstreamPool &Pool, TimerQueue &Timers)
      : Pool(Pool), Timers(Timers) {}

  /// A connection to \p To broke just now: whether the process behind it ended.
  /// Questions about one address that come together share one answer. \p Done
  /// is called once, never before this returns, unless the check is destroyed.
  void ask(const Endpoint &To, Callback Done);

private:
  /// The other connections to a process end with it, within a few turns of this
  /// daemon's loop; the caller waits for the answer meanwhile.
  static constexpr Duration OthersEndWithin = Millis(4);

  void look(const Endpoint &To);
  void answer(const Endpoint &To, bool Ended);

  UpstreamPool &Pool;
  TimerQueue &Timers;
  std::map<Endpoint, std::vector<Callback>> Pending;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace shallot

#endif // SHALLOTSHIFT_HTTP1_CRASHCHECK_H
